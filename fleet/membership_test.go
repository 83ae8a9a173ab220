package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/store"
)

const testHeartbeatInterval = 500 * time.Millisecond

func at(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

func newTestMembership() *membership {
	ms := newMembership(store.Instance{Name: "a", FailureDomain: "x"}, testHeartbeatInterval, at(0))
	ms.applyInstanceList([]store.Instance{{Name: "b", FailureDomain: "x"}, {Name: "c", FailureDomain: "y"}}, at(0))
	ms.observe("b", true, at(0))
	ms.observe("c", true, at(0))
	ms.refresh(at(0))
	return ms
}

func (ms *membership) fitNames() string {
	names := ""
	for _, m := range ms.members {
		if m.fit {
			names += m.instance.Name
		}
	}
	return names
}

// TestFailedPeerRecovers checks when a peer becomes unfit after failures, and
// that it is fit again only after answering for minRecoveryDuration without a
// failure.
func TestFailedPeerRecovers(t *testing.T) {
	ms := newTestMembership()
	tests := []struct {
		at   time.Duration
		ok   bool
		want string
	}{
		{500 * time.Millisecond, false, "abc"},
		{1000 * time.Millisecond, false, "abc"},
		{1500 * time.Millisecond, false, "ac"},
		{2000 * time.Millisecond, true, "ac"},
		{2500 * time.Millisecond, false, "ac"},
		{3000 * time.Millisecond, true, "ac"},
		{4500 * time.Millisecond, true, "ac"},
		{5000 * time.Millisecond, true, "abc"},
	}
	for _, test := range tests {
		ms.observe("b", test.ok, at(test.at))
		ms.refresh(at(test.at))
		assert.Equal(t, ms.fitNames(), test.want, "at %v", test.at)
	}
}

// TestUnfit checks each reason that excludes an instance from being a home.
func TestUnfit(t *testing.T) {
	tests := []struct {
		name    string
		arrange func(ms *membership)
		want    string
	}{
		{"failure domain excluded", func(ms *membership) { ms.excludedDomains = []string{"x"} }, "c"},
		{"peer reports that it is leaving", func(ms *membership) {
			ms.recordHeartbeat(Heartbeat{Instance: store.Instance{Name: "b", Leaving: true}}, at(testHeartbeatInterval))
		}, "ac"},
		{"self drains", func(ms *membership) { ms.draining = true }, "bc"},
		{"new instance that was never reached", func(ms *membership) {
			ms.started = at(-time.Minute)
			ms.applyInstanceList([]store.Instance{{Name: "b"}, {Name: "c"}, {Name: "d"}}, at(testHeartbeatInterval))
		}, "abc"},
		{"removed from the list and silent", func(ms *membership) {
			ms.applyInstanceList([]store.Instance{{Name: "b"}}, at(testHeartbeatInterval))
			ms.refresh(at(forgetTimeout + testHeartbeatInterval))
		}, "ab"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ms := newTestMembership()
			test.arrange(ms)
			ms.refresh(at(testHeartbeatInterval))
			assert.Equal(t, ms.fitNames(), test.want)
		})
	}
}

// TestIsolation checks that contact with either the platform or a peer defers
// isolation.
func TestIsolation(t *testing.T) {
	const timeout = 2 * time.Second
	ms := newMembership(store.Instance{Name: "a"}, testHeartbeatInterval, at(0))
	assert.Assert(t, !ms.isolationTime(timeout).After(at(0)), "a process without any contact is not isolated")
	ms.applyInstanceList(nil, at(time.Second))
	assert.Equal(t, ms.isolationTime(timeout), at(3*time.Second))
	ms.recordHeartbeat(Heartbeat{Instance: store.Instance{Name: "b"}}, at(9*time.Second))
	assert.Equal(t, ms.isolationTime(timeout), at(11*time.Second), "contact with a peer alone does not prevent isolation")
}
