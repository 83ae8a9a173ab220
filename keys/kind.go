package keys

const (
	// CallerKind is the kind of keys that callers authenticate with.
	CallerKind Kind = iota
	// AdminKind is the kind of keys that operators authenticate with.
	AdminKind
)

// Kind separates key sets: a key of one kind is never accepted as the other.
type Kind int

// Prefix returns the prefix of every key of the kind.
func (k Kind) Prefix() string {
	if k == AdminKind {
		return "bta_"
	}
	return "btk_"
}

// RowPrefix returns the row key prefix of the kind's keys in the table service;
// the hash in hexadecimal follows.
func (k Kind) RowPrefix() string {
	if k == AdminKind {
		return "adminkey/"
	}
	return "key/"
}

// HeadKey returns the key of the row that holds the revision and the last
// changes.
func (k Kind) HeadKey() string {
	if k == AdminKind {
		return "adminkeys/head"
	}
	return "keys/head"
}

// RowKey returns the row key of the key with the hash.
func (k Kind) RowKey(h Hash) string { return k.RowPrefix() + h.String() }
