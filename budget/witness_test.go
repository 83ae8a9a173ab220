package budget_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/budget"
	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/rows"
)

// Guards against a witness that permits what it has refused for good, revokes what it has
// permitted, or lets a message that arrives late undo a newer one.
func TestWitness(t *testing.T) {
	const home = "home#1"
	engage := func(epoch, period int64) func(l *budget.Ledger) bool {
		return func(l *budget.Ledger) bool {
			return l.Engage(&budget.EngageRequest{Witness: l.Holder(), Process: home, Epoch: epoch, Period: period}).Engaged
		}
	}
	permit := func(epoch, period int64, program string) func(l *budget.Ledger) bool {
		return func(l *budget.Ledger) bool {
			return l.Permit(&budget.PermitRequest{Process: home, Epoch: epoch, Period: period, Program: program}).Permitted
		}
	}
	revoke := func(epoch int64, program string) func(l *budget.Ledger) bool {
		return func(l *budget.Ledger) bool {
			return l.Revoke(&budget.RevokeRequest{Process: home, Epoch: epoch, Program: program}).Revoked
		}
	}
	type message struct {
		send func(l *budget.Ledger) bool
		want bool
	}
	tests := []struct {
		name     string
		messages []message
	}{
		{"never engaged", []message{{permit(1, 0, "p"), false}, {revoke(1, "p"), false}, {revoke(1, ""), false}}},
		{"permits, and revokes nothing of that", []message{
			{engage(1, 0), true},
			{permit(1, 0, "p"), true},
			{revoke(1, "p"), false},
			{revoke(1, ""), false},
			{revoke(1, "q"), true},
			{permit(1, 0, "q"), false},
			{permit(1, 0, "p"), true},
		}},
		{"revokes one program for good", []message{
			{engage(1, 0), true},
			{revoke(1, "p"), true},
			{permit(1, 0, "p"), false},
			{engage(1, 1), true},
			{permit(1, 1, "p"), false},
			{permit(1, 1, "q"), true},
		}},
		{"revokes all until the next registration", []message{
			{engage(1, 0), true},
			{revoke(1, ""), true},
			{permit(1, 0, "p"), false},
			{engage(1, 1), false},
			{permit(1, 1, "p"), false},
			{engage(2, 0), true},
			{permit(2, 0, "p"), true},
		}},
		{"a new period ends what was permitted", []message{
			{engage(1, 0), true}, {permit(1, 0, "p"), true}, {engage(1, 1), true}, {revoke(1, "p"), true},
		}},
		{"an engagement that arrives late doesn't", []message{
			{engage(1, 0), true}, {engage(1, 1), true}, {permit(1, 1, "p"), true}, {engage(1, 0), true}, {engage(1, 1), true}, {revoke(1, "p"), false},
		}},
		{"a question of an earlier period", []message{{engage(1, 0), true}, {engage(1, 1), true}, {permit(1, 0, "p"), false}}},
		{"meant for an earlier process", []message{
			{
				func(l *budget.Ledger) bool {
					return l.Engage(&budget.EngageRequest{Witness: "w#0", Process: home, Epoch: 1}).Engaged
				}, false,
			},
			{revoke(1, "p"), false},
		}},
		{"another registration", []message{
			{engage(2, 0), true}, {permit(1, 0, "p"), false}, {revoke(1, "p"), false}, {engage(1, 0), false}, {permit(3, 0, "p"), false}, {revoke(3, ""), false},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := emptyFleet(0, time.Hour)
			f.away.Store(true)
			l := budget.NewLedger(hclog.NewNullLogger(), rows.NewMemory(), seat{f, "w#1"}, "w#1", f.ledgerConfig())
			defer l.Close()
			for i, m := range tt.messages {
				assert.Equal(t, m.send(l), m.want, "message %d", i+1)
			}
		})
	}
}

// A witness permits nothing while the store answers it or another instance.
func TestWitnessThatReachesTheStorePermitsNothing(t *testing.T) {
	f := emptyFleet(0, time.Hour)
	l := f.start()
	defer l.Close()
	assert.Assert(t, l.Engage(&budget.EngageRequest{Witness: l.Holder(), Process: "home#1", Epoch: 1}).Engaged)
	assert.Assert(t, !l.Permit(&budget.PermitRequest{Process: "home#1", Epoch: 1, Program: "p"}).Permitted)
	assert.Assert(t, l.Revoke(&budget.RevokeRequest{Process: "home#1", Epoch: 1}).Revoked)
}

// A home stands still while others spend the budget without it, and wakes in an outage
// before it has read the heavy programs. Guards against grants of a permission that was
// revoked, that is left from an earlier outage, or that witnesses give which have started
// since and know nothing of the revocation.
func TestHomeThatWakesInAnOutageGrantsNothing(t *testing.T) {
	const total, maxTokens = 1600, 100
	freeze := func(s *sites, m *member, frozen bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		m.frozen = frozen
	}
	tests := []struct {
		name string
		// before and meanwhile happen before the home stands still, and after the others
		// have spent the budget.
		before    func(s *sites, home *member) int
		meanwhile func(t *testing.T, s *sites)
	}{
		{name: "revoked"},
		{
			name: "permitted in an earlier outage",
			before: func(s *sites, home *member) int {
				s.setDown(true)
				handed := home.turn(total, maxTokens)
				// The transaction that the turn began ends too.
				time.Sleep(2 * s.times.recordDelay)
				s.setDown(false)
				time.Sleep(3 * s.times.recordDelay)
				return handed
			},
		},
		{
			name: "witnesses have started again",
			meanwhile: func(t *testing.T, s *sites) {
				for _, m := range s.members[1:] {
					s.kill(m)
					s.start(m)
					time.Sleep(s.times.recordInterval)
				}
				assert.Equal(t, len(s.losses), 0)
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSites(3, productionTimes)
				defer s.close()
				time.Sleep(3 * s.times.recordDelay)
				for _, m := range s.members {
					s.readHeavy(m)
				}
				home, other := s.members[0], s.members[1]
				handed := 0
				if tt.before != nil {
					handed += tt.before(s, home)
					assert.Assert(t, handed > 0)
				}
				freeze(s, home, true)
				taken, refusal := takeTurns(other, "p", total, maxTokens)
				handed += taken * maxTokens
				assert.ErrorIs(t, refusal, budget.ErrSpent)
				freeze(s, home, false)
				if tt.meanwhile != nil {
					tt.meanwhile(t, s)
				}
				time.Sleep(s.times.recordInterval * 2)
				s.setDown(true)
				woken, _ := takeTurns(home, "p", total, maxTokens)
				handed += woken * maxTokens
				assert.Assert(t, handed >= total-maxTokens && handed <= total+maxTokens, "%d of %d", handed, total)
				// In an outage the home has what it was granted before, and no more.
				assert.Assert(t, woken <= 1, "%d turns", woken)
			})
		})
	}
}

// A home is given up with a loss, since it granted something to another program, and registers
// again; once the loss is forgotten it grants the program something and is lost. Guards against
// the witnesses' word on its first registration that counts for the second one.
func TestWitnessesKnowOneRegistration(t *testing.T) {
	const total, maxTokens = 800, 100
	synctest.Test(t, func(t *testing.T) {
		s := newSites(6, productionTimes)
		defer s.close()
		home, other := s.members[0], s.members[5]
		rest := func() {
			time.Sleep(3 * s.times.recordDelay)
			for _, m := range s.members {
				s.readHeavy(m)
			}
		}
		rest()
		s.setDown(true)
		assert.Assert(t, grantsWithoutStore(home, "q", total, maxTokens))
		home.cut.Store(true)
		s.setDown(false)
		s.giveUp(home)
		assert.Equal(t, len(s.losses), 1)
		time.Sleep(2 * s.times.recordDelay)
		handed := other.turn(total, maxTokens)
		s.losses = nil
		s.cut(home, false)
		assert.Assert(t, home.listed)
		rest()
		s.setDown(true)
		taken := 0
		for grantsWithoutStore(home, "p", total, maxTokens) {
			taken++
		}
		assert.Assert(t, taken > 0)
		s.kill(home)
		s.setDown(false)
		s.giveUp(home)
		assert.Equal(t, len(s.losses), 1)
		rest()
		spent, _ := takeTurns(other, "p", total, maxTokens)
		handed += (taken + spent) * maxTokens
		assert.Assert(t, handed <= total+maxTokens, "%d of %d", handed, total)
	})
}

// grantsWithoutStore takes one turn of the program, and reports whether it was served.
func grantsWithoutStore(m *member, program string, total, maxTokens int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), m.sites.times.turn)
	defer cancel()
	if m.ledger.Reserve(ctx, program, total, maxTokens, common.Uptime()) != nil {
		return false
	}
	m.ledger.Settle(program, maxTokens, maxTokens)
	return true
}
