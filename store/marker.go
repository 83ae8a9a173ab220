package store

// marker is a row that one Committer alone writes, with every batch. After a
// lost answer it tells for certain whether the batch took effect.
type marker struct {
	prefix  string
	key     string
	version int64
}

func newMarker(prefix string) marker {
	m := marker{prefix: prefix}
	m.renew()
	return m
}

func (m *marker) used() bool { return m.prefix != "" }

// renew begins a new row, as when someone else removed the former one.
func (m *marker) renew() {
	m.key = m.prefix + NewRequestID()
	m.version = 0
}

// join puts the row at the head of a transaction.
func (m *marker) join(txn Txn) Txn {
	if !m.used() {
		return txn
	}
	condition := Condition{Key: m.key, Version: m.version}
	txn.Conditions = append([]Condition{condition}, txn.Conditions...)
	txn.Writes = append([]Write{{Key: m.key}}, txn.Writes...)
	return txn
}
