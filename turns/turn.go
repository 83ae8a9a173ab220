// Package turns stores the turns of conversations, so that any instance can
// continue from any of them. A turn is in the store before its answer ends.
package turns

import (
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/rows"
)

const (
	// ErrNoTurn means that the team has no turn with the ID.
	ErrNoTurn = errors.ConstError("no such turn")
	// ErrUncertain means that it can't be determined whether the turn exists.
	ErrUncertain = errors.ConstError("turn can't be looked up")
	// ErrNotKept means that a turn may not be in the store.
	ErrNotKept = errors.ConstError("turn is not kept")

	// Table holds the turns.
	Table = "turns"

	// parts is the number of table parts that turns are hashed to. A part runs its
	// transactions one after the other, a few hundred a second, and fifty times
	// fewer while the store is slow. A turn is read by its ID alone, so more parts
	// cost nothing.
	parts = 256
	// rowOverhead is the space reserved in each row for the encoding of a chunk.
	rowOverhead = 256
)

type (
	// Turn is one finished turn of a conversation.
	Turn struct {
		ID   string `cbor:"1,keyasint"`
		Team string `cbor:"2,keyasint"`
		// Ancestors are the IDs of the previous turns, the oldest first.
		Ancestors []string `cbor:"3,keyasint"`
		// Input is the turn's own part of the prompt.
		Input []byte `cbor:"4,keyasint"`
		// Output has the data of all events, each followed by a line feed.
		Output []byte `cbor:"5,keyasint"`
		// Retention is how long the turn can be continued after its end.
		Retention time.Duration `cbor:"6,keyasint"`
	}

	// chunk is one row of a turn, which may be larger than a row.
	chunk struct {
		Count int    `cbor:"1,keyasint"`
		Data  []byte `cbor:"2,keyasint"`
	}
)

// Size returns the approximate memory use of the turn.
func (t *Turn) Size() int { return len(t.Input) + len(t.Output) + rowOverhead }

// encode returns the transaction that stores the turn. It is idempotent.
func encode(t *Turn, rowBytes int) (rows.Txn, error) {
	whole, err := cbor.Marshal(t)
	if err != nil {
		return rows.Txn{}, errors.Trace(err)
	}
	size := max(1, rowBytes-rowOverhead)
	count := max(1, (len(whole)+size-1)/size)
	var txn rows.Txn
	for i := range count {
		data := whole[i*size : min(len(whole), (i+1)*size)]
		value, err := cbor.Marshal(chunk{Count: count, Data: data})
		if err != nil {
			return rows.Txn{}, errors.Trace(err)
		}
		txn.Writes = append(txn.Writes, rows.Write{ID: chunkID(t.ID, i), Value: value})
	}
	return txn, nil
}

// query selects the rows of a turn.
func query(id string) rows.Query {
	first := chunkID(id, 0)
	// The keys of further chunks start with the ID and '/'; '0' is the next byte
	// value after '/', so the range ends behind them.
	return rows.Query{Table: first.Table, Part: first.Part, From: id, To: id + "0", Limit: maxChunks}
}

// maxChunks bounds the rows of one turn; the store's pages end at 1 MB.
const maxChunks = 100

// decode joins a turn's rows. It returns ErrNoTurn if there are none.
func decode(id string, found []rows.Row) (*Turn, error) {
	var whole []byte
	next, count := 0, 1
	for _, r := range found {
		if r.Key != chunkID(id, next).Key {
			continue
		}
		var c chunk
		if err := cbor.Unmarshal(r.Value, &c); err != nil {
			return nil, errors.WithType(err, ErrUncertain)
		}
		whole = append(whole, c.Data...)
		next, count = next+1, c.Count
	}
	if next == 0 {
		return nil, ErrNoTurn
	}
	if next != count {
		return nil, errors.Annotatef(ErrUncertain, "%d of %d rows", next, count)
	}
	t := new(Turn)
	if err := cbor.Unmarshal(whole, t); err != nil {
		return nil, errors.WithType(err, ErrUncertain)
	}
	return t, nil
}

// chunkID returns the row of the turn's chunk. Keys are in order up to 100 chunks.
func chunkID(id string, i int) rows.ID {
	row := rows.ID{Table: Table, Part: fmt.Sprintf("t%d", xxhash.Sum64String(id)%parts), Key: id}
	if i > 0 {
		row.Key += "/" + strconv.Itoa(100+i)
	}
	return row
}
