package fleet

import "time"

const (
	// promiseMargin is the fixed part of the margin of a promise.
	promiseMargin = 10 * time.Millisecond
	// promiseMarginDivisor gives the rest of the margin as a fraction of the TTL;
	// it covers clocks that run at different speeds.
	promiseMarginDivisor = 50
)

type (
	// promise reserves one shard's slots for a home until it expires.
	promise struct {
		home  string
		epoch uint64
		until time.Time
		// firstPull and lastPull are the ids of the requests that created and
		// that last extended the promise.
		firstPull uint64
		lastPull  uint64
		// handover is the id of the planned handover that transferred the
		// promise, or zero. It is reported until handedUntil.
		handover    uint64
		handedUntil time.Time
		// contender is the instance that the holder considers the shard's home
		// and whose request it refused.
		contender      string
		contenderUntil time.Time
	}

	// Delegator is the slot holder's side of delegation. A process promises all
	// its slots of a shard together, so there is one promise per shard.
	//
	// A promise outlives every delegation made under it: the home counts the TTL
	// from before it sends the request, the holder counts it from when it
	// received the request and adds a margin for clocks that run at different
	// speeds. Clock readings of two processes are never compared.
	//
	// A new process starts without promises. This is safe because it delegates
	// only slots claimed under its own epoch. A slot leaves a session only after
	// the session's promises have expired or after the session itself has, and a
	// delegation never outlives the session it was made under. Slots of an
	// earlier process of the same name carry the earlier epoch and are treated
	// like those of any other instance.
	Delegator struct {
		promises [ShardCount]promise
		// lastExpiry is when the last of all promises expires.
		lastExpiry time.Time
	}

	// Offer describes the slots that a holder can delegate now.
	Offer struct {
		// Slots is the number of slots that the holder may delegate.
		Slots int
		// Until is when the slots expire unless they are renewed.
		Until time.Time
		// TTL is the maximum TTL of a delegation.
		TTL time.Duration
		// Home returns the instance that the holder considers the shard's home.
		Home func(s Shard) string
	}
)

// HandlePull answers a home's request. The time must be read after the request
// was received. Requests may be late, duplicated or out of order.
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

// LastExpiry returns when the last promise expires.
func (d *Delegator) LastExpiry() time.Time { return d.lastExpiry }

// PromisedTo returns the home that holds the shard's promise at now, or "".
func (d *Delegator) PromisedTo(s Shard, now time.Time) string {
	p := &d.promises[s]
	if !now.Before(p.until) {
		return ""
	}
	return p.home
}

// grant promises the shard to the requester unless another home holds an
// unexpired promise, or has contended for the shard as its home.
func (d *Delegator) grant(reply *PullReply, r PullRequest, s Shard, offer Offer, now time.Time) {
	p := &d.promises[s]
	requester := r.From.Instance.Name
	held := now.Before(p.until)
	renewing := held && p.home == requester && (p.epoch == r.From.Epoch || p.epoch == 0)
	if held && !renewing {
		p.recordContender(requester, offer, s, now)
		reply.retryIn(p.until.Sub(now))
		return
	}
	if p.contested(requester, now) && offer.Home(s) != requester {
		return
	}
	if !renewing {
		*p = promise{firstPull: r.ID}
	}
	p.home = requester
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

// retryIn lowers RetryAfter to the time until a refused shard is free.
func (r *PullReply) retryIn(d time.Duration) {
	if r.RetryAfter == 0 || d < r.RetryAfter {
		r.RetryAfter = d
	}
}

// firstPull returns the id of the request that created a promise. A promise that
// was handed over has none until its first extension.
func firstPull(first, id uint64) uint64 {
	if first == 0 {
		return id
	}
	return first
}

// recordContender records a refused request of the shard's home, so that a
// former home cannot extend its promise forever.
func (p *promise) recordContender(requester string, offer Offer, s Shard, now time.Time) {
	if offer.Home(s) != requester {
		return
	}
	p.contender = requester
	p.contenderUntil = now.Add(offer.TTL)
}

func (p *promise) contested(requester string, now time.Time) bool {
	return p.contender != "" && p.contender != requester && now.Before(p.contenderUntil)
}

// release transfers a home's promises to the next home. A release that is older
// than a promise's last extension is a late message and has no effect on it.
func (d *Delegator) release(r PullRequest, rel Release, ttl time.Duration, now time.Time) {
	for _, s := range rel.Shards.Shards() {
		p := &d.promises[s]
		stale := p.home != r.From.Instance.Name || p.epoch != r.From.Epoch || r.ID <= p.lastPull
		if stale || !now.Before(p.until) {
			continue
		}
		next := promise{home: rel.To, until: p.until}
		// The slots count as handed over only if the old home had received the
		// delegation. Otherwise another home may have used the slots after the
		// levels were exported.
		if p.firstPull <= rel.Acked {
			next.handover = rel.Handover
			next.handedUntil = now.Add(2 * promiseDuration(ttl))
		}
		*p = next
	}
}

// promiseDuration returns how long a promise lasts for a delegation of that TTL.
func promiseDuration(ttl time.Duration) time.Duration {
	return ttl + ttl/promiseMarginDivisor + promiseMargin
}
