package store

// batch gathers transactions that touch each other's rows in no way, so that
// they can be committed as one. Those that cannot join keep their order.
type batch struct {
	members []*Pending
	later   []*Pending
	writes  int
	// read and written are the rows of the members and of those for later:
	// one that comes after must not overtake them.
	read    map[string]bool
	written map[string]bool
}

// newBatch takes members from the queue until they would write more rows than
// maxWrites; one transaction is taken in any case.
func newBatch(queue []*Pending, maxWrites int) *batch {
	b := &batch{read: make(map[string]bool), written: make(map[string]bool)}
	for i, p := range queue {
		if len(b.members) > 0 && b.writes+len(p.txn.Writes) > maxWrites {
			b.later = append(b.later, queue[i:]...)
			break
		}
		b.add(p)
	}
	return b
}

func (b *batch) add(p *Pending) {
	joins := !b.touches(p.txn)
	for _, condition := range p.txn.Conditions {
		b.read[condition.Key] = true
	}
	for _, w := range p.txn.Writes {
		b.written[w.Key] = true
	}
	if !joins {
		b.later = append(b.later, p)
		return
	}
	b.members = append(b.members, p)
	b.writes += len(p.txn.Writes)
}

func (b *batch) touches(txn Txn) bool {
	for _, condition := range txn.Conditions {
		if b.written[condition.Key] {
			return true
		}
	}
	for _, w := range txn.Writes {
		if b.written[w.Key] || b.read[w.Key] {
			return true
		}
	}
	return false
}

// txn returns the members' transactions as one.
func (b *batch) txn() Txn {
	txn := Txn{RequestID: NewRequestID()}
	for _, p := range b.members {
		txn.Conditions = append(txn.Conditions, p.txn.Conditions...)
		txn.Writes = append(txn.Writes, p.txn.Writes...)
	}
	return txn
}

// conditioned returns the keys of the rows that members have conditions on.
func (b *batch) conditioned() map[string]bool {
	keys := make(map[string]bool)
	for _, p := range b.members {
		for _, condition := range p.txn.Conditions {
			keys[condition.Key] = true
		}
	}
	return keys
}
