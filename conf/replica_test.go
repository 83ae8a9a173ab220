package conf

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntide/buckthorntide/store"
)

const (
	fleetInstances = 4
	fleetOperators = 2
)

type (
	// fleet simulates instances, operators, a table service and the pushes in
	// flight, with steps that rapid chooses.
	fleet struct {
		*rapid.T

		table   *fakeTable
		ledgers [fleetInstances]*Replica
		// seen holds the revision of each instance at the last check.
		seen [fleetInstances]int64
		// pushes are never removed, so that each may arrive delayed and repeatedly.
		pushes []Head
		// model holds the accepted texts in the order of their revisions.
		model     []string
		operators [fleetOperators]fleetOperator
		requests  int
	}

	// fleetOperator is an operator with an edit in progress.
	fleetOperator struct {
		proposal Proposal
		running  bool
		// sent is true once the transaction was sent.
		sent bool
	}
)

func textNumber(n int) string {
	return fmt.Sprintf(`{"teams": [{"name": "t", "ratePerSecond": %d, "burst": 1}]}`, n+1)
}

func newFleet(t *rapid.T) *fleet {
	s := &fleet{T: t, table: newFakeTable()}
	for i := range s.ledgers {
		s.ledgers[i] = NewReplica(1)
	}
	return s
}

func (s *fleet) pick(n int, label string) int {
	return rapid.IntRange(0, n-1).Draw(s.T, label)
}

// read returns the row as of now or as of some writes ago, as a stale read.
func (s *fleet) read() store.Row {
	return s.table.row(HeadKey, s.pick(3, "age"))
}

func (s *fleet) propose(*rapid.T) {
	o := &s.operators[s.pick(fleetOperators, "operator")]
	if o.running {
		return
	}
	row := s.read()
	h, err := DecodeHead(row)
	assert.NilError(s, err)
	s.requests++
	p, err := Propose(row, h.Revision, []byte(textNumber(s.requests)), fmt.Sprint("r", s.requests))
	assert.NilError(s, err)
	*o = fleetOperator{proposal: p, running: true}
}

// commit sends an operator's transaction. The request may be delayed and take
// effect later, possibly after it was sent again.
func (s *fleet) commit(*rapid.T) {
	o := &s.operators[s.pick(fleetOperators, "operator")]
	if !o.running {
		return
	}
	o.sent = true
	if rapid.Bool().Draw(s.T, "late") {
		s.table.delayed = append(s.table.delayed, o.proposal.Txn)
		return
	}
	s.effect(o.proposal.Txn)
}

func (s *fleet) applyDelayed(*rapid.T) {
	for _, txn := range s.table.delayed {
		s.effect(txn)
	}
	s.table.delayed = nil
}

// effect applies a transaction and compares the result with the model.
func (s *fleet) effect(txn store.Txn) {
	h, err := DecodeHead(store.Row{Version: 1, Value: txn.Writes[0].Value})
	assert.NilError(s, err)
	err = s.table.apply(txn)
	accepted := int(h.Revision) == len(s.model)+1
	assert.Equal(s, err == nil, accepted)
	if accepted {
		s.model = append(s.model, h.Text)
		s.pushes = append(s.pushes, h)
	}
}

// settle determines the outcome of a transaction that was sent.
func (s *fleet) settle(*rapid.T) {
	o := &s.operators[s.pick(fleetOperators, "operator")]
	if !o.running || !o.sent {
		return
	}
	outcome, err := o.proposal.Settle(s.table.row(HeadKey, 0))
	assert.NilError(s, err)
	if outcome == Pending {
		return
	}
	revision := int(o.proposal.Head.Revision)
	ours := revision <= len(s.model) && s.model[revision-1] == o.proposal.Head.Text
	assert.Equal(s, outcome == Accepted, ours)
	o.running = false
}

func (s *fleet) push(*rapid.T) {
	if len(s.pushes) == 0 {
		return
	}
	i := s.pick(fleetInstances, "to")
	h := s.pushes[s.pick(len(s.pushes), "push")]
	_, err := s.ledgers[i].Learn(h, "peer")
	assert.NilError(s, err)
}

func (s *fleet) poll(*rapid.T) {
	_, err := s.ledgers[s.pick(fleetInstances, "instance")].LearnRow(s.read())
	assert.NilError(s, err)
}

// exchange has one instance compare its stamp with another's and fetch the text if
// it is behind.
func (s *fleet) exchange(*rapid.T) {
	a, b := s.pick(fleetInstances, "a"), s.pick(fleetInstances, "b")
	s.fetch(a, b)
}

func (s *fleet) fetch(a, b int) {
	if !s.ledgers[a].ObserveStamp(s.ledgers[b].Stamp(), fmt.Sprint("i", b)) {
		return
	}
	_, err := s.ledgers[a].Learn(s.ledgers[b].Head(), fmt.Sprint("i", b))
	assert.NilError(s, err)
}

func (s *fleet) restart(*rapid.T) {
	i := s.pick(fleetInstances, "instance")
	s.ledgers[i] = NewReplica(1)
	s.seen[i] = 0
}

// check verifies every instance's state against the model after each step.
func (s *fleet) check(*rapid.T) {
	for i, l := range s.ledgers {
		r := l.Stamp().Revision
		assert.Assert(s, r >= s.seen[i], "instance %d went back from %d to %d", i, s.seen[i], r)
		s.seen[i] = r
		if r == 0 {
			assert.Assert(s, !l.Ready(), "instance %d is ready without a text", i)
			continue
		}
		assert.Assert(s, int(r) <= len(s.model), "revision %d was never accepted", r)
		assert.Equal(s, l.Head().Text, s.model[r-1])
		assert.Equal(s, l.Text().Teams[0].RatePerSecond, mustParse(s, l.Head().Text).Teams[0].RatePerSecond)
	}
}

func mustParse(t assert.TestingT, source string) Text {
	text, err := ParseText([]byte(source))
	assert.NilError(t, err)
	return text
}

// heal has one instance read the store and the others exchange stamps, and checks
// that all converge on the newest text.
func (s *fleet) heal() {
	s.applyDelayed(s.T)
	_, err := s.ledgers[0].LearnRow(s.table.row(HeadKey, 0))
	assert.NilError(s, err)
	for i := 1; i < fleetInstances; i++ {
		s.fetch(i, i-1)
	}
	for i, l := range s.ledgers {
		assert.Equal(s, int(l.Stamp().Revision), len(s.model), "instance %d", i)
		assert.Equal(s, l.Ready(), len(s.model) > 0)
	}
}

// TestPropagation checks that no instance's revision decreases, that each revision
// has a single text, and that all instances converge on the newest one, despite
// concurrent operators, lost and delayed requests, stale reads, delayed and
// repeated pushes, and restarts.
func TestPropagation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newFleet(t)
		t.Repeat(map[string]func(*rapid.T){
			"propose": s.propose, "commit": s.commit, "arriveLate": s.applyDelayed, "settle": s.settle,
			"push": s.push, "poll": s.poll, "exchange": s.exchange, "restart": s.restart,
			"": s.check,
		})
		s.heal()
	})
}

func headOf(revision int64, text string) Head {
	return Head{Revision: revision, Digest: Digest(revision, text), Text: text}
}

func TestReadyRequiresTheStoreOrAQuorum(t *testing.T) {
	one := headOf(1, textNumber(1))
	bad := headOf(2, `{"later": true}`)
	tests := []struct {
		name  string
		steps func(l *Replica)
		want  bool
	}{
		{"no replies", func(*Replica) {}, false},
		{"store without a text", func(l *Replica) { _, _ = l.LearnRow(store.Row{}) }, false},
		{"store", func(l *Replica) { _, _ = l.Learn(one, FromStore) }, true},
		{"one peer of two", func(l *Replica) { _, _ = l.Learn(one, "p") }, false},
		{"one peer twice", func(l *Replica) { _, _ = l.Learn(one, "p"); _, _ = l.Learn(one, "p") }, false},
		{"two peers", func(l *Replica) { _, _ = l.Learn(one, "p"); l.ObserveStamp(Stamp{}, "q") }, true},
		{"second peer is ahead", func(l *Replica) { _, _ = l.Learn(one, "p"); l.ObserveStamp(bad.Stamp(), "q") }, false},
		{"one peer, one required", func(l *Replica) { _, _ = l.Learn(one, "p"); l.SetQuorumPeers(1) }, true},
		{"newest text invalid", func(l *Replica) { _, _ = l.Learn(bad, "p"); _, _ = l.Learn(one, FromStore) }, false},
		{"newest text invalid once ready", func(l *Replica) { _, _ = l.Learn(one, FromStore); _, _ = l.Learn(bad, "p") }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := NewReplica(2)
			tt.steps(l)
			assert.Equal(t, l.Ready(), tt.want)
		})
	}
}

func TestReplicaRefusesHeads(t *testing.T) {
	damaged := headOf(2, textNumber(2))
	damaged.Text = textNumber(3)
	tests := []struct {
		name string
		head Head
		want error
	}{
		{"older", headOf(1, textNumber(0)), nil},
		{"damaged", damaged, ErrDamaged},
		{"other text, same revision", headOf(2, textNumber(9)), ErrDivergent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := NewReplica(1)
			_, err := l.Learn(headOf(2, textNumber(2)), FromStore)
			assert.NilError(t, err)
			changed, err := l.Learn(tt.head, "p")
			assert.ErrorIs(t, err, tt.want)
			assert.Assert(t, !changed)
			assert.DeepEqual(t, l.Head(), headOf(2, textNumber(2)))
		})
	}
}

func TestInvalidTextDoesNotReplaceTheTextInForce(t *testing.T) {
	l := NewReplica(1)
	_, err := l.LearnText(1, []byte(textNumber(1)), FromStore)
	assert.NilError(t, err)
	_, err = l.LearnText(2, []byte(`{"teams": [{"name": "t"}]}`), "p")
	var faults *FaultsError
	assert.Assert(t, errors.As(err, &faults))
	assert.Equal(t, l.Stamp().Revision, int64(1))
	assert.Equal(t, l.Refused().Revision, int64(2))
	assert.Assert(t, !l.ObserveStamp(l.Refused(), "p"), "an invalid text must not be fetched again")
}

func TestSettleIsIndeterminateAfterManyRevisions(t *testing.T) {
	table := newFakeTable()
	p, err := Propose(store.Row{}, 0, []byte(textNumber(0)), "first")
	assert.NilError(t, err)
	assert.NilError(t, table.apply(p.Txn))
	for i := range maxAcceptances {
		outcome, err := p.Settle(table.row(HeadKey, 0))
		assert.NilError(t, err)
		assert.Equal(t, outcome, Accepted, "after %d more", i)
		next, err := Propose(table.row(HeadKey, 0), int64(i+1), []byte(textNumber(i)), "r")
		assert.NilError(t, err)
		assert.NilError(t, table.apply(next.Txn))
	}
	outcome, err := p.Settle(table.row(HeadKey, 0))
	assert.NilError(t, err)
	assert.Equal(t, outcome, Indeterminate)
}

func TestStampRowMatchesTheHead(t *testing.T) {
	table := newFakeTable()
	p, err := Propose(store.Row{}, 0, []byte(textNumber(0)), "r")
	assert.NilError(t, err)
	assert.NilError(t, table.apply(p.Txn))
	s, err := DecodeStamp(table.row(StampKey, 0))
	assert.NilError(t, err)
	assert.DeepEqual(t, s, p.Head.Stamp())
}
