package fleet

import (
	"encoding/json"

	"github.com/buckthorntide/buckthorntide/store"
)

type (
	// seatWrite is a seat's next owner; none frees the seat.
	seatWrite struct {
		seat    int
		version int64
		owner   sessionID
	}

	// change is what a transaction of Seats does besides renewing the session.
	change struct {
		conditions []store.Condition
		// fence names an instance whose session row is deleted.
		fence string
		seats []seatWrite
	}
)

func (s *Seats) renewal() *change { return &change{} }

// asks adds the condition that a row has a version.
func (c *change) asks(key string, version int64) {
	next := store.Condition{Key: key, Version: version}
	for _, have := range c.conditions {
		if have == next {
			return
		}
	}
	c.conditions = append(c.conditions, next)
}

// fences deletes a session's row of that version.
func (c *change) fences(instance string, version int64) {
	c.asks(SessionKey(instance), version)
	c.fence = instance
}

func (c *change) seat(k int, version int64, owner sessionID) {
	c.asks(SeatKey(k), version)
	c.seats = append(c.seats, seatWrite{seat: k, version: version, owner: owner})
}

func (c *change) free(k int, from seat) { c.seat(k, from.version, sessionID{}) }

// txn returns the transaction of the change and the renewal.
func (c *change) txn(session string, version int64, row SessionRow) *store.Txn {
	txn := &store.Txn{
		Conditions: append([]store.Condition{{Key: session, Version: version}}, c.conditions...),
		Writes:     []store.Write{{Key: session, Value: encode(row)}},
	}
	if c.fence != "" {
		txn.Writes = append(txn.Writes, store.Write{Key: SessionKey(c.fence), Delete: true})
	}
	for _, w := range c.seats {
		txn.Writes = append(txn.Writes, w.write())
	}
	return txn
}

func (w seatWrite) write() store.Write {
	if w.owner == (sessionID{}) {
		return store.Write{Key: SeatKey(w.seat), Delete: true}
	}
	row := SeatRow{Instance: w.owner.instance, Epoch: w.owner.epoch}
	return store.Write{Key: SeatKey(w.seat), Value: encode(row)}
}

// encode writes a row's value. The rows are plain structs, which always encode.
func encode(row any) []byte {
	raw, err := json.Marshal(row)
	if err != nil {
		return nil
	}
	return raw
}
