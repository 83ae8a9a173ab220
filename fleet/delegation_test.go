package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntide/buckthorntide/store"
)

const (
	testTTL   = 3 * time.Second
	testShard = Shard(9)
)

// delegationModel runs one slot holder and a few homes whose clocks drift, with
// messages that are late, duplicated, lost and out of order.
type delegationModel struct {
	holder      Delegator
	slotsExpire time.Time
	home        string
	homes       []*modelHome
	requests    []modelRequest
	replies     []modelReply
	now         time.Duration
}

type (
	modelHome struct {
		name        string
		epoch       uint64
		delegations *Delegations
		id          uint64
		drift       time.Duration
	}
	modelRequest struct {
		home *modelHome
		PullRequest
	}
	modelReply struct {
		home *modelHome
		PullReply
	}
)

// clock returns the time of a clock that gains drift in every second.
func (m *delegationModel) clock(drift time.Duration) time.Time {
	gained := time.Duration(m.now.Seconds() * float64(drift))
	return time.Unix(1000, 0).Add(m.now + gained)
}

func (m *delegationModel) pull(h *modelHome) {
	h.id++
	h.delegations.Sent("holder", h.id, m.clock(h.drift))
	r := PullRequest{ID: h.id, From: Heartbeat{Instance: store.Instance{Name: h.name}, Epoch: h.epoch}}
	r.Shards = BitmapOf(testShard)
	m.requests = append(m.requests, modelRequest{home: h, PullRequest: r})
}

func (m *delegationModel) release(h *modelHome, to string) {
	h.id++
	h.delegations.Release(BitmapOf(testShard), h.id, m.clock(h.drift))
	r := PullRequest{ID: h.id, From: Heartbeat{Instance: store.Instance{Name: h.name}, Epoch: h.epoch}}
	r.Releases = []Release{{Handover: h.id, To: to, Acked: h.delegations.delegationOf("holder").lastReply, Shards: BitmapOf(testShard)}}
	m.requests = append(m.requests, modelRequest{home: h, PullRequest: r})
}

func (m *delegationModel) serve(i int) {
	r := m.requests[i]
	now := m.clock(0)
	offer := Offer{Slots: 1, Until: m.slotsExpire, TTL: testTTL, Home: func(Shard) string { return m.home }}
	m.replies = append(m.replies, modelReply{home: r.home, PullReply: m.holder.HandlePull(r.PullRequest, offer, now)})
}

func (m *delegationModel) receive(i int) {
	r := m.replies[i]
	r.home.delegations.Received("holder", r.PullReply, m.clock(r.home.drift))
}

// countHolders counts the homes that consider the slot delegated to them.
func (m *delegationModel) countHolders() int {
	n := 0
	for _, h := range m.homes {
		n += h.delegations.Authority(testShard, m.clock(h.drift)).Slots
	}
	return n
}

// TestDelegationNeverOverlaps checks that no order of pulls, releases, delays
// and losses delegates a slot to two homes at once, or beyond its lease.
func TestDelegationNeverOverlaps(t *testing.T) {
	for range 20 {
		rapid.Check(t, checkDelegation)
	}
}

func checkDelegation(t *rapid.T) {
	m := &delegationModel{home: "a", slotsExpire: time.Unix(1000, 0).Add(6 * time.Second)}
	for i, name := range []string{"a", "b", "a"} {
		h := &modelHome{name: name, epoch: uint64(i + 1), delegations: NewDelegations(testTTL / guardDivisor)}
		h.drift = time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "drift")) * time.Microsecond
		m.homes = append(m.homes, h)
	}
	randomBelow := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
	t.Repeat(map[string]func(*rapid.T){
		"pull":    func(*rapid.T) { m.pull(m.homes[randomBelow(3)]) },
		"release": func(*rapid.T) { m.release(m.homes[randomBelow(3)], m.homes[randomBelow(3)].name) },
		"steer":   func(*rapid.T) { m.home = m.homes[randomBelow(3)].name },
		"serve": func(t *rapid.T) {
			if len(m.requests) == 0 {
				t.Skip()
			}
			m.serve(len(m.requests) - 1 - randomBelow(min(4, len(m.requests))))
		},
		"receive": func(t *rapid.T) {
			if len(m.replies) == 0 {
				t.Skip()
			}
			m.receive(len(m.replies) - 1 - randomBelow(min(4, len(m.replies))))
		},
		"wait": func(*rapid.T) { m.now += time.Duration(randomBelow(2000)) * time.Millisecond },
		"": func(t *rapid.T) {
			if m.countHolders() > 1 {
				t.Fatalf("slot delegated to two homes at %v", m.now)
			}
			if !m.clock(0).Before(m.slotsExpire.Add(20*time.Millisecond)) && m.countHolders() > 0 {
				t.Fatalf("delegation outlives the slot lease")
			}
		},
	})
}

// TestLateAndDuplicateRepliesExtendNothing checks that a delegation counts from
// its request, that a reply applies once, and never after a newer one.
func TestLateAndDuplicateRepliesExtendNothing(t *testing.T) {
	b := NewDelegations(0)
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	reply := PullReply{ID: 1, Slots: 9, TTL: testTTL, Granted: BitmapOf(testShard)}
	b.Sent("h", 1, at(0))
	b.Sent("h", 2, at(1))
	assert.Assert(t, b.Received("h", reply, at(2)))
	assert.Equal(t, b.Authority(testShard, at(2)).Until, at(3))
	assert.Assert(t, !b.Received("h", reply, at(2)))
	assert.Equal(t, b.Authority(testShard, at(3)).Slots, 0)
	newer := reply
	newer.ID = 2
	b.Sent("h", 3, at(2))
	late := reply
	late.ID = 3
	assert.Assert(t, b.Received("h", late, at(3)))
	assert.Assert(t, !b.Received("h", newer, at(3)), "older reply applied after a newer one")
	assert.Equal(t, b.Authority(testShard, at(3)).Until, at(5))
}

// TestPromiseOutlivesSlowClock checks that a promise outlives the delegation of
// a home whose clock runs slow, which lasts longer than its TTL.
func TestPromiseOutlivesSlowClock(t *testing.T) {
	m := &delegationModel{home: "b", slotsExpire: time.Unix(2000, 0)}
	for i, name := range []string{"a", "b"} {
		m.homes = append(m.homes, &modelHome{name: name, epoch: uint64(i + 1), delegations: NewDelegations(0)})
	}
	m.homes[0].drift = -time.Millisecond
	exchange := func(h *modelHome) {
		m.pull(h)
		m.serve(len(m.requests) - 1)
		m.receive(len(m.replies) - 1)
	}
	exchange(m.homes[0])
	m.now = testTTL + time.Millisecond
	exchange(m.homes[1])
	assert.Equal(t, m.countHolders(), 1)
}

// TestFormerHomeLosesContest checks that a former home cannot extend its promise
// forever while the new home sends requests.
func TestFormerHomeLosesContest(t *testing.T) {
	m := &delegationModel{home: "a", slotsExpire: time.Unix(2000, 0)}
	for i, name := range []string{"a", "b"} {
		m.homes = append(m.homes, &modelHome{name: name, epoch: uint64(i + 1), delegations: NewDelegations(0)})
	}
	round := func() {
		for _, h := range m.homes {
			m.pull(h)
			m.serve(len(m.requests) - 1)
			m.receive(len(m.replies) - 1)
		}
		m.now += 500 * time.Millisecond
	}
	round()
	m.home = "b"
	for range 10 {
		round()
	}
	assert.Equal(t, m.holder.PromisedTo(testShard, m.clock(0)), "b")
}

// TestHandedOnlyIfAcked checks that a shard counts as handed over only if the
// former home had received its delegation.
func TestHandedOnlyIfAcked(t *testing.T) {
	tests := []struct {
		name  string
		acked uint64
		want  int
	}{
		{"reply received", 1, 1},
		{"reply lost", 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			m := &delegationModel{home: "b", slotsExpire: time.Unix(2000, 0)}
			former := &modelHome{name: "a", epoch: 1, delegations: NewDelegations(0)}
			next := &modelHome{name: "b", epoch: 2, delegations: NewDelegations(0)}
			m.pull(former)
			m.serve(0)
			m.release(former, "b")
			m.requests[1].Releases[0].Acked = test.acked
			m.serve(1)
			m.pull(next)
			m.serve(2)
			reply := m.replies[2]
			assert.Assert(t, reply.Granted.Has(testShard))
			assert.Equal(t, len(reply.Handed), test.want)
		})
	}
}
