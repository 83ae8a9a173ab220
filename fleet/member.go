package fleet

import (
	"time"

	"github.com/buckthorntide/buckthorntide/store"
)

const (
	// minFailures is the fewest consecutive failures that make a peer unfit.
	minFailures = 2
	// answerTimeout is how long a peer may leave requests unanswered.
	answerTimeout = 1500 * time.Millisecond
	// minFailingDuration is how long a peer's requests must have been failing, so
	// that a short freeze of this process does not count against the peer.
	minFailingDuration = 500 * time.Millisecond
	// retryProbeInterval is the time between two requests to a failing peer.
	retryProbeInterval = 400 * time.Millisecond
	// minRecoveryDuration is how long a failed peer must answer without a failure
	// before it is fit again.
	minRecoveryDuration = 2 * time.Second
	// forgetTimeout is how long an instance is kept that is not listed, has no
	// session row and sends no messages.
	forgetTimeout = 10 * time.Second
)

// member is the state that this process tracks for an instance.
type member struct {
	instance store.Instance
	hash     uint64
	// listed and hasSession report that the instance is in the platform's last
	// list, or in the session rows last read.
	listed     bool
	hasSession bool
	// listedLeaving and reportedLeaving are whether it is leaving according to
	// the list and according to its own heartbeat.
	listedLeaving   bool
	reportedLeaving bool
	slots           int

	// lastMessage is when it last sent a message of any kind.
	lastMessage time.Time
	// lastAnswer is when a request to it last succeeded.
	lastAnswer   time.Time
	failures     int
	failingSince time.Time
	// failed makes it unfit until it has answered for minRecoveryDuration.
	failed            bool
	answeringSince    time.Time
	nextExchange      time.Time
	fit               bool
	domainExcluded    bool
	presumedReachable bool
	// probeOnce requests one exchange, also without a full mesh.
	probeOnce bool
}

func (m *member) recordSuccess(now time.Time) {
	m.lastMessage = now
	m.lastAnswer = now
	m.failures = 0
	if m.answeringSince.IsZero() {
		m.answeringSince = now
	}
}

func (m *member) recordFailure(now time.Time) {
	if m.failures == 0 {
		m.failingSince = now
	}
	m.failures++
	m.answeringSince = time.Time{}
}

// updateFailed sets or clears failed by the request outcomes so far.
func (m *member) updateFailed(now time.Time) {
	if m.failed {
		recovered := !m.answeringSince.IsZero() && now.Sub(m.answeringSince) >= minRecoveryDuration
		m.failed = !recovered
		return
	}
	if m.failures < minFailures {
		return
	}
	unanswered := now.Sub(m.lastAnswer) >= answerTimeout
	failing := now.Sub(m.failingSince) >= minFailingDuration
	m.failed = unanswered && failing
}

// leaving reports whether the member is draining. Its own heartbeat takes
// precedence, because the platform's list lags.
func (m *member) leaving(now time.Time) bool {
	if m.reportedLeaving {
		return true
	}
	return m.listedLeaving && now.Sub(m.lastMessage) >= forgetTimeout
}

// reachable reports whether the member answers or is presumed to.
func (m *member) reachable() bool {
	if m.failed {
		return false
	}
	return !m.lastAnswer.IsZero() || m.presumedReachable
}

// known reports whether there is still evidence that the member exists.
func (m *member) known(now time.Time) bool {
	return m.listed || m.hasSession || now.Sub(m.lastMessage) < forgetTimeout
}
