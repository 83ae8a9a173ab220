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
	// fleetSteps is how many steps one run takes.
	fleetSteps = 80
	noQuorum   = 100
)

type (
	// fleet is a table service, instances and operators, which a test steps
	// through in an order that rapid chooses. Time is the test's own.
	fleet struct {
		*rapid.T

		now     time.Time
		peers   int
		table   *fakeTable
		members [fleetInstances]*member
		// sides tells which instances hear one another; those of storeSide hear
		// the table service, which is nobody where it is down.
		sides     [fleetInstances]int
		storeSide int
		// changes are all that were accepted, for late and doubled pushes.
		changes []Change
		// naive is what a single process with one lock would hold.
		naive map[Hash]*naiveKey
		order []Hash
		// polls and heartbeats are answers on their way.
		polls      []pollAnswer
		heartbeats []heartbeatAnswer
	}

	// member is one running instance.
	member struct {
		*Keys

		cuts map[Hash]int
		// seen is the revision that it had last.
		seen int64
	}

	// naiveKey is a key as the naive version knows it.
	naiveKey struct {
		team string
		// committed and done are when the withdrawal was written and when it was
		// acknowledged by a majority; zero for not yet.
		committed, done time.Time
		acks            *Acks
	}

	pollAnswer struct {
		to   int
		row  store.Row
		sent time.Time
	}

	heartbeatAnswer struct {
		to, from int
		state    PeerState
		sent     time.Time
	}
)

func newFleet(t *rapid.T, peers int) *fleet {
	f := &fleet{
		T: t, peers: peers, table: newFakeTable(), naive: make(map[Hash]*naiveKey),
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

// part cuts the fleet into two sides, of which one or none hears the table
// service.
func (f *fleet) part() {
	for i := range f.sides {
		f.sides[i] = f.pick(2, "side")
	}
	f.storeSide = f.pick(3, "storeSide")
}

// join ends the cut.
func (f *fleet) join() {
	f.sides = [fleetInstances]int{}
	f.storeSide = 0
}

// writer returns an instance that hears the table service, if any.
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

func (f *fleet) poll(i int) pollAnswer { return pollAnswer{i, f.table.rows["keys/head"], f.now} }

func (f *fleet) heartbeat(to, from int) heartbeatAnswer {
	return heartbeatAnswer{to, from, f.members[from].State(fmt.Sprint(from), f.now), f.now}
}

// round lets one instance, or all, hear everybody that they can.
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
	f.members[i] = &member{Keys: k, cuts: make(map[Hash]int)}
}

func (f *fleet) pick(n int, label string) int { return rapid.IntRange(0, n-1).Draw(f.T, label) }

func (f *fleet) member(label string) int { return f.pick(fleetInstances, label) }

func (m *member) cut(keys []Hash) {
	for _, h := range keys {
		m.cuts[h]++
	}
}

func (f *fleet) tick() {
	spans := []time.Duration{100 * time.Millisecond, testTimeout / 2, testTimeout}
	f.now = f.now.Add(rapid.SampledFrom(spans).Draw(f.T, "span"))
}

// issue lets an operator issue a key at an instance.
func (f *fleet) issue() {
	i, ok := f.writer()
	if !ok {
		return
	}
	key, h := testKey(CallerKind, uint64(len(f.order)))
	p, err := Issue(CallerKind, f.table.rows["keys/head"], key, fmt.Sprint("t", len(f.order)), "", "r")
	assert.NilError(f, err)
	assert.NilError(f, f.table.apply(p.Txn))
	f.naive[h] = &naiveKey{team: p.Change.Team}
	f.order = append(f.order, h)
	f.accept(i, p.Change)
}

// withdraw lets an operator withdraw a key.
func (f *fleet) withdraw() {
	i, ok := f.writer()
	if !ok {
		return
	}
	h := f.order[f.pick(len(f.order), "key")]
	p, err := Withdraw(CallerKind, f.table.rows["keys/head"], f.table.rows[CallerKind.RowKey(h)], h, false, "r")
	if errors.Is(err, ErrWithdrawn) {
		assert.Assert(f, !f.naive[h].committed.IsZero())
		return
	}
	assert.NilError(f, err)
	assert.NilError(f, f.table.apply(p.Txn))
	f.naive[h].committed = f.now
	f.naive[h].acks = NewAcks(p.Change.Revision, fleetInstances)
	f.accept(i, p.Change)
}

// accept hands an accepted change to the instance whose operator made it.
func (f *fleet) accept(i int, c Change) {
	f.changes = append(f.changes, c)
	f.members[i].cut(f.members[i].Push(c))
	f.ack(i)
}

// ack hands an instance's revision to every count of acknowledgements.
func (f *fleet) ack(i int) {
	for _, n := range f.naive {
		if n.acks == nil || !n.done.IsZero() {
			continue
		}
		n.acks.Hear(fmt.Sprint(i), f.members[i].Revision())
		if n.acks.Done() {
			n.done = f.now
		}
	}
}

// push delivers any change that was ever accepted.
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

// answerPoll delivers an answer of the table service, perhaps late or again,
// but never to an instance that restarted since.
func (f *fleet) answerPoll() {
	if len(f.polls) == 0 {
		return
	}
	f.learnHead(f.polls[f.pick(len(f.polls), "poll")])
}

func (f *fleet) learnHead(a pollAnswer) {
	m := f.members[a.to]
	learned, err := m.LearnHead(a.row, a.sent)
	assert.NilError(f, err)
	m.cut(learned.Cut)
	if !learned.Reload {
		f.ack(a.to)
		return
	}
	f.loadFromStore(m, a)
	f.ack(a.to)
}

// loadFromStore reads the whole set page by page and hands the head in again.
func (f *fleet) loadFromStore(m *member, a pollAnswer) {
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
	m.EndLoad(h.Revision)
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

func (f *fleet) answerHeartbeat() {
	if len(f.heartbeats) == 0 {
		return
	}
	f.learnPeer(f.heartbeats[f.pick(len(f.heartbeats), "heartbeat")])
}

func (f *fleet) learnPeer(a heartbeatAnswer) {
	m, from := f.members[a.to], f.members[a.from]
	learned := m.LearnPeer(a.state, a.sent)
	if learned.Fetch {
		learned = m.LearnSince(from.Since(m.Revision()))
		m.cut(learned.Cut)
	}
	if learned.Reload && from.Loaded() {
		revision := from.Revision()
		m.cut(m.LearnPage(from.Page(Hash{}, len(f.order)+1)))
		m.EndLoad(revision)
	}
	m.LearnPeer(a.state, a.sent)
	f.ack(a.to)
}

// check is run after every step.
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
	n := f.naive[h]
	who, err := m.CheckHash(h)
	if err == nil {
		assert.Equal(f, who.Team, n.team)
		assert.Equal(f, m.cuts[h], 0, "instance %d lets a key in again that it cut", i)
	}
	if errors.Is(err, ErrWithdrawn) {
		assert.Assert(f, !n.committed.IsZero(), "instance %d refuses a key that nobody withdrew", i)
		assert.Equal(f, m.cuts[h], 1, "instance %d must cut the key's streams once", i)
	}
	if f.dueAt(n) && m.Fresh(f.now) {
		assert.Assert(f, err != nil, "instance %d is fresh and lets in a withdrawn key", i)
	}
}

// dueAt says that a withdrawal must be in force wherever keys are fresh: one
// timeout after it was acknowledged, or after its commit where only the table
// service makes fresh.
func (f *fleet) dueAt(n *naiveKey) bool {
	at := n.done
	if f.peers == noQuorum {
		at = n.committed
	}
	return !at.IsZero() && f.now.Sub(at) >= testTimeout
}

// heal ends all faults: everybody hears the table service.
func (f *fleet) heal() {
	for i, m := range f.members {
		f.learnHead(pollAnswer{i, f.table.rows["keys/head"], f.now})
		assert.Assert(f, m.Fresh(f.now))
		assert.Equal(f, m.Revision(), int64(len(f.changes)))
		for _, h := range f.order {
			_, err := m.CheckHash(h)
			assert.Equal(f, err == nil, f.naive[h].committed.IsZero())
		}
	}
}

// restart drops answers on their way to the instance that restarts: they
// belong to connections of the process before.
func (f *fleet) restart() {
	i := f.member("instance")
	f.start(i)
	f.polls = keep(f.polls, func(a pollAnswer) bool { return a.to != i })
	f.heartbeats = keep(f.heartbeats, func(a heartbeatAnswer) bool { return a.to != i && a.from != i })
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

// run takes steps that rapid chooses; the likelier ones stand in the list more
// than once.
func (f *fleet) run() {
	steps := []func(){
		f.issue, f.withdraw, f.withdraw, f.tick, f.tick, f.part, f.part, f.join,
		f.round, f.round, f.round, f.round, f.restart, f.push,
		f.sendPoll, f.answerPoll, f.sendHeartbeat, f.answerHeartbeat,
	}
	for range fleetSteps {
		steps[f.pick(len(steps), "step")]()
		f.check()
	}
	f.join()
	f.heal()
}

// TestFleet steps through issues, withdrawals, cuts, late and doubled answers
// and pushes, and restarts, with two rules of freshness: by the table service
// alone, and by a majority as well.
func TestFleet(t *testing.T) {
	tests := []struct {
		name  string
		peers int
	}{
		{"by the table service", noQuorum},
		{"by a majority too", QuorumPeers(fleetInstances)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) { newFleet(t, tt.peers).run() })
		})
	}
}
