package fleet

import (
	"encoding/json"

	"github.com/buckthorntide/buckthorntide/store"
)

type (
	// slotWrite sets the owner of a slot; the zero owner frees the slot.
	slotWrite struct {
		slot    int
		version int64
		owner   sessionID
	}

	// change is what a transaction of LeaseSlots does besides renewing the
	// session.
	change struct {
		conditions []store.Condition
		// fencedInstance is the instance whose session row is deleted.
		fencedInstance string
		slots          []slotWrite
	}
)

func (s *LeaseSlots) newChange() *change { return &change{} }

// require adds the condition that a row has a version.
func (c *change) require(key string, version int64) {
	next := store.Condition{Key: key, Version: version}
	for _, have := range c.conditions {
		if have == next {
			return
		}
	}
	c.conditions = append(c.conditions, next)
}

// fenceSession deletes the session row of an instance if it has that version.
func (c *change) fenceSession(instance string, version int64) {
	c.require(SessionKey(instance), version)
	c.fencedInstance = instance
}

func (c *change) assign(k int, version int64, owner sessionID) {
	c.require(SlotKey(k), version)
	c.slots = append(c.slots, slotWrite{slot: k, version: version, owner: owner})
}

func (c *change) free(k int, from slotState) { c.assign(k, from.version, sessionID{}) }

// txn returns the transaction that makes the change and renews the session.
func (c *change) txn(session string, version int64, row SessionRow) *store.Txn {
	txn := &store.Txn{
		Conditions: append([]store.Condition{{Key: session, Version: version}}, c.conditions...),
		Writes:     []store.Write{{Key: session, Value: encode(row)}},
	}
	if c.fencedInstance != "" {
		txn.Writes = append(txn.Writes, store.Write{Key: SessionKey(c.fencedInstance), Delete: true})
	}
	for _, w := range c.slots {
		txn.Writes = append(txn.Writes, w.write())
	}
	return txn
}

func (w slotWrite) write() store.Write {
	if w.owner == (sessionID{}) {
		return store.Write{Key: SlotKey(w.slot), Delete: true}
	}
	row := SlotRow{Instance: w.owner.instance, Epoch: w.owner.epoch}
	return store.Write{Key: SlotKey(w.slot), Value: encode(row)}
}

// encode returns the JSON of a row. The row types are plain structs, which
// cannot fail to encode.
func encode(row any) []byte {
	raw, err := json.Marshal(row)
	if err != nil {
		return nil
	}
	return raw
}
