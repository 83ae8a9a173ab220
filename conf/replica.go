package conf

import (
	"bytes"
	"fmt"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

// FromStore identifies the table service as the source of a text or stamp; any
// other source is the name of a peer.
const FromStore = "store"

// ErrDivergent reports two different texts of the same revision. The one that was
// learned first stays in force.
const ErrDivergent = errors.ConstError("two texts under one revision")

// Replica is an instance's local copy of the accepted text. It does no I/O: its
// owner reads the row, exchanges stamps with peers and passes in the results. The
// revision in force never decreases.
type Replica struct {
	head Head
	text Text
	// refused is the stamp of the newest text that this version of the software
	// couldn't parse.
	refused Stamp
	// storeRead is true once the row was read since the start, absent or not.
	storeRead bool
	// peersSeen holds the peers that have replied since the start.
	peersSeen map[string]struct{}
	// quorumPeers is the number of peers that must reply at the start while the
	// store is unreachable.
	quorumPeers int
	// ready never returns to false once it is true.
	ready bool
}

// NewReplica returns the empty replica of an instance that has just started. While
// the table service is unreachable, the instance becomes ready only once
// quorumPeers peers have replied.
func NewReplica(quorumPeers int) *Replica {
	return &Replica{peersSeen: make(map[string]struct{}), quorumPeers: quorumPeers}
}

// SetQuorumPeers sets the number of peers that must reply at the start while the table
// service is unreachable. The caller updates it as the number of reachable peers
// becomes known.
func (l *Replica) SetQuorumPeers(peers int) {
	l.quorumPeers = peers
	l.updateReady()
}

// Text returns the text in force.
func (l *Replica) Text() Text { return l.text }

// Head returns the head in force, for pushing to peers.
func (l *Replica) Head() Head { return l.head }

// Stamp returns the revision and digest in force.
func (l *Replica) Stamp() Stamp { return l.head.Stamp() }

// Refused returns the stamp of the newest text that this version of the software
// couldn't parse, if it is newer than the text in force, or else an empty stamp.
func (l *Replica) Refused() Stamp {
	if l.refused.Revision <= l.head.Revision {
		return Stamp{}
	}
	return l.refused
}

// Ready reports whether the instance may serve: it has a text, it has asked the
// table service or a quorum of peers for a newer one, and it could parse the newest
// one that they have. Once ready, it stays ready.
func (l *Replica) Ready() bool { return l.ready }

// updateReady makes the replica ready if its text is confirmed to be current.
func (l *Replica) updateReady() {
	if l.head.Revision == 0 || l.Refused().Revision > 0 {
		return
	}
	peers := l.quorumPeers > 0 && len(l.peersSeen) >= l.quorumPeers
	l.ready = l.ready || l.storeRead || peers
}

// ObserveStamp processes the stamp that a source replied with, and reports whether its
// text is newer and must be fetched. A source with a newer text counts as having
// replied only once its text was learned.
func (l *Replica) ObserveStamp(theirs Stamp, from string) bool {
	if theirs.Revision > l.head.Revision && theirs != l.refused {
		return true
	}
	l.recordReply(from)
	return false
}

// Learn processes a head that was read from the table service or pushed by a peer,
// and reports whether it came into force. An older or equal head is ignored. A
// newer one with faults is refused entirely.
func (l *Replica) Learn(h Head, from string) (bool, error) {
	if h.Revision > 0 && h.Digest != Digest(h.Revision, h.Text) {
		return false, errors.Annotatef(ErrDamaged, "revision %d from %s", h.Revision, from)
	}
	changed, err := l.adopt(h, from)
	l.recordReply(from)
	return changed, err
}

// adopt puts the head in force if it is newer.
func (l *Replica) adopt(h Head, from string) (bool, error) {
	if h.Revision < l.head.Revision || h.Revision == 0 {
		return false, nil
	}
	if h.Revision == l.head.Revision {
		return false, l.compare(h, from)
	}
	text, err := parseAccepted([]byte(h.Text))
	if err != nil {
		l.refuse(h.Stamp())
		return false, fmt.Errorf("revision %d from %s: %w", h.Revision, from, err)
	}
	l.head, l.text = h, text
	return true, nil
}

// refuse records the newest stamp whose text couldn't be parsed.
func (l *Replica) refuse(s Stamp) {
	if s.Revision > l.refused.Revision {
		l.refused = s
	}
}

// compare returns ErrDivergent if a head of the revision in force has another
// digest.
func (l *Replica) compare(h Head, from string) error {
	if h.Digest == l.head.Digest {
		return nil
	}
	return errors.Annotatef(ErrDivergent, "revision %d from %s", h.Revision, from)
}

// LearnRow is like Learn, for the row HeadKey as read from the table service. An
// absent row has version zero.
func (l *Replica) LearnRow(row store.Row) (bool, error) {
	h, err := DecodeHead(row)
	if err != nil {
		return false, err
	}
	return l.Learn(h, FromStore)
}

// recordReply records that a source has replied.
func (l *Replica) recordReply(from string) {
	if from == FromStore {
		l.storeRead = true
	} else {
		l.peersSeen[from] = struct{}{}
	}
	l.updateReady()
}

// LearnText is like Learn, for a text without a digest.
func (l *Replica) LearnText(revision int64, text []byte, from string) (bool, error) {
	t := string(bytes.Clone(text))
	return l.Learn(Head{Revision: revision, Digest: Digest(revision, t), Text: t}, from)
}
