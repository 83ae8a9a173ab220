package conf

import (
	"bytes"
	"fmt"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

// FromStore is the source of what was read from the table service; any other
// source is a peer's name.
const FromStore = "store"

// ErrSplit says that two texts claim one revision. The one that was learned
// first stays.
const ErrSplit = errors.ConstError("two texts under one revision")

// Ledger is what one instance knows of the accepted text. It is pure: whoever
// owns it reads the row, exchanges stamps with peers and hands in what was
// heard. The revision in force never falls.
type Ledger struct {
	head Head
	text Text
	// refused is the newest head that this program could not read.
	refused Stamp
	// storeHeard says that the row was read since the start, absent or not.
	storeHeard bool
	// peersHeard are the peers that answered since the start.
	peersHeard map[string]struct{}
	// peersWanted is how many peers stand in for the store at a start.
	peersWanted int
	// ready stays true once it is.
	ready bool
}

// NewLedger returns the ledger of an instance that has just started and knows
// nothing. While the table service can't be read, the instance is ready only
// once peersWanted peers have answered.
func NewLedger(peersWanted int) *Ledger {
	return &Ledger{peersHeard: make(map[string]struct{}), peersWanted: peersWanted}
}

// Want changes how many peers stand in for the table service at a start, as
// the count of peers that can be reached becomes known.
func (l *Ledger) Want(peers int) {
	l.peersWanted = peers
	l.start()
}

// Text returns the text in force.
func (l *Ledger) Text() Text { return l.text }

// Head returns the head in force, as it is pushed to peers.
func (l *Ledger) Head() Head { return l.head }

// Stamp returns the revision and digest in force.
func (l *Ledger) Stamp() Stamp { return l.head.Stamp() }

// Refused returns the newest revision that this program could not read and
// that is newer than the one in force, or an empty stamp.
func (l *Ledger) Refused() Stamp {
	if l.refused.Revision <= l.head.Revision {
		return Stamp{}
	}
	return l.refused
}

// Ready says that the instance may serve: it has a text, it has asked either
// the table service or enough peers for a newer one, and it could read the
// newest that they have. Once ready it stays so.
func (l *Ledger) Ready() bool { return l.ready }

// start makes the ledger ready if it has heard enough.
func (l *Ledger) start() {
	if l.head.Revision == 0 || l.Refused().Revision > 0 {
		return
	}
	peers := l.peersWanted > 0 && len(l.peersHeard) >= l.peersWanted
	l.ready = l.ready || l.storeHeard || peers
}

// Behind notes that a source answered with its stamp and says that its text is
// newer and should be fetched. A source that is ahead counts as heard only once
// its text was learned.
func (l *Ledger) Behind(theirs Stamp, from string) bool {
	if theirs.Revision > l.head.Revision && theirs != l.refused {
		return true
	}
	l.hear(from)
	return false
}

// Learn takes a head that was read from the table service or pushed by a peer
// and says whether it came into force. An older or equal one changes nothing.
// A newer one with faults is refused as a whole.
func (l *Ledger) Learn(h Head, from string) (bool, error) {
	if h.Revision > 0 && h.Digest != Digest(h.Revision, h.Text) {
		return false, errors.Annotatef(ErrDamaged, "revision %d from %s", h.Revision, from)
	}
	changed, err := l.adopt(h, from)
	l.hear(from)
	return changed, err
}

// adopt brings the head into force if it is newer.
func (l *Ledger) adopt(h Head, from string) (bool, error) {
	if h.Revision < l.head.Revision || h.Revision == 0 {
		return false, nil
	}
	if h.Revision == l.head.Revision {
		return false, l.compare(h, from)
	}
	text, err := readAccepted([]byte(h.Text))
	if err != nil {
		l.refuse(h.Stamp())
		return false, fmt.Errorf("revision %d from %s: %w", h.Revision, from, err)
	}
	l.head, l.text = h, text
	return true, nil
}

// refuse remembers the newest stamp that could not be read.
func (l *Ledger) refuse(s Stamp) {
	if s.Revision > l.refused.Revision {
		l.refused = s
	}
}

// compare returns ErrSplit if the head of the same revision differs.
func (l *Ledger) compare(h Head, from string) error {
	if h.Digest == l.head.Digest {
		return nil
	}
	return errors.Annotatef(ErrSplit, "revision %d from %s", h.Revision, from)
}

// LearnRow takes the row HeadKey as read from the table service; version zero
// stands for an absent row.
func (l *Ledger) LearnRow(row store.Row) (bool, error) {
	h, err := DecodeHead(row)
	if err != nil {
		return false, err
	}
	return l.Learn(h, FromStore)
}

// hear notes that a source answered.
func (l *Ledger) hear(from string) {
	if from == FromStore {
		l.storeHeard = true
	} else {
		l.peersHeard[from] = struct{}{}
	}
	l.start()
}

// LearnText is Learn for a text that came without its digest.
func (l *Ledger) LearnText(revision int64, text []byte, from string) (bool, error) {
	t := string(bytes.Clone(text))
	return l.Learn(Head{Revision: revision, Digest: Digest(revision, t), Text: t}, from)
}
