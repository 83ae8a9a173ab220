package conf

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

const (
	// HeadKey is the row that holds the accepted text.
	HeadKey = "conf/head"
	// StampKey is the row that holds only the accepted text's stamp, so that a
	// poll stays small however long the text is.
	StampKey = "conf/stamp"
	// maxAcceptances is how many of the last acceptances the row lists.
	maxAcceptances = 64
)

// ErrDamaged says that a row or a push does not hold what its digest says.
const ErrDamaged = errors.ConstError("damaged configuration")

type (
	// Head is an accepted text, as the row HeadKey holds it and as instances
	// push it.
	Head struct {
		// Revision counts the accepted texts, from 1.
		Revision int64 `json:"revision"`
		// Digest covers the revision and the text.
		Digest uint64 `json:"digest,string"`
		// Text is the text as its writer sent it.
		Text string `json:"text"`
		// AcceptedBy is the request id of the writer.
		AcceptedBy string `json:"acceptedBy"`
		// Acceptances are the last revisions and their writers, oldest first,
		// this one included. They settle a lost answer after later revisions.
		Acceptances []Acceptance `json:"acceptances"`
	}

	// Acceptance names the writer of one revision.
	Acceptance struct {
		Revision  int64  `json:"revision"`
		RequestID string `json:"requestId"`
	}

	// Stamp is what instances exchange to learn who is behind.
	Stamp struct {
		Revision int64  `json:"revision"`
		Digest   uint64 `json:"digest,string"`
	}
)

// Digest returns the digest of a text under its revision.
func Digest(revision int64, text string) uint64 {
	d := xxhash.New()
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(revision))
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(text)
	return d.Sum64()
}

// Stamp returns the head's revision and digest.
func (h Head) Stamp() Stamp { return Stamp{Revision: h.Revision, Digest: h.Digest} }

// next returns the head that follows this one.
func (h Head) next(text, requestID string) Head {
	revision := h.Revision + 1
	acceptances := append(h.Acceptances[:len(h.Acceptances):len(h.Acceptances)], Acceptance{Revision: revision, RequestID: requestID})
	if extra := len(acceptances) - maxAcceptances; extra > 0 {
		acceptances = acceptances[extra:]
	}
	return Head{
		Revision:    revision,
		Digest:      Digest(revision, text),
		Text:        text,
		AcceptedBy:  requestID,
		Acceptances: acceptances,
	}
}

// writer returns who wrote the revision, if the head still lists it.
func (h Head) writer(revision int64) (string, bool) {
	a, ok := find(h.Acceptances, func(a Acceptance) bool { return a.Revision == revision })
	return a.RequestID, ok
}

// DecodeHead reads the row HeadKey. An absent row, of version zero, is the
// empty head of revision zero.
func DecodeHead(row store.Row) (Head, error) {
	if row.Version == 0 {
		return Head{}, nil
	}
	var h Head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return Head{}, errors.WithType(err, ErrDamaged)
	}
	if h.Revision < 1 || h.Digest != Digest(h.Revision, h.Text) {
		return Head{}, errors.Annotatef(ErrDamaged, "revision %d", h.Revision)
	}
	return h, nil
}

// DecodeStamp reads the row StampKey; an absent row is the empty stamp.
func DecodeStamp(row store.Row) (Stamp, error) {
	if row.Version == 0 {
		return Stamp{}, nil
	}
	var s Stamp
	if err := json.Unmarshal(row.Value, &s); err != nil {
		return Stamp{}, errors.WithType(err, ErrDamaged)
	}
	return s, nil
}
