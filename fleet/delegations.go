package fleet

import "time"

type (
	// delegation is what one slot holder last delegated to this home.
	delegation struct {
		granted Bitmap
		slots   int
		until   time.Time
		handed  map[Shard]uint64
		// lastReply is the id of the newest reply that was applied.
		lastReply uint64
		// sent holds the send times of the requests that have no reply yet.
		sent map[uint64]time.Time
	}

	// Delegations is the home's side of delegation: what each slot holder
	// delegated and until when. The TTL of a delegation starts when its request
	// is sent. A reply is applied at most once, and not after a newer one, so
	// late and duplicate replies extend nothing.
	Delegations struct {
		holders map[string]*delegation
		// expiryGuard is how long before a delegation expires its slots are left
		// out, as long as the other slots suffice for the same authority.
		expiryGuard time.Duration
		// minRequestID is, by shard, the lowest request id whose reply may
		// delegate the shard; releasing the shard raises it.
		minRequestID [ShardCount]uint64
		authority    [ShardCount]Authority
		changed      Bitmap
		// snapshotStale reports that authority changed since the last snapshot.
		snapshotStale bool
	}
)

// NewDelegations returns an empty set of delegations with an expiry guard.
func NewDelegations(expiryGuard time.Duration) *Delegations {
	return &Delegations{holders: make(map[string]*delegation), expiryGuard: expiryGuard}
}

// Sent records a request to a holder. The time must be read before the request
// is sent.
func (b *Delegations) Sent(holder string, id uint64, now time.Time) {
	d := b.delegationOf(holder)
	for old, sent := range d.sent {
		if now.Sub(sent) >= forgetTimeout {
			delete(d.sent, old)
		}
	}
	d.sent[id] = now
}

// Received applies a holder's reply; it returns false for a late or duplicate
// reply.
func (b *Delegations) Received(holder string, r PullReply, now time.Time) bool {
	d := b.delegationOf(holder)
	sent, ok := d.sent[r.ID]
	delete(d.sent, r.ID)
	if !ok || r.ID <= d.lastReply {
		return false
	}
	before := d.granted
	d.lastReply = r.ID
	d.slots = r.Slots
	d.until = sent.Add(r.TTL)
	d.granted = b.dropReleased(r)
	d.handed = handedOf(r)
	b.recompute(union(before, d.granted), now)
	return true
}

// Failed drops a request that will get no reply.
func (b *Delegations) Failed(holder string, id uint64) {
	delete(b.delegationOf(holder).sent, id)
}

// Release gives up shards at once. Only replies to requests with the id next or
// a higher one may delegate them again.
func (b *Delegations) Release(shards Bitmap, next uint64, now time.Time) {
	for _, s := range shards.Shards() {
		b.minRequestID[s] = next
		for _, d := range b.holders {
			d.granted.Clear(s)
		}
	}
	b.recompute(shards, now)
}

// Acked returns, by holder, the id of the newest reply that was applied.
func (b *Delegations) Acked() map[string]uint64 {
	acked := make(map[string]uint64, len(b.holders))
	for name, d := range b.holders {
		acked[name] = d.lastReply
	}
	return acked
}

// Tick recomputes the shards of delegations that expire within the guard.
func (b *Delegations) Tick(now time.Time) {
	var due Bitmap
	for name, d := range b.holders {
		if d.idle(now) {
			delete(b.holders, name)
		}
		if d.granted.Empty() || now.Add(b.expiryGuard).Before(d.until) {
			continue
		}
		due = union(due, d.granted)
		if now.Before(d.until) {
			continue
		}
		d.granted = Bitmap{}
		d.handed = nil
	}
	if !due.Empty() {
		b.recompute(due, now)
	}
}

// idle reports whether the delegation expired long ago and no reply is pending.
func (d *delegation) idle(now time.Time) bool {
	return d.granted.Empty() && len(d.sent) == 0 && now.Sub(d.until) >= forgetTimeout
}

// Authority returns the authority over a shard that is in force at now.
func (b *Delegations) Authority(s Shard, now time.Time) Authority { return b.authority[s].At(now) }

// HeldCount returns the number of shards that have authority at now.
func (b *Delegations) HeldCount(now time.Time) int {
	n := 0
	for s := range b.authority {
		if b.Authority(Shard(s), now).Slots > 0 {
			n++
		}
	}
	return n
}

// heldShards returns the shards with recorded authority, expired or not.
func (b *Delegations) heldShards() *Bitmap {
	var held Bitmap
	for s := range b.authority {
		if b.authority[s].Slots > 0 {
			held.Set(Shard(s))
		}
	}
	return &held
}

// TakeChanged returns the shards whose authority changed since the last call.
func (b *Delegations) TakeChanged() Bitmap {
	changed := b.changed
	b.changed = Bitmap{}
	return changed
}

func (b *Delegations) delegationOf(name string) *delegation {
	d := b.holders[name]
	if d == nil {
		d = &delegation{sent: make(map[uint64]time.Time)}
		b.holders[name] = d
	}
	return d
}

// dropReleased returns the granted shards without those that were released
// after the request was sent.
func (b *Delegations) dropReleased(r PullReply) Bitmap {
	granted := r.Granted
	for _, s := range granted.Shards() {
		if r.ID < b.minRequestID[s] {
			granted.Clear(s)
		}
	}
	return granted
}

func (b *Delegations) recompute(shards Bitmap, now time.Time) {
	for _, s := range shards.Shards() {
		next := b.sumSlots(s, now)
		last := b.authority[s].At(now)
		next.Since = last.Since
		if last.Slots == 0 {
			next.Since = now
		}
		if next.Slots == 0 {
			next = Authority{}
		}
		if next != b.authority[s] {
			b.authority[s] = next
			b.changed.Set(s)
			b.snapshotStale = true
		}
	}
}

// sumSlots counts the slots that stay delegated for longer than the guard. It
// includes the others only if they are needed for exclusive authority or if
// there are no longer-lasting ones.
func (b *Delegations) sumSlots(s Shard, now time.Time) Authority {
	lasting := b.sumSlotsAfter(s, now.Add(b.expiryGuard))
	if lasting.Exclusive {
		return lasting
	}
	all := b.sumSlotsAfter(s, now)
	if all.Exclusive || lasting.Slots == 0 {
		return all
	}
	return lasting
}

// sumSlotsAfter counts the slots whose delegations expire after from.
func (b *Delegations) sumSlotsAfter(s Shard, from time.Time) Authority {
	var a Authority
	for _, d := range b.holders {
		if !d.granted.Has(s) || !from.Before(d.until) {
			continue
		}
		if a.Slots == 0 || d.until.Before(a.Until) {
			a.Until = d.until
		}
		a.Slots += d.slots
		a.addHanded(d.handed[s], d.slots)
	}
	a.Exclusive = a.Slots >= MinExclusiveSlots
	return a
}

// addHanded counts the slots that a handover transferred. Two handovers of one
// shard are rare; only the one with the larger id is counted then, although ids
// are random. At worst the bucket levels of the other one are lost.
func (a *Authority) addHanded(handover uint64, slots int) {
	switch {
	case handover == 0:
	case handover == a.Handover:
		a.HandedSlots += slots
	case handover > a.Handover:
		a.Handover = handover
		a.HandedSlots = slots
	}
}

func handedOf(r PullReply) map[Shard]uint64 {
	if len(r.Handed) == 0 {
		return nil
	}
	handed := make(map[Shard]uint64, len(r.Handed))
	for _, h := range r.Handed {
		handed[h.Shard] = h.Handover
	}
	return handed
}

func union(a, b Bitmap) Bitmap {
	for i, x := range b {
		a[i] |= x
	}
	return a
}
