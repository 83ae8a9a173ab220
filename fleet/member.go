package fleet

import (
	"time"

	"github.com/buckthorntide/buckthorntide/store"
)

const (
	// failureCount is the fewest failures in a row that make a peer unfit.
	minFailures = 2
	// failAfter is how long a peer may give no answer.
	answerTimeout = 1500 * time.Millisecond
	// failingFor is how long its failures must go on, so that a short freeze of
	// one's own is not taken for a failure of the peer.
	minFailingDuration = 500 * time.Millisecond
	// retryProbe is the time between two requests to a peer that fails.
	retryProbeInterval = 400 * time.Millisecond
	// returnAfter is how long a peer that failed must answer before it is fit
	// again.
	minRecoveryDuration = 2 * time.Second
	// forgetAfter is how long an instance that is neither listed nor heard stays
	// known.
	forgetTimeout = 10 * time.Second
)

// member is what is known of an instance.
type member struct {
	instance store.Instance
	hash     uint64
	// listed and seated say that the last list, or the last rows, named it.
	listed     bool
	hasSession bool
	// listedLeaving and saidLeaving are the list's word and its own.
	listedLeaving   bool
	reportedLeaving bool
	slots           int

	// heard is when a message of any kind came from it.
	lastMessage time.Time
	// answered is when a request to it last succeeded.
	lastAnswer   time.Time
	failures     int
	failingSince time.Time
	// failed says that it is unfit until it answered for a while.
	failed            bool
	answeringSince    time.Time
	nextExchange      time.Time
	fit               bool
	domainExcluded    bool
	presumedReachable bool
	// probeOnce makes the next exchange include the member.
	probeOnce bool
}

// answer notes that a request to the member succeeded.
func (m *member) recordSuccess(now time.Time) {
	m.lastMessage = now
	m.lastAnswer = now
	m.failures = 0
	if m.answeringSince.IsZero() {
		m.answeringSince = now
	}
}

// fail notes that a request to the member failed.
func (m *member) recordFailure(now time.Time) {
	if m.failures == 0 {
		m.failingSince = now
	}
	m.failures++
	m.answeringSince = time.Time{}
}

// judge moves the member between failed and good.
func (m *member) updateFailed(now time.Time) {
	if m.failed {
		back := !m.answeringSince.IsZero() && now.Sub(m.answeringSince) >= minRecoveryDuration
		m.failed = !back
		return
	}
	if m.failures < minFailures {
		return
	}
	quiet := now.Sub(m.lastAnswer) >= answerTimeout
	failing := now.Sub(m.failingSince) >= minFailingDuration
	m.failed = quiet && failing
}

// leaving prefers what the member says to what the list says late.
func (m *member) leaving(now time.Time) bool {
	if m.reportedLeaving {
		return true
	}
	return m.listedLeaving && now.Sub(m.lastMessage) >= forgetTimeout
}

// reachable says that the member answers, or that it may be presumed to.
func (m *member) reachable() bool {
	if m.failed {
		return false
	}
	return !m.lastAnswer.IsZero() || m.presumedReachable
}

// known says that there is still reason to believe that the member exists.
func (m *member) known(now time.Time) bool {
	return m.listed || m.hasSession || now.Sub(m.lastMessage) < forgetTimeout
}
