package fleet

import (
	"time"

	"github.com/buckthorntide/buckthorntide/store"
)

const (
	// failureCount is the fewest failures in a row that make a peer unfit.
	failureCount = 2
	// failAfter is how long a peer may give no answer.
	failAfter = 1500 * time.Millisecond
	// failingFor is how long its failures must go on, so that a short freeze of
	// one's own is not taken for a failure of the peer.
	failingFor = 500 * time.Millisecond
	// retryProbe is the time between two requests to a peer that fails.
	retryProbe = 400 * time.Millisecond
	// returnAfter is how long a peer that failed must answer before it is fit
	// again.
	returnAfter = 2 * time.Second
	// forgetAfter is how long an instance that is neither listed nor heard stays
	// known.
	forgetAfter = 10 * time.Second
)

// member is what is known of an instance.
type member struct {
	instance store.Instance
	hash     uint64
	// listed and seated say that the last list, or the last rows, named it.
	listed bool
	seated bool
	// listedLeaving and saidLeaving are the list's word and its own.
	listedLeaving bool
	saidLeaving   bool
	seats         int

	// heard is when a message of any kind came from it.
	heard time.Time
	// answered is when a request to it last succeeded.
	answered     time.Time
	failures     int
	failingSince time.Time
	// failed says that it is unfit until it answered for a while.
	failed     bool
	goodSince  time.Time
	nextProbe  time.Time
	fit        bool
	domainOut  bool
	presumable bool
	// probeOnce makes the next exchange include the member.
	probeOnce bool
}

// answer notes that a request to the member succeeded.
func (m *member) answer(now time.Time) {
	m.heard = now
	m.answered = now
	m.failures = 0
	if m.goodSince.IsZero() {
		m.goodSince = now
	}
}

// fail notes that a request to the member failed.
func (m *member) fail(now time.Time) {
	if m.failures == 0 {
		m.failingSince = now
	}
	m.failures++
	m.goodSince = time.Time{}
}

// judge moves the member between failed and good.
func (m *member) judge(now time.Time) {
	if m.failed {
		back := !m.goodSince.IsZero() && now.Sub(m.goodSince) >= returnAfter
		m.failed = !back
		return
	}
	if m.failures < failureCount {
		return
	}
	quiet := now.Sub(m.answered) >= failAfter
	failing := now.Sub(m.failingSince) >= failingFor
	m.failed = quiet && failing
}

// leaving prefers what the member says to what the list says late.
func (m *member) leaving(now time.Time) bool {
	if m.saidLeaving {
		return true
	}
	return m.listedLeaving && now.Sub(m.heard) >= forgetAfter
}

// reachable says that the member answers, or that it may be presumed to.
func (m *member) reachable() bool {
	if m.failed {
		return false
	}
	return !m.answered.IsZero() || m.presumable
}

// known says that there is still reason to believe that the member exists.
func (m *member) known(now time.Time) bool {
	return m.listed || m.seated || now.Sub(m.heard) < forgetAfter
}
