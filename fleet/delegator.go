package fleet

import "time"

const (
	// promiseMargin is added to a promise on top of a share of its length.
	promiseMargin = 10 * time.Millisecond
	// promiseMarginShare is the share of a promise's length that covers clocks
	// that run at different speeds, as a divisor.
	promiseMarginShare = 50
)

type (
	// promise is what a seat holder promised of one shard.
	promise struct {
		home  string
		epoch uint64
		until time.Time
		// firstPull and lastPull are the ids of the requests that began and
		// that last extended the promise.
		firstPull uint64
		lastPull  uint64
		// handover is the planned handover that the promise came by.
		handover    uint64
		handedUntil time.Time
		// contender is the shard's home in the holder's eyes that asked in vain.
		contender      string
		contenderUntil time.Time
	}

	// Delegator is the seat holder's side of delegation. All seats that a
	// process holds are promised together, so there is one promise a shard.
	//
	// A promise outlives every delegation that was made under it: the home
	// counts the TTL from before it sent the request, the holder from when it
	// received it, plus a margin for clocks of different speeds. No clocks are
	// compared.
	//
	// A fresh process remembers no promises. That is safe because it delegates
	// only seats that were claimed under its own epoch: a seat comes free by its
	// previous session either after that session's promises have lapsed, or
	// after the session itself has, and a delegation never outlives the session
	// it was made under. Seats of an earlier process of the same name carry the
	// earlier epoch and are left alone like any other instance's.
	Delegator struct {
		promises [ShardCount]promise
		// latest is when the last of all promises lapses.
		lastExpiry time.Time
	}

	// Offer is what a holder has to delegate at a moment.
	Offer struct {
		// Seats is the number of seats.
		Slots int
		// Until is when the seats lapse unless they are renewed.
		Until time.Time
		// TTL is the longest delegation.
		TTL time.Duration
		// Home names the shard's home in the holder's eyes.
		Home func(s Shard) string
	}
)

// HandlePull answers a home's request. The time must be read after the request
// was received. Requests may be late, doubled and out of order.
func (d *Delegator) HandlePull(r PullRequest, offer Offer, now time.Time) PullReply {
	for _, rel := range r.Releases {
		d.release(r, rel, offer.TTL, now)
	}
	reply := PullReply{ID: r.ID}
	ttl := min(offer.TTL, offer.Until.Sub(now))
	if offer.Slots == 0 || ttl <= 0 || r.Shards.Empty() {
		return reply
	}
	reply.Slots = offer.Slots
	reply.TTL = ttl
	for _, s := range r.Shards.Shards() {
		d.grant(&reply, r, s, offer, now)
	}
	return reply
}

// Latest returns when the last promise lapses.
func (d *Delegator) LastExpiry() time.Time { return d.lastExpiry }

// PromisedTo returns the home that the shard is promised to at a moment.
func (d *Delegator) PromisedTo(s Shard, now time.Time) string {
	p := &d.promises[s]
	if !now.Before(p.until) {
		return ""
	}
	return p.home
}

// grant promises the shard to the asker if nobody else has it.
func (d *Delegator) grant(reply *PullReply, r PullRequest, s Shard, offer Offer, now time.Time) {
	p := &d.promises[s]
	asker := r.From.Instance.Name
	held := now.Before(p.until)
	mine := held && p.home == asker && (p.epoch == r.From.Epoch || p.epoch == 0)
	if held && !mine {
		p.recordContender(asker, offer, s, now)
		reply.retryIn(p.until.Sub(now))
		return
	}
	if p.contested(asker, now) && offer.Home(s) != asker {
		return
	}
	if !mine {
		*p = promise{firstPull: r.ID}
	}
	p.home = asker
	p.epoch = r.From.Epoch
	p.firstPull = firstPull(p.firstPull, r.ID)
	p.lastPull = max(p.lastPull, r.ID)
	p.until = maxTime(p.until, now.Add(promiseDuration(reply.TTL)))
	d.lastExpiry = maxTime(d.lastExpiry, p.until)
	reply.Granted.Set(s)
	if p.handover != 0 && now.Before(p.handedUntil) {
		reply.Handed = append(reply.Handed, Handed{Shard: s, Handover: p.handover})
	}
}

// retryIn notes when a refused shard comes free.
func (r *PullReply) retryIn(d time.Duration) {
	if r.RetryAfter == 0 || d < r.RetryAfter {
		r.RetryAfter = d
	}
}

// firstPull keeps the id that began a promise; a handed promise has none yet.
func firstPull(first, id uint64) uint64 {
	if first == 0 {
		return id
	}
	return first
}

// contend remembers that the shard's home asked in vain, so that a home which
// no longer is one is not extended for ever.
func (p *promise) recordContender(asker string, offer Offer, s Shard, now time.Time) {
	if offer.Home(s) != asker {
		return
	}
	p.contender = asker
	p.contenderUntil = now.Add(offer.TTL)
}

func (p *promise) contested(asker string, now time.Time) bool {
	return p.contender != "" && p.contender != asker && now.Before(p.contenderUntil)
}

// release moves a home's promise to its next home. A release that is older
// than the promise's last extension is a late message and changes nothing.
func (d *Delegator) release(r PullRequest, rel Release, ttl time.Duration, now time.Time) {
	for _, s := range rel.Shards.Shards() {
		p := &d.promises[s]
		stale := p.home != r.From.Instance.Name || p.epoch != r.From.Epoch || r.ID <= p.lastPull
		if stale || !now.Before(p.until) {
			continue
		}
		next := promise{home: rel.To, until: p.until}
		// Only what the home knew it had is handed over: else another home may
		// have had the seats after the levels were exported.
		if p.firstPull <= rel.Acked {
			next.handover = rel.Handover
			next.handedUntil = now.Add(2 * promiseDuration(ttl))
		}
		*p = next
	}
}

// promised returns how long a promise for a delegation of that TTL lasts.
func promiseDuration(ttl time.Duration) time.Duration {
	return ttl + ttl/promiseMarginShare + promiseMargin
}
