// Package memory decides which requests may hold memory. It has no clock and does no I/O:
// callers pass the time, and an eviction runs a function of the holder.
package memory

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	// ErrRefused means that the bytes don't fit and that no holder may be evicted for them.
	ErrRefused = errors.ConstError("no memory left for the request")
	// ErrEvicted means that the holder was evicted for another one.
	ErrEvicted = errors.ConstError("evicted for another request")

	// SmallBytes is how much a holder may have and still use the capacity that is set aside
	// for small ones.
	SmallBytes = 64 << 10
	// smallDivisor divides the limit; one part is set aside for small holders.
	smallDivisor = 8
	// idleTime is how long a caller that sends a body may pause before it can be evicted
	// for any other. A lost packet costs several hundred milliseconds.
	idleTime = time.Second

	megabyte = 1 << 20
	// garbageDivisor and garbageFactor bound garbage to half of the live heap, at which the
	// collector runs (GOGC 50, see boot).
	garbageFactor, garbageDivisor = 2, 3
	// runtimeBytes is for the program's text, stacks and the runtime, baseBytes the live
	// heap of an instance without requests.
	runtimeBytes = 16 * megabyte
	baseBytes    = 8 * megabyte
	// CacheDivisor divides the memory of the process; one part is for the cache of turns.
	CacheDivisor = 8
	// ConnDivisor is the same for callers' connections.
	ConnDivisor = 16
	// outputDivisor divides the limit; one part is for what streaming holders collect, which
	// upstreams that send without end fill at all of them at once.
	outputDivisor = 6
	// minDivisor bounds the limit from below for processes with little memory.
	minDivisor = 8
)

// Phases of a holder.
const (
	// Working holders are never evicted: an upstream may run the request.
	Working Phase = iota
	// Reading holders wait for the rest of a request. They may be evicted if they are idle
	// or hold more than an equal share.
	Reading
	// Streaming holders collect the output of an upstream. They may be evicted if they hold
	// more than an equal share.
	Streaming
)

type (
	// Phase says when a holder may be evicted.
	Phase int

	// Account bounds the bytes of all its holders together. It is safe for concurrent use.
	Account struct {
		mu    sync.Mutex
		limit int
		used  int
		// leaving are the bytes of evicted holders that aren't closed yet, and awaited those
		// that waiting holders need.
		leaving int
		awaited int
		// collected are the bytes that holders reserved while streaming, of which there are
		// collectors.
		collected  int
		collectors int
		holders    map[*Holder]struct{}
		// changed is closed at the next release or eviction; nil if nobody waits.
		changed chan struct{}
	}

	// Holder owns the reservations of one request. Close must be called.
	Holder struct {
		account *Account
		// The account's mutex guards the fields below.
		bytes int
		phase Phase
		// collected are the bytes reserved while streaming.
		collected int
		evict     func()
		evicted   bool
		closed    bool
		// progressAt is when the request made progress last.
		progressAt time.Duration
	}
)

// Limit returns the bytes that an account may have in a process of the given memory: what the
// collector's garbage, the runtime, the cache of turns and connections leave.
func Limit(processBytes int) int {
	live := (processBytes - runtimeBytes) / garbageDivisor * garbageFactor
	return max(processBytes/minDivisor, live-baseBytes-processBytes/CacheDivisor-processBytes/ConnDivisor)
}

// NewAccount returns an account of that many bytes.
func NewAccount(limit int) *Account {
	return &Account{limit: limit, holders: make(map[*Holder]struct{})}
}

// Resize changes the limit. What is reserved stays.
func (a *Account) Resize(limit int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = limit
}

// Used returns how many bytes are reserved.
func (a *Account) Used() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Open returns a holder without bytes.
func (a *Account) Open(now time.Duration) *Holder {
	h := &Holder{account: a, progressAt: now}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holders[h] = struct{}{}
	return h
}

// Close releases what the holder has. Later calls change nothing.
func (h *Holder) Close() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	h.release(h.bytes)
	delete(a.holders, h)
}

// Release returns bytes that are no longer used.
func (h *Holder) Release(bytes int) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if !h.closed {
		h.release(min(bytes, h.bytes))
	}
}

func (h *Holder) release(bytes int) {
	h.bytes -= bytes
	collected := 0
	if h.phase == Streaming {
		collected = min(bytes, h.collected)
	}
	h.collect(-max(collected, h.collected-h.bytes))
	h.account.used -= bytes
	if h.evicted {
		h.account.leaving -= bytes
	}
	h.account.wake()
}

// Enter changes the phase; evict must end the request and is called at most once, without
// waiting. It is not called after a later Enter or Close. Enter reports whether the holder
// is still there, that is, not evicted.
func (h *Holder) Enter(phase Phase, evict func(), now time.Duration) bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.phase, h.evict, h.progressAt = phase, evict, now
	return !h.evicted
}

// Progress records that the request made progress.
func (h *Holder) Progress(now time.Duration) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.progressAt = now
}

// Evicted reports whether the holder was evicted.
func (h *Holder) Evicted() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.evicted
}

// Reserve adds bytes to the holder. If others were evicted for them, or are about to release
// enough, it returns a channel: the caller then tries again once the channel is closed, and
// calls Withdraw with the same bytes before that.
func (h *Holder) Reserve(bytes int, now time.Duration) (wait <-chan struct{}, err error) {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case h.evicted || h.closed:
		return nil, ErrEvicted
	case h.phase == Streaming && !a.mayCollect(h, bytes):
		return nil, ErrRefused
	case a.used+bytes <= a.limitFor(h, bytes):
		h.bytes += bytes
		a.used += bytes
		if h.phase == Streaming {
			h.collect(bytes)
		}
		h.progressAt = now
		return nil, nil
	case !a.makeRoom(h, bytes, now):
		return nil, ErrRefused
	}
	a.awaited += bytes
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return a.changed, nil
}

// Withdraw ends the wait that Reserve began.
func (h *Holder) Withdraw(bytes int) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.account.awaited -= bytes
}

// collect counts bytes that a streaming holder reserved or released.
func (h *Holder) collect(bytes int) {
	before := h.collected
	h.collected += bytes
	h.account.collected += bytes
	switch {
	case before == 0 && h.collected > 0:
		h.account.collectors++
	case before > 0 && h.collected == 0:
		h.account.collectors--
	}
}

// mayCollect reports whether a streaming holder may reserve more: while the others leave
// room, or up to an equal share.
func (a *Account) mayCollect(h *Holder, bytes int) bool {
	limit := a.limit / outputDivisor
	return a.collected+bytes <= limit || (h.collected+bytes)*max(1, a.collectors) <= limit
}

// limitFor returns the limit for the holder with that many more bytes.
func (a *Account) limitFor(h *Holder, bytes int) int {
	if h.bytes+bytes <= SmallBytes {
		return a.limit
	}
	return a.largeLimit()
}

// largeLimit returns the limit for holders with more than SmallBytes.
func (a *Account) largeLimit() int { return a.limit - a.limit/smallDivisor }

// makeRoom evicts holders until the bytes fit once they are closed. If that isn't possible
// it evicts none and returns false.
func (a *Account) makeRoom(asker *Holder, bytes int, now time.Duration) bool {
	missing := a.used - a.leaving + a.awaited + bytes - a.limitFor(asker, bytes)
	if missing <= 0 {
		return true
	}
	share := a.largeLimit() / max(1, len(a.holders))
	var victims []*Holder
	found := 0
	for h := range a.holders {
		if h != asker && h.bytes > 0 && h.mayYield(asker.bytes+bytes, share, now) {
			victims = append(victims, h)
			found += h.bytes
		}
	}
	if found < missing {
		return false
	}
	slices.SortFunc(victims, func(x, y *Holder) int { return cmp.Compare(x.progressAt, y.progressAt) })
	for _, h := range victims {
		if missing <= 0 {
			break
		}
		missing -= h.bytes
		a.leaving += h.bytes
		h.evicted = true
		h.evict()
	}
	a.wake()
	return true
}

// mayYield reports whether the holder may be evicted for one that will have the given bytes.
// Holders with more than an equal share don't evict each other, since none of them would end.
func (h *Holder) mayYield(bytes, share int, now time.Duration) bool {
	switch {
	case h.evicted || h.phase == Working:
		return false
	case h.phase == Reading && now-h.progressAt >= idleTime:
		return true
	default:
		return bytes <= share && h.bytes > share
	}
}

func (a *Account) wake() {
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
}
