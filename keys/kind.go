package keys

const (
	// CallerKind is the kind of the keys that teams' callers present.
	CallerKind Kind = iota
	// AdminKind is the kind of the keys that operators present.
	AdminKind
)

// Kind tells apart sets of keys that never stand in for one another.
type Kind int

// Prefix returns what every key of the kind starts with.
func (k Kind) Prefix() string {
	if k == AdminKind {
		return "bta_"
	}
	return "btk_"
}

// RowPrefix returns what the table service's rows of the kind's keys start
// with; the hash in hexadecimal follows.
func (k Kind) RowPrefix() string {
	if k == AdminKind {
		return "adminkey/"
	}
	return "key/"
}

// HeadKey returns the row that holds the revision and the last changes.
func (k Kind) HeadKey() string {
	if k == AdminKind {
		return "adminkeys/head"
	}
	return "keys/head"
}

// RowKey returns the row of one key.
func (k Kind) RowKey(h Hash) string { return k.RowPrefix() + h.String() }
