package keys

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntide/buckthorntide/store"
)

const (
	fleetInstances = 5
	// fleetSteps is the number of steps in a run.
	fleetSteps = 80
	// noQuorum is more peers than there are, so that no quorum forms.
	noQuorum = 100
)

type (
	// fleet simulates a table service, instances and operators, with steps that
	// rapid chooses and simulated time.
	fleet struct {
		*rapid.T

		now     time.Time
		peers   int
		table   *fakeTable
		members [fleetInstances]*member
		// sides holds each instance's side of a network partition. Instances on the
		// same side reach one another; those on storeSide reach the table service.
		// If no instance is on storeSide, the table service is down.
		sides     [fleetInstances]int
		storeSide int
		// changes holds all accepted changes, for delayed and repeated pushes.
		changes []Change
		// model holds the expected state of each key.
		model map[Hash]*modelKey
		order []Hash
		// polls and heartbeats hold the replies in flight.
		polls      []pollReply
		heartbeats []heartbeatReply
	}

	// member is one running instance.
	member struct {
		*Keys

		withdrawals map[Hash]int
		// seen is the revision at the last check.
		seen int64
	}

	// modelKey is the expected state of a key.
	modelKey struct {
		team string
		// committed and done are the times at which the withdrawal was written and
		// acknowledged by a majority, or zero.
		committed, done time.Time
		acks            *Acks
	}

	pollReply struct {
		to   int
		row  store.Row
		sent time.Time
	}

	heartbeatReply struct {
		to, from int
		state    PeerState
		sent     time.Time
	}
)

func newFleet(t *rapid.T, peers int) *fleet {
	f := &fleet{
		T: t, peers: peers, table: newFakeTable(), model: make(map[Hash]*modelKey),
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	for i := range f.members {
		f.start(i)
	}
	f.issue()
	f.issue()
	for i := range f.members {
		f.learnHead(f.poll(i))
	}
	return f
}

// partition splits the fleet into two sides. At most one of them reaches the
// table service.
func (f *fleet) partition() {
	for i := range f.sides {
		f.sides[i] = f.pick(2, "side")
	}
	f.storeSide = f.pick(3, "storeSide")
}

// rejoin ends the partition.
func (f *fleet) rejoin() {
	f.sides = [fleetInstances]int{}
	f.storeSide = 0
}

// writer returns an instance that reaches the table service, if any.
func (f *fleet) writer() (int, bool) {
	first := f.member("writer")
	for n := range fleetInstances {
		i := (first + n) % fleetInstances
		if f.sides[i] == f.storeSide {
			return i, true
		}
	}
	return 0, false
}

func (f *fleet) poll(i int) pollReply { return pollReply{i, f.table.rows["keys/head"], f.now} }

func (f *fleet) heartbeat(to, from int) heartbeatReply {
	return heartbeatReply{to, from, f.members[from].State(fmt.Sprint(from), f.now), f.now}
}

// round has one instance, or all, poll the table service and exchange heartbeats
// with every peer that is reachable.
func (f *fleet) round() {
	only := f.pick(2*fleetInstances, "only")
	for to := range f.members {
		if only < fleetInstances && to != only {
			continue
		}
		if f.sides[to] == f.storeSide {
			f.learnHead(f.poll(to))
		}
		for from := range f.members {
			if from != to && f.sides[from] == f.sides[to] {
				f.learnPeer(f.heartbeat(to, from))
			}
		}
	}
}

func (f *fleet) start(i int) {
	k := NewKeys(CallerKind, Freshness{Timeout: testTimeout, Peers: f.peers})
	f.members[i] = &member{Keys: k, withdrawals: make(map[Hash]int)}
}

func (f *fleet) pick(n int, label string) int { return rapid.IntRange(0, n-1).Draw(f.T, label) }

func (f *fleet) member(label string) int { return f.pick(fleetInstances, label) }

func (m *member) cut(keys []Hash) {
	for _, h := range keys {
		m.withdrawals[h]++
	}
}

func (f *fleet) advanceClock() {
	spans := []time.Duration{100 * time.Millisecond, testTimeout / 2, testTimeout}
	f.now = f.now.Add(rapid.SampledFrom(spans).Draw(f.T, "span"))
}

// issue has an operator issue a key at an instance.
func (f *fleet) issue() {
	i, ok := f.writer()
	if !ok {
		return
	}
	key, h := testKey(CallerKind, uint64(len(f.order)))
	p, err := Issue(CallerKind, f.table.rows["keys/head"], key, fmt.Sprint("t", len(f.order)), "", "r")
	assert.NilError(f, err)
	assert.NilError(f, f.table.apply(p.Txn))
	f.model[h] = &modelKey{team: p.Change.Team}
	f.order = append(f.order, h)
	f.accept(i, p.Change)
}

// withdraw has an operator withdraw a key at an instance.
func (f *fleet) withdraw() {
	i, ok := f.writer()
	if !ok {
		return
	}
	h := f.order[f.pick(len(f.order), "key")]
	p, err := Withdraw(CallerKind, f.table.rows["keys/head"], f.table.rows[CallerKind.RowKey(h)], h, false, "r")
	if errors.Is(err, ErrWithdrawn) {
		assert.Assert(f, !f.model[h].committed.IsZero())
		return
	}
	assert.NilError(f, err)
	assert.NilError(f, f.table.apply(p.Txn))
	f.model[h].committed = f.now
	f.model[h].acks = NewAcks(p.Change.Revision, fleetInstances)
	f.accept(i, p.Change)
}

// accept applies an accepted change at the instance that committed it.
func (f *fleet) accept(i int, c Change) {
	f.changes = append(f.changes, c)
	f.members[i].cut(f.members[i].Push(c))
	f.ack(i)
}

// ack records an instance's revision as an acknowledgement of the withdrawals.
func (f *fleet) ack(i int) {
	for _, n := range f.model {
		if n.acks == nil || !n.done.IsZero() {
			continue
		}
		n.acks.Observe(fmt.Sprint(i), f.members[i].Revision())
		if n.acks.Done() {
			n.done = f.now
		}
	}
}

// push delivers any accepted change, possibly late or again, to an instance.
func (f *fleet) push() {
	i := f.member("to")
	f.members[i].cut(f.members[i].Push(f.changes[f.pick(len(f.changes), "change")]))
	f.ack(i)
}

func (f *fleet) sendPoll() {
	if i := f.member("to"); f.sides[i] == f.storeSide {
		f.polls = append(f.polls, f.poll(i))
	}
}

// deliverPoll delivers a reply of the table service, possibly late or again, but
// never to an instance that has restarted since.
func (f *fleet) deliverPoll() {
	if len(f.polls) == 0 {
		return
	}
	f.learnHead(f.polls[f.pick(len(f.polls), "poll")])
}

func (f *fleet) learnHead(a pollReply) {
	m := f.members[a.to]
	learned, err := m.LearnHead(a.row, a.sent)
	assert.NilError(f, err)
	m.cut(learned.Withdrawn)
	if !learned.Reload {
		f.ack(a.to)
		return
	}
	f.loadFromStore(m, a)
	f.ack(a.to)
}

// loadFromStore reads the complete set page by page and passes in the head again.
func (f *fleet) loadFromStore(m *member, a pollReply) {
	after := ""
	for {
		rows, err := f.table.Range(f.Context(), "key/", after, 3)
		assert.NilError(f, err)
		cut, err := m.LearnRows(rows)
		assert.NilError(f, err)
		m.cut(cut)
		if len(rows) < 3 {
			break
		}
		after = rows[len(rows)-1].Key
	}
	h, err := DecodeHead(a.row)
	assert.NilError(f, err)
	m.FinishLoad(h.Revision)
	learned, err := m.LearnHead(a.row, a.sent)
	assert.NilError(f, err)
	assert.Assert(f, !learned.Reload)
}

func (f *fleet) sendHeartbeat() {
	to, from := f.member("to"), f.member("from")
	if to != from && f.sides[to] == f.sides[from] {
		f.heartbeats = append(f.heartbeats, f.heartbeat(to, from))
	}
}

func (f *fleet) deliverHeartbeat() {
	if len(f.heartbeats) == 0 {
		return
	}
	f.learnPeer(f.heartbeats[f.pick(len(f.heartbeats), "heartbeat")])
}

func (f *fleet) learnPeer(a heartbeatReply) {
	m, from := f.members[a.to], f.members[a.from]
	learned := m.LearnPeer(a.state, a.sent)
	if learned.Fetch {
		learned = m.LearnSince(from.Since(m.Revision()))
		m.cut(learned.Withdrawn)
	}
	if learned.Reload && from.Loaded() {
		revision := from.Revision()
		m.cut(m.LearnPage(from.Page(Hash{}, len(f.order)+1)))
		m.FinishLoad(revision)
	}
	m.LearnPeer(a.state, a.sent)
	f.ack(a.to)
}

// check verifies every instance's state against the model after each step.
func (f *fleet) check() {
	for i, m := range f.members {
		assert.Assert(f, m.Revision() >= m.seen, "instance %d went back from revision %d to %d", i, m.seen, m.Revision())
		m.seen = m.Revision()
		for _, h := range f.order {
			f.checkKey(i, m, h)
		}
	}
}

func (f *fleet) checkKey(i int, m *member, h Hash) {
	n := f.model[h]
	who, err := m.CheckHash(h)
	if err == nil {
		assert.Equal(f, who.Team, n.team)
		assert.Equal(f, m.withdrawals[h], 0, "instance %d accepts a key again that it had withdrawn", i)
	}
	if errors.Is(err, ErrWithdrawn) {
		assert.Assert(f, !n.committed.IsZero(), "instance %d refuses a key that was not withdrawn", i)
		assert.Equal(f, m.withdrawals[h], 1, "instance %d must report the key as withdrawn once", i)
	}
	if f.mustBeInForce(n) && m.Fresh(f.now) {
		assert.Assert(f, err != nil, "instance %d is fresh and accepts a withdrawn key", i)
	}
}

// mustBeInForce reports whether every fresh instance must refuse the key: one
// timeout after a majority acknowledged its withdrawal, or after the commit if
// only the table service can confirm freshness.
func (f *fleet) mustBeInForce(n *modelKey) bool {
	at := n.done
	if f.peers == noQuorum {
		at = n.committed
	}
	return !at.IsZero() && f.now.Sub(at) >= testTimeout
}

// heal has every instance poll the table service and checks that all converge on
// the model.
func (f *fleet) heal() {
	for i, m := range f.members {
		f.learnHead(pollReply{i, f.table.rows["keys/head"], f.now})
		assert.Assert(f, m.Fresh(f.now))
		assert.Equal(f, m.Revision(), int64(len(f.changes)))
		for _, h := range f.order {
			_, err := m.CheckHash(h)
			assert.Equal(f, err == nil, f.model[h].committed.IsZero())
		}
	}
}

// restart restarts an instance. It drops the replies in flight from and to it,
// since they belong to the connections of the previous process.
func (f *fleet) restart() {
	i := f.member("instance")
	f.start(i)
	f.polls = keep(f.polls, func(a pollReply) bool { return a.to != i })
	f.heartbeats = keep(f.heartbeats, func(a heartbeatReply) bool { return a.to != i && a.from != i })
}

func keep[E any](list []E, wanted func(E) bool) []E {
	var kept []E
	for _, e := range list {
		if wanted(e) {
			kept = append(kept, e)
		}
	}
	return kept
}

// run takes steps that rapid chooses. Steps that are listed repeatedly are taken
// more often.
func (f *fleet) run() {
	steps := []func(){
		f.issue, f.withdraw, f.withdraw, f.advanceClock, f.advanceClock, f.partition, f.partition, f.rejoin,
		f.round, f.round, f.round, f.round, f.restart, f.push,
		f.sendPoll, f.deliverPoll, f.sendHeartbeat, f.deliverHeartbeat,
	}
	for range fleetSteps {
		steps[f.pick(len(steps), "step")]()
		f.check()
	}
	f.rejoin()
	f.heal()
}

// TestFleet checks that a fresh instance never accepts a withdrawn key, despite
// partitions, delayed and repeated replies and pushes, and restarts. Freshness is
// confirmed by the table service alone, or by a quorum of peers as well.
func TestFleet(t *testing.T) {
	tests := []struct {
		name  string
		peers int
	}{
		{"confirmed by the table service", noQuorum},
		{"confirmed by a quorum too", QuorumPeers(fleetInstances)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { newFleet(t, tt.peers).run() })
		})
	}
}
