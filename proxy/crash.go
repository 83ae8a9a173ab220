package proxy

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/pick"
	"github.com/buckthorntide/buckthorntide/poison"
	"github.com/buckthorntide/buckthorntide/site"
)

// identity returns the fingerprints by which the request is compared with others. The turns
// before it are left out, since a request that comes again may name another one.
func (x *exchange) identity() poison.Request {
	if x.identified != (poison.Request{}) {
		return x.identified
	}
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{x.teamName(), x.call.Method, x.call.Host, x.call.Path, x.call.Query} {
		// Writes of a digest never fail.
		_, _ = d.WriteString(part)
		_, _ = d.WriteString("\x00")
	}
	x.identified.Path = poison.Fingerprint(d.Sum64())
	_, _ = d.WriteString("body\x00")
	_, _ = d.Write(x.input)
	x.identified.Exact = poison.Fingerprint(d.Sum64())
	return x.identified
}

// checkCrashes refuses a request that has crashed several upstreams.
func (x *exchange) checkCrashes() *refusal {
	if !x.proxy.Crashes.Tracks() {
		return nil
	}
	return refuseHeldOff(x.proxy.Crashes.HeldFor(x.identity()))
}

// refuseHeldOff refuses a request that is held off for the given time, if above 0.
func refuseHeldOff(left time.Duration) *refusal {
	if left <= 0 {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "the request has crashed the upstreams that ran it", retryAfter: left}
}

// mayRetry reports whether another upstream may run the request after one that broke it off.
func (x *exchange) mayRetry() bool {
	return !x.proxy.Crashes.Tracks() || x.proxy.Crashes.MayRetry(x.identity())
}

// noteFailure records an attempt that ended without a whole answer; limit is the attempt's
// deadline.
func (x *exchange) noteFailure(u *site.Upstream, err error, limit time.Time, sent bool) {
	outcome := x.errorOutcome(u, err, limit)
	x.proxy.Picker.Done(u.ID, outcome, common.Uptime())
	if sent && outcome == pick.Broken {
		x.proxy.Crashes.Broke(u, x.identity())
	}
}

// noteWhole records that the upstream answered the request whole.
func (x *exchange) noteWhole(u *site.Upstream, outcome pick.Outcome) {
	x.proxy.Picker.Done(u.ID, outcome, common.Uptime())
	if x.proxy.Crashes.Tracks() {
		x.proxy.Crashes.Answered(u, x.identity())
	}
}
