package conf

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/store"
)

const (
	// HeadKey is the key of the row that holds the accepted text.
	HeadKey = "conf/head"
	// StampKey is the key of the row that holds only the accepted text's stamp, so
	// that the size of a poll doesn't depend on the size of the text.
	StampKey = "conf/stamp"
	// maxAcceptances is the number of acceptances in the head row.
	maxAcceptances = 64
)

// ErrDamaged reports a row or a push that can't be decoded or doesn't match its
// digest.
const ErrDamaged = errors.ConstError("damaged configuration")

type (
	// Head is an accepted text with its metadata, as stored in the row HeadKey and
	// pushed between instances.
	Head struct {
		// Revision counts the accepted texts, from 1.
		Revision int64 `json:"revision"`
		// Digest covers the revision and the text.
		Digest uint64 `json:"digest,string"`
		// Text is the source of the text, unmodified.
		Text string `json:"text"`
		// AcceptedBy is the request id of the writer.
		AcceptedBy string `json:"acceptedBy"`
		// Acceptances holds the writers of the last revisions up to this one,
		// oldest first. A writer whose commit got no reply finds its outcome here,
		// even after later revisions.
		Acceptances []Acceptance `json:"acceptances"`
	}

	// Acceptance is a revision with the request id of its writer.
	Acceptance struct {
		Revision  int64  `json:"revision"`
		RequestID string `json:"requestId"`
	}

	// Stamp identifies a version of the text. Instances exchange stamps to detect
	// which of them is behind.
	Stamp struct {
		Revision int64  `json:"revision"`
		Digest   uint64 `json:"digest,string"`
	}
)

// Digest returns the digest of a revision and its text.
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

// next returns the head of the next revision.
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

// writer returns the request id that wrote the revision, or false if the head no
// longer lists it.
func (h Head) writer(revision int64) (string, bool) {
	a, ok := find(h.Acceptances, func(a Acceptance) bool { return a.Revision == revision })
	return a.RequestID, ok
}

// DecodeHead decodes the row HeadKey. An absent row, which has version zero,
// decodes to the empty head of revision zero.
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

// DecodeStamp decodes the row StampKey. An absent row decodes to the empty stamp.
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
