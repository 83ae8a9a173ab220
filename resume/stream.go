// Package resume remembers which software version began each resumable stream, so
// that the stream goes on at an upstream of that version.
//
// A version stands in its service's row of the versions table before the first
// stream begins there, and until no such stream can be taken up any more. So a row
// with one version tells the version of every stream of the service, and no stream
// is stored. While a row has several versions, each stream has a row of its own.
//
// Streams that began while the row had one version may have none, if their instance
// ended before it could write them. So that version stays marked as the row's base for a
// while, and a process announces itself in the store before it lets streams of another
// version begin beside the base. A stream without a row began at the base, unless it began
// at a process that had announced itself: those are asked, and as long as one of them
// can't be, nobody goes on with the stream. Whoever decides this has read the rows after
// the caller came. Processes that ended before the second version was listed have not
// announced themselves.
package resume

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/rows"
)

const (
	// StreamTable holds streams that began while their service had several versions.
	StreamTable = "streams"

	// ErrNotAnnounced means that the stream can't begin, since others would take it for one
	// of the base.
	ErrNotAnnounced = errors.ConstError("this instance has not announced streams beside the base yet")
	// errNoRow means that the store has no row of a stream.
	errNoRow = errors.ConstError("the stream has no row")
	// ErrUnknown means that it can't be determined which version began a stream.
	ErrUnknown = errors.ConstError("version of the stream is unknown")

	// streamTTL is the maximum time after its first event at which a stream is taken
	// up. Callers wait a few seconds for an answer with all its retries.
	streamTTL = 2 * time.Minute
	// deadlineMargin is how long after its caller's deadline a stream is remembered.
	deadlineMargin = 10 * time.Second
	// parts is the number of table parts that streams are hashed to. A part runs its
	// transactions one after the other.
	parts = 16
	// keyBytes is how much of a stream's hash is its key.
	keyBytes = 16
)

type (
	// Stream identifies a stream by its team and the ID of the request that brought
	// its first event.
	Stream struct {
		Team string
		ID   string
	}

	// Origin is where a stream began.
	Origin struct {
		Service string `json:"service"`
		Version string `json:"version"`
		// Unknown is set if it can't be told which version began the stream.
		Unknown bool `json:"unknown,omitempty"`
	}

	// record is a stream with its origin.
	record struct {
		key    string
		origin Origin
		// expiresAt is when the stream can't be taken up any more, on the clock of
		// common.Uptime.
		expiresAt time.Duration
	}
)

// key is the same for no two streams, whatever bytes their names have.
func (s Stream) key() string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d/%s%s", len(s.Team), s.Team, s.ID))
	return hex.EncodeToString(sum[:keyBytes])
}

// newRecord returns the record of a stream whose caller waits for the given time;
// 0 means unknown.
func newRecord(s Stream, origin Origin, left, now time.Duration) record {
	ttl := streamTTL
	if left > 0 {
		ttl = min(ttl, left+deadlineMargin)
	}
	return record{key: s.key(), origin: origin, expiresAt: now + ttl}
}

// partOf returns the part of the table that has the key.
func partOf(key string) int { return int(xxhash.Sum64String(key) % parts) }

func streamID(key string) rows.ID {
	return rows.ID{Table: StreamTable, Part: partName(partOf(key)), Key: key}
}

func partName(part int) string { return fmt.Sprintf("s%d", part) }

func (o Origin) encode() ([]byte, error) { return json.Marshal(o) }

func decodeOrigin(value []byte) (Origin, error) {
	var o Origin
	err := json.Unmarshal(value, &o)
	return o, errors.Trace(err)
}
