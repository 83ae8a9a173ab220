package gate

import (
	"net/http"
	"time"

	"github.com/buckthorntide/buckthorntide/share"
)

const (
	// highestPriority and lowestPriority bound the ranks that upstreams know.
	highestPriority = 0
	lowestPriority  = 9
	// defaultBodyBytes bounds bodies where the configuration has no limit.
	defaultBodyBytes = 4 << 20
	// unreadyRetry is when a caller should come back whom another instance can
	// most likely serve at once.
	notReadyRetryAfter = 50 * time.Millisecond
	// awayRetry is the same while no instance reaches the store. Callers try a few
	// times only, so that shorter pauses would end before most outages do.
	storeDownRetryAfter = time.Second
	// fullRetry is when a caller should come back that no upstream had room
	// for: about the time of one request of a plain service.
	noCapacityRetryAfter = 100 * time.Millisecond
	// quotaPatience is how long a request of a program under way waits for its
	// team's quota; programs have some times that to spare.
	quotaTimeout = 300 * time.Millisecond
	// openingPatience is the same for a program's first request, which loses
	// little by coming again.
	openingQuotaTimeout = 45 * time.Millisecond
	// maxQuotaRetry bounds the time that a caller beyond its quota is sent away
	// for; longer ones would be ignored.
	maxQuotaRetryAfter = time.Second
	minQuotaRetryAfter = 100 * time.Millisecond
	// quotaRetryTokens is how many tokens the team earns until then: callers
	// that were refused together come back together.
	quotaRetryTokens = 8
)

// refusal is an answer of the system's own.
type refusal struct {
	// status is an HTTP status; 429 and 503 promise that the request didn't run
	// and won't.
	status     int
	reason     string
	retryAfter time.Duration
	// broken ends the connection without an answer.
	abort bool
}

func refuseNotReady(reason string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: notReadyRetryAfter}
}

// refuseUnknown refuses a request that can't be judged without the store.
func (x *exchange) refuseUndecided(reason string) *refusal {
	no := refuseNotReady(reason)
	if x.gate.Views.Away() {
		no.retryAfter = storeDownRetryAfter
	}
	return no
}

func refuseNoCapacity(reason string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: noCapacityRetryAfter}
}

// refuse answers the request.
func (x *exchange) refuse(no *refusal) {
	x.record.status, x.record.reason = no.status, no.reason
	if no.abort {
		x.abort()
		return
	}
	x.gate.Codec.WriteRefusal(x.w.Header(), x.call.ID, no.retryAfter)
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(no.status)
	if _, err := x.w.Write([]byte(no.reason + "\n")); err != nil {
		x.record.reason += "; the caller was gone"
	}
}

// abort marks the exchange so that its connection is cut without an end.
func (x *exchange) abort() { x.record.aborted = true }

func quotaRetryAfter(q share.Quota) time.Duration {
	return min(max(quotaRetryTokens*q.Wait(), minQuotaRetryAfter), maxQuotaRetryAfter)
}
