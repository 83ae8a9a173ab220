package fleet

import "time"

type (
	// delegation is what one seat holder last delegated to this home.
	delegation struct {
		granted Bitmap
		slots   int
		until   time.Time
		handed  map[Shard]uint64
		// lastReply is the id of the newest reply that was applied.
		lastReply uint64
		// sent holds the requests that have no reply yet.
		sent map[uint64]time.Time
	}

	// Book is the home's side of delegation: what every seat holder delegated
	// and until when. A delegation counts from the moment before its request
	// was sent; each reply counts once and older ones than the newest applied
	// are dropped, so that late and doubled replies extend nothing.
	Delegations struct {
		holders map[string]*delegation
		// guard is how long before a holder's delegation lapses its seats no
		// longer count towards what holds until Authority.Until.
		expiryGuard time.Duration
		// notBefore holds for each shard the first request id whose reply may
		// delegate it; it rises when the shard is given up.
		minRequestID [ShardCount]uint64
		authority    [ShardCount]Authority
		changed      Bitmap
		// stale says that the authority changed since the last snapshot.
		snapshotStale bool
	}
)

// NewBook returns a book without delegations.
func NewDelegations(guard time.Duration) *Delegations {
	return &Delegations{holders: make(map[string]*delegation), expiryGuard: guard}
}

// Sent notes a request to a holder. The time must be read before the request
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

// Received applies a holder's reply; it returns false if the reply is late or
// doubled.
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

// Failed drops a request that has no reply.
func (b *Delegations) Failed(holder string, id uint64) {
	delete(b.delegationOf(holder).sent, id)
}

// Release gives shards up at once. Only replies to requests from the id next
// on may delegate them again.
func (b *Delegations) Release(shards Bitmap, next uint64, now time.Time) {
	for _, s := range shards.Shards() {
		b.minRequestID[s] = next
		for _, d := range b.holders {
			d.granted.Clear(s)
		}
	}
	b.recompute(shards, now)
}

// Acked returns the id of the newest reply of a holder that was applied.
func (b *Delegations) Acked() map[string]uint64 {
	acked := make(map[string]uint64, len(b.holders))
	for name, d := range b.holders {
		acked[name] = d.lastReply
	}
	return acked
}

// Tick recomputes the shards of the delegations that are about to lapse.
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

// idle says that nothing came from the holder for long and nothing is awaited.
func (d *delegation) idle(now time.Time) bool {
	return d.granted.Empty() && len(d.sent) == 0 && now.Sub(d.until) >= forgetTimeout
}

// Of returns the authority over a shard at a moment.
func (b *Delegations) Authority(s Shard, now time.Time) Authority { return b.authority[s].At(now) }

// Held returns the number of shards that have authority at a moment.
func (b *Delegations) HeldCount(now time.Time) int {
	n := 0
	for s := range b.authority {
		if b.Authority(Shard(s), now).Seats > 0 {
			n++
		}
	}
	return n
}

// heldShards are the shards that may have authority.
func (b *Delegations) heldShards() *Bitmap {
	var held Bitmap
	for s := range b.authority {
		if b.authority[s].Seats > 0 {
			held.Set(Shard(s))
		}
	}
	return &held
}

// TakeChanged returns the shards whose authority changed since its last call.
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

// allowed drops the shards that were given up after the request was sent.
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
		if last.Seats == 0 {
			next.Since = now
		}
		if next.Seats == 0 {
			next = Authority{}
		}
		if next != b.authority[s] {
			b.authority[s] = next
			b.changed.Set(s)
			b.snapshotStale = true
		}
	}
}

// sum counts the seats that hold past the guard, unless only the others make
// the authority exclusive.
func (b *Delegations) sumSlots(s Shard, now time.Time) Authority {
	lasting := b.sumSlotsAfter(s, now.Add(b.expiryGuard))
	if lasting.Exclusive {
		return lasting
	}
	all := b.sumSlotsAfter(s, now)
	if all.Exclusive || lasting.Seats == 0 {
		return all
	}
	return lasting
}

// sumFrom counts the seats that hold past a moment.
func (b *Delegations) sumSlotsAfter(s Shard, from time.Time) Authority {
	var a Authority
	for _, d := range b.holders {
		if !d.granted.Has(s) || !from.Before(d.until) {
			continue
		}
		if a.Seats == 0 || d.until.Before(a.Until) {
			a.Until = d.until
		}
		a.Seats += d.slots
		a.addHanded(d.handed[s], d.slots)
	}
	a.Exclusive = a.Seats >= ExclusiveSeats
	return a
}

// addHanded counts seats by the newest handover. Ids of handovers are random,
// so two of them on one shard are rare; the larger one is counted then, which
// at worst leaves levels behind.
func (a *Authority) addHanded(handover uint64, seats int) {
	switch {
	case handover == 0:
	case handover == a.Handover:
		a.HandedSlots += seats
	case handover > a.Handover:
		a.Handover = handover
		a.HandedSlots = seats
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
