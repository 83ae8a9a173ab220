package proxy

import (
	"net/http"
	"time"

	"github.com/buckthorntide/buckthorntide/share"
)

const (
	// highestPriority and lowestPriority bound the priorities that upstreams
	// accept.
	highestPriority = 0
	lowestPriority  = 9
	// defaultBodyBytes bounds request bodies if the configuration has no limit.
	defaultBodyBytes = 4 << 20
	// notReadyRetryAfter is sent if another instance can most likely serve the
	// request at once.
	notReadyRetryAfter = 50 * time.Millisecond
	// storeDownRetryAfter is sent while no instance reaches the store, to callers
	// whose timeout is unknown. Others are told a third of the time that they have
	// left: they retry only a few times, so shorter delays would be used up before
	// most outages end, and callers ignore longer ones.
	storeDownRetryAfter = time.Second
	retryTimeDivisor    = 3
	// retryMargin is the time in which the refusal reaches the caller.
	retryMargin = 10 * time.Millisecond
	// noCapacityRetryAfter is sent if no upstream has a free slot: about the
	// duration of one request of a service without a model.
	noCapacityRetryAfter = 100 * time.Millisecond
	// quotaTimeout is how long a request of a running program waits for its team's
	// quota; programs can afford several such waits.
	quotaTimeout = 300 * time.Millisecond
	// openingQuotaTimeout is the same for a program's first request, which loses
	// little by a retry.
	openingQuotaTimeout = 150 * time.Millisecond
	// maxQuotaRetryAfter bounds the Retry-After of a caller beyond its quota;
	// callers ignore longer ones.
	maxQuotaRetryAfter = time.Second
	minQuotaRetryAfter = 100 * time.Millisecond
	// quotaRetryTokens is how many tokens the team earns until the retry: callers
	// that were refused together also retry together.
	quotaRetryTokens = 8
)

// refusal is a response that the proxy itself generates.
type refusal struct {
	// status is an HTTP status; 429 and 503 promise that the request did not run
	// and will not run.
	status     int
	reason     string
	retryAfter time.Duration
	// abort closes the connection without an answer.
	abort bool
}

func refuseNotReady(reason string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: notReadyRetryAfter}
}

// refuseUndecided refuses a request that can't be decided without the store.
func (x *exchange) refuseUndecided(reason string) *refusal {
	refused := refuseNotReady(reason)
	if x.proxy.Views.StoreDown() {
		refused.retryAfter = storeDownRetryAfter
		if x.call.Timeout > 0 {
			left := x.call.Timeout - time.Since(x.start)
			refused.retryAfter = max(notReadyRetryAfter, left/retryTimeDivisor-retryMargin)
		}
	}
	return refused
}

func refuseNoCapacity(reason string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: noCapacityRetryAfter}
}

// refuse answers the request with the refusal.
func (x *exchange) refuse(refused *refusal) {
	x.record.status, x.record.reason = refused.status, refused.reason
	if refused.abort {
		x.abort()
		return
	}
	x.proxy.Codec.WriteRefusal(x.w.Header(), x.call.ID, refused.retryAfter)
	x.askToReconnect()
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(refused.status)
	if _, err := x.w.Write([]byte(refused.reason + "\n")); err != nil {
		x.record.reason += "; the caller was gone"
	}
}

// abort marks the exchange so that report closes its connection.
func (x *exchange) abort() { x.record.aborted = true }

func quotaRetryAfter(q share.Quota) time.Duration {
	return min(max(quotaRetryTokens*q.Wait(), minQuotaRetryAfter), maxQuotaRetryAfter)
}
