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
	spreadInstances = 4
	spreadOperators = 2
)

type (
	// spread is a fleet, its operators, its table service and the pushes on
	// their way, which a test steps through in an order that rapid chooses.
	spread struct {
		*rapid.T

		table   *fakeTable
		ledgers [spreadInstances]*Ledger
		// seen are the revisions that each running instance had last.
		seen [spreadInstances]int64
		// pushes are never taken out, so that each may come late and twice.
		pushes []Head
		// naive is what a single process with one lock would have accepted.
		naive     []string
		operators [spreadOperators]spreadOperator
		requests  int
	}

	// spreadOperator is one operator's edit on its way.
	spreadOperator struct {
		proposal Proposal
		running  bool
		// sent says that the transaction was sent at least once.
		sent bool
	}
)

func textNumber(n int) string {
	return fmt.Sprintf(`{"teams": [{"name": "t", "ratePerSecond": %d, "burst": 1}]}`, n+1)
}

func newSpread(t *rapid.T) *spread {
	s := &spread{T: t, table: newFakeTable()}
	for i := range s.ledgers {
		s.ledgers[i] = NewLedger(1)
	}
	return s
}

func (s *spread) pick(n int, label string) int {
	return rapid.IntRange(0, n-1).Draw(s.T, label)
}

// read returns the row as it is or as it was some writes ago.
func (s *spread) read() store.Row {
	return s.table.row(HeadKey, s.pick(3, "age"))
}

func (s *spread) propose(*rapid.T) {
	o := &s.operators[s.pick(spreadOperators, "operator")]
	if o.running {
		return
	}
	row := s.read()
	h, err := DecodeHead(row)
	assert.NilError(s, err)
	s.requests++
	p, err := Propose(row, h.Revision, []byte(textNumber(s.requests)), fmt.Sprint("r", s.requests))
	assert.NilError(s, err)
	*o = spreadOperator{proposal: p, running: true}
}

// commit sends an operator's transaction; its answer may be lost, and another
// copy of it may stay behind and take effect later.
func (s *spread) commit(*rapid.T) {
	o := &s.operators[s.pick(spreadOperators, "operator")]
	if !o.running {
		return
	}
	o.sent = true
	if rapid.Bool().Draw(s.T, "late") {
		s.table.late = append(s.table.late, o.proposal.Txn)
		return
	}
	s.effect(o.proposal.Txn)
}

func (s *spread) arriveLate(*rapid.T) {
	for _, txn := range s.table.late {
		s.effect(txn)
	}
	s.table.late = nil
}

// effect applies a transaction and compares with the naive version.
func (s *spread) effect(txn store.Txn) {
	h, err := DecodeHead(store.Row{Version: 1, Value: txn.Writes[0].Value})
	assert.NilError(s, err)
	err = s.table.apply(txn)
	accepted := int(h.Revision) == len(s.naive)+1
	assert.Equal(s, err == nil, accepted)
	if accepted {
		s.naive = append(s.naive, h.Text)
		s.pushes = append(s.pushes, h)
	}
}

// settle reads back what became of a sent transaction.
func (s *spread) settle(*rapid.T) {
	o := &s.operators[s.pick(spreadOperators, "operator")]
	if !o.running || !o.sent {
		return
	}
	outcome, err := o.proposal.Settle(s.table.row(HeadKey, 0))
	assert.NilError(s, err)
	if outcome == Pending {
		return
	}
	revision := int(o.proposal.Head.Revision)
	ours := revision <= len(s.naive) && s.naive[revision-1] == o.proposal.Head.Text
	assert.Equal(s, outcome == Accepted, ours)
	o.running = false
}

func (s *spread) push(*rapid.T) {
	if len(s.pushes) == 0 {
		return
	}
	i := s.pick(spreadInstances, "to")
	h := s.pushes[s.pick(len(s.pushes), "push")]
	_, err := s.ledgers[i].Learn(h, "peer")
	assert.NilError(s, err)
}

func (s *spread) poll(*rapid.T) {
	_, err := s.ledgers[s.pick(spreadInstances, "instance")].LearnRow(s.read())
	assert.NilError(s, err)
}

// exchange lets one instance compare stamps with another and fetch the text.
func (s *spread) exchange(*rapid.T) {
	a, b := s.pick(spreadInstances, "a"), s.pick(spreadInstances, "b")
	s.fetch(a, b)
}

func (s *spread) fetch(a, b int) {
	if !s.ledgers[a].Behind(s.ledgers[b].Stamp(), fmt.Sprint("i", b)) {
		return
	}
	_, err := s.ledgers[a].Learn(s.ledgers[b].Head(), fmt.Sprint("i", b))
	assert.NilError(s, err)
}

func (s *spread) restart(*rapid.T) {
	i := s.pick(spreadInstances, "instance")
	s.ledgers[i] = NewLedger(1)
	s.seen[i] = 0
}

// check is run after every step.
func (s *spread) check(*rapid.T) {
	for i, l := range s.ledgers {
		r := l.Stamp().Revision
		assert.Assert(s, r >= s.seen[i], "instance %d went back from %d to %d", i, s.seen[i], r)
		s.seen[i] = r
		if r == 0 {
			assert.Assert(s, !l.Ready(), "instance %d serves without a text", i)
			continue
		}
		assert.Assert(s, int(r) <= len(s.naive), "revision %d was never accepted", r)
		assert.Equal(s, l.Head().Text, s.naive[r-1])
		assert.Equal(s, l.Text().Teams[0].RatePerSecond, mustParse(s, l.Head().Text).Teams[0].RatePerSecond)
	}
}

func mustParse(t assert.TestingT, source string) Text {
	text, err := ParseText([]byte(source))
	assert.NilError(t, err)
	return text
}

// heal ends all faults: one instance reads the store, and stamps go round.
func (s *spread) heal() {
	s.arriveLate(s.T)
	_, err := s.ledgers[0].LearnRow(s.table.row(HeadKey, 0))
	assert.NilError(s, err)
	for i := 1; i < spreadInstances; i++ {
		s.fetch(i, i-1)
	}
	for i, l := range s.ledgers {
		assert.Equal(s, int(l.Stamp().Revision), len(s.naive), "instance %d", i)
		assert.Equal(s, l.Ready(), len(s.naive) > 0)
	}
}

// TestSpread steps through races of two operators, lost and late requests, old
// reads, late and doubled pushes, and restarts: no revision falls, there is
// one text per revision, and the newest is everywhere in the end.
func TestSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSpread(t)
		t.Repeat(map[string]func(*rapid.T){
			"propose": s.propose, "commit": s.commit, "arriveLate": s.arriveLate, "settle": s.settle,
			"push": s.push, "poll": s.poll, "exchange": s.exchange, "restart": s.restart,
			"": s.check,
		})
		s.heal()
	})
}

func headOf(revision int64, text string) Head {
	return Head{Revision: revision, Digest: Digest(revision, text), Text: text}
}

func TestLedgerIsReadyOnlyOnceItHeardEnough(t *testing.T) {
	one := headOf(1, textNumber(1))
	bad := headOf(2, `{"later": true}`)
	tests := []struct {
		name  string
		steps func(l *Ledger)
		want  bool
	}{
		{"nothing heard", func(*Ledger) {}, false},
		{"store has no text", func(l *Ledger) { _, _ = l.LearnRow(store.Row{}) }, false},
		{"store", func(l *Ledger) { _, _ = l.Learn(one, FromStore) }, true},
		{"one peer of two", func(l *Ledger) { _, _ = l.Learn(one, "p") }, false},
		{"one peer twice", func(l *Ledger) { _, _ = l.Learn(one, "p"); _, _ = l.Learn(one, "p") }, false},
		{"two peers", func(l *Ledger) { _, _ = l.Learn(one, "p"); l.Behind(Stamp{}, "q") }, true},
		{"second peer is ahead", func(l *Ledger) { _, _ = l.Learn(one, "p"); l.Behind(bad.Stamp(), "q") }, false},
		{"one peer, one wanted", func(l *Ledger) { _, _ = l.Learn(one, "p"); l.Want(1) }, true},
		{"newest unreadable", func(l *Ledger) { _, _ = l.Learn(bad, "p"); _, _ = l.Learn(one, FromStore) }, false},
		{"newest unreadable later", func(l *Ledger) { _, _ = l.Learn(one, FromStore); _, _ = l.Learn(bad, "p") }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l := NewLedger(2)
			tt.steps(l)
			assert.Equal(t, l.Ready(), tt.want)
		})
	}
}

func TestLedgerRefuses(t *testing.T) {
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
			l := NewLedger(1)
			_, err := l.Learn(headOf(2, textNumber(2)), FromStore)
			assert.NilError(t, err)
			changed, err := l.Learn(tt.head, "p")
			assert.ErrorIs(t, err, tt.want)
			assert.Assert(t, !changed)
			assert.DeepEqual(t, l.Head(), headOf(2, textNumber(2)))
		})
	}
}

func TestLedgerKeepsTheTextThatANewerOneWithFaultsWouldReplace(t *testing.T) {
	l := NewLedger(1)
	_, err := l.LearnText(1, []byte(textNumber(1)), FromStore)
	assert.NilError(t, err)
	_, err = l.LearnText(2, []byte(`{"teams": [{"name": "t"}]}`), "p")
	var faults *FaultsError
	assert.Assert(t, errors.As(err, &faults))
	assert.Equal(t, l.Stamp().Revision, int64(1))
	assert.Equal(t, l.Refused().Revision, int64(2))
	assert.Assert(t, !l.Behind(l.Refused(), "p"), "an unreadable text is not fetched again")
}

func TestSettleForgets(t *testing.T) {
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

func TestStampRowFollowsTheHead(t *testing.T) {
	table := newFakeTable()
	p, err := Propose(store.Row{}, 0, []byte(textNumber(0)), "r")
	assert.NilError(t, err)
	assert.NilError(t, table.apply(p.Txn))
	s, err := DecodeStamp(table.row(StampKey, 0))
	assert.NilError(t, err)
	assert.DeepEqual(t, s, p.Head.Stamp())
}
