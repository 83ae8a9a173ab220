package budget_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntide/buckthorntide/budget"
	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/rows"
)

const (
	// siteRecordDelay and siteRecordInterval are short, so that many orders of events
	// can be played.
	siteRecordDelay    = 40 * time.Millisecond
	siteRecordInterval = 5 * time.Millisecond
	siteStoreTimeout   = 2 * time.Millisecond
	siteTurnTimeout    = 10 * time.Millisecond
)

type (
	// sites are instances of which the first one present is the home of the program.
	sites struct {
		mu        sync.Mutex
		memory    *rows.Memory
		down      bool
		reachedAt time.Duration
		members   []*member
		losses    [][]string
		started   int
		opened    []*budget.Ledger
	}

	// member is one instance, whose process may be replaced.
	member struct {
		sites  *sites
		ledger *budget.Ledger
		// running is set while a process runs, listed while the store lists it; row is
		// the holder name in the store's list, empty if there is none.
		running bool
		listed  bool
		leaving bool
		row     string
		// frozen: it answers nobody. cut: it doesn't reach the store. late: the next
		// transaction takes effect after its caller has given it up.
		frozen      bool
		cut         atomic.Bool
		late        atomic.Bool
		cutUntil    time.Duration
		homeSince   time.Duration
		heavyReadAt time.Duration
	}

	// memberStore is the store as one process reaches it.
	memberStore struct {
		rows.Store
		member *member
	}
)

func (s *memberStore) Commit(ctx context.Context, txn rows.Txn) (int64, error) {
	if s.member.cut.Load() {
		return 0, rows.ErrNotDone
	}
	if s.member.late.CompareAndSwap(true, false) {
		time.AfterFunc(siteTurnTimeout, func() {
			// Nobody hears of the outcome.
			_, _ = s.Store.Commit(context.Background(), txn)
		})
		return 0, rows.ErrUnknown
	}
	return s.Store.Commit(ctx, txn)
}

func newSites(n int) *sites {
	s := &sites{memory: rows.NewMemory()}
	for range n {
		s.members = append(s.members, &member{sites: s})
	}
	for _, m := range s.members {
		s.start(m)
	}
	return s
}

func (s *sites) close() {
	for _, l := range s.opened {
		l.Close()
	}
}

// start runs a new process of the instance, which registers if it reaches the store.
func (s *sites) start(m *member) {
	s.mu.Lock()
	s.started++
	holder := fmt.Sprintf("front#%d", s.started)
	m.running, m.listed, m.frozen, m.leaving, m.heavyReadAt = true, false, false, false, 0
	m.cut.Store(false)
	started := common.Uptime()
	m.ledger = budget.NewLedger(hclog.NewNullLogger(), &memberStore{Store: s.memory, member: m}, m, holder, budget.Config{
		StoreDown: func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.down
		},
		StoreReached: func() time.Duration {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.down || m.cut.Load() {
				return 0
			}
			return common.Uptime() - max(started, s.reachedAt, m.cutUntil)
		},
		HeavyReadAt: func() time.Duration {
			s.mu.Lock()
			defer s.mu.Unlock()
			return m.heavyReadAt
		},
		IdleTTL: time.Minute, RecordDelay: siteRecordDelay, StoreTimeout: siteStoreTimeout, RecordInterval: siteRecordInterval,
	})
	s.opened = append(s.opened, m.ledger)
	s.mu.Unlock()
	s.register(m)
}

// register lists the process in place of the row that an earlier one left, which is
// recorded as lost then.
func (s *sites) register(m *member) {
	s.readHeavy(m)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || m.cut.Load() || !m.running || m.listed {
		return
	}
	before := s.homeLocked()
	if m.row != "" {
		s.losses = append(s.losses, []string{m.row})
	}
	m.listed, m.row, m.homeSince = true, m.ledger.Holder(), common.Uptime()
	s.moved(before)
}

// moved records that the program may have another home. The caller holds the lock.
func (s *sites) moved(before *member) {
	if home := s.homeLocked(); home != nil && home != before {
		home.homeSince = common.Uptime()
	}
}

// homeLocked returns the instance that the program is assigned to; its process may have
// ended.
func (s *sites) homeLocked() *member {
	for _, m := range s.members {
		if m.row != "" && !m.leaving {
			return m
		}
	}
	return nil
}

// readHeavy reads the table of heavy programs, whose feed lags behind.
func (s *sites) readHeavy(m *member) {
	if m.cut.Load() || !m.running {
		return
	}
	at := common.Uptime()
	parts, err := s.memory.Parts(context.Background(), budget.HeavyTable)
	if err != nil {
		return
	}
	var found []rows.Row
	for _, part := range parts.Names {
		page, err := s.memory.Range(context.Background(), rows.Query{Table: budget.HeavyTable, Part: part})
		if err != nil {
			return
		}
		found = append(found, page.Rows...)
	}
	m.ledger.LoadHeavyPrograms(found)
	s.mu.Lock()
	defer s.mu.Unlock()
	m.heavyReadAt = at
}

func (s *sites) setDown(down bool) {
	if down {
		s.memory.SetFault(rows.ErrNotDone, false)
	} else {
		s.memory.SetFault(nil, false)
	}
	s.mu.Lock()
	s.down, s.reachedAt = down, common.Uptime()
	s.mu.Unlock()
	if !down {
		for _, m := range s.members {
			s.register(m)
		}
	}
}

// stop stops the process as planned. Its row stays if it couldn't record its grants.
func (s *sites) stop(m *member) {
	s.mu.Lock()
	before := s.homeLocked()
	if !s.down && !m.cut.Load() {
		m.leaving = true
	}
	s.moved(before)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), siteTurnTimeout)
	m.ledger.Drain(ctx)
	cancel()
	s.mu.Lock()
	if m.ledger.Recorded() && !s.down && !m.cut.Load() {
		m.row = ""
	}
	s.mu.Unlock()
	s.kill(m)
}

func (s *sites) kill(m *member) {
	s.mu.Lock()
	m.running, m.listed = false, false
	s.mu.Unlock()
	m.ledger.Close()
}

// giveUp removes an instance that can't be reached from the list, and records its loss.
func (s *sites) giveUp(m *member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || m.row == "" || (m.running && !m.frozen && !m.cut.Load()) {
		return
	}
	before := s.homeLocked()
	s.losses = append(s.losses, []string{m.row})
	m.row, m.listed = "", false
	s.moved(before)
}

// home returns the home if its process answers.
func (s *sites) home() (*member, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.homeLocked()
	if m == nil || !m.running || m.frozen {
		return nil, errGone
	}
	return m, nil
}

func (m *member) Release(_ context.Context, holder, program string) (int, error) {
	s := m.sites
	s.mu.Lock()
	var l *budget.Ledger
	for _, other := range s.members {
		if other.running && !other.frozen && other.ledger.Holder() == holder {
			l = other.ledger
		}
	}
	s.mu.Unlock()
	if l == nil {
		return 0, errGone
	}
	return l.Release(program)
}

func (m *member) RequestProvisional(_ context.Context, holder, program string, total, maxTokens int) (int, error) {
	home, err := m.sites.home()
	if err != nil {
		return 0, err
	}
	return home.ledger.GrantProvisional(holder, program, total, maxTokens, common.Uptime()), nil
}

func (m *member) EndProvisionals(_ context.Context, program string) (budget.Ended, error) {
	home, err := m.sites.home()
	if err != nil {
		return budget.Ended{}, err
	}
	return home.ledger.EndProvisionals(program)
}

func (m *member) HomeSince(string) (time.Duration, bool) {
	m.sites.mu.Lock()
	defer m.sites.mu.Unlock()
	return m.homeSince, m.listed && m.sites.homeLocked() == m
}

func (m *member) WasHome(program string, _ time.Duration) bool {
	_, ok := m.HomeSince(program)
	return ok
}

func (m *member) Losses(string) []string {
	m.sites.mu.Lock()
	defer m.sites.mu.Unlock()
	if len(m.sites.losses) == 0 {
		return nil
	}
	return m.sites.losses[0]
}

// turn takes one turn of maximum size and returns the tokens that it handed out.
func (m *member) turn(total, maxTokens int) int {
	if !m.running || m.frozen {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), siteTurnTimeout)
	defer cancel()
	if m.ledger.Reserve(ctx, "p", total, maxTokens, common.Uptime()) != nil {
		return 0
	}
	m.ledger.Settle("p", maxTokens, maxTokens)
	return maxTokens
}

// A program gets turns while the store is away and its home ends, killed or stopped as
// planned. Guards against a budget that is granted once more, since the only record of
// what was granted ended with the home.
func TestBudgetIsNotGrantedTwiceAfterItsHomeIsLost(t *testing.T) {
	const maxTokens = 100
	tests := []struct {
		name string
		end  func(s *sites, m *member)
	}{
		{"killed", (*sites).kill},
		{"stopped as planned", (*sites).stop},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for turns := 1; turns <= 9; turns++ {
				total := turns * maxTokens
				s := newSites(3)
				time.Sleep(2 * siteRecordDelay)
				for _, m := range s.members {
					s.readHeavy(m)
				}
				handed := 0
				s.setDown(true)
				home := s.members[0]
				for range turns {
					handed += home.turn(total, maxTokens)
				}
				tt.end(s, home)
				s.setDown(false)
				s.start(home)
				time.Sleep(2 * siteRecordDelay)
				for range 2 * turns {
					handed += home.turn(total, maxTokens)
				}
				assert.Check(t, handed <= total+maxTokens, "%d of %d", handed, total)
				assert.Check(t, handed > total-3*maxTokens, "%d of %d", handed, total)
				s.close()
			}
		})
	}
}

// A program spends its budget, and its home moves just before the store goes down. Guards
// against a new home that doesn't know the program as heavy and grants it more.
func TestNewHomeGrantsNothingToHeavyPrograms(t *testing.T) {
	const total, maxTokens = 800, 100
	s := newSites(2)
	defer s.close()
	time.Sleep(2 * siteRecordDelay)
	for _, m := range s.members {
		s.readHeavy(m)
	}
	handed := 0
	for range total / maxTokens {
		handed += s.members[0].turn(total, maxTokens)
	}
	assert.Equal(t, handed, total)
	s.stop(s.members[0])
	s.setDown(true)
	for range 4 {
		handed += s.members[1].turn(total, maxTokens)
	}
	assert.Equal(t, handed, total)
}

// A program begins while the store is down, at a home that has been that for long. Guards
// against grants that are refused without need.
func TestProgramBeginsInACalmOutage(t *testing.T) {
	const total, maxTokens = 800, 100
	s := newSites(3)
	defer s.close()
	time.Sleep(2 * siteRecordDelay)
	for _, m := range s.members {
		s.readHeavy(m)
	}
	s.setDown(true)
	assert.Equal(t, s.members[1].turn(total, maxTokens), maxTokens)
	assert.Equal(t, s.members[1].turn(total, maxTokens), maxTokens)
}

// Outages, planned stops, kills, freezes, cuts, transactions that take effect late, and
// homes that move, in random order, must never hand out more than the budget and one turn.
func TestBudgetHoldsInAnyOrderOfEvents(t *testing.T) {
	const maxTokens = 100
	rapid.Check(t, func(t *rapid.T) {
		total := maxTokens * rapid.IntRange(1, 9).Draw(t, "turns")
		s := newSites(3)
		defer s.close()
		handed := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			m := rapid.SampledFrom(s.members).Draw(t, "instance")
			switch what := rapid.SampledFrom([]string{
				"turn", "turn", "turn", "turn", "turns", "down", "down", "up", "up", "read", "read", "read", "wait", "stop", "kill",
				"start", "start", "freeze", "cut", "give up", "late",
			}).Draw(t, "event"); what {
			case "turn":
				handed += m.turn(total, maxTokens)
			case "turns":
				for range 4 {
					handed += m.turn(total, maxTokens)
				}
			case "down", "up":
				s.setDown(what == "down")
			case "read":
				s.readHeavy(m)
			case "wait":
				time.Sleep(2 * siteRecordDelay)
				for _, m := range s.members {
					s.readHeavy(m)
				}
			case "stop":
				if m.running {
					s.stop(m)
				}
			case "kill":
				if m.running {
					s.kill(m)
				}
			case "start":
				if !m.running {
					s.start(m)
				}
			case "freeze":
				s.mu.Lock()
				m.frozen = !m.frozen
				s.mu.Unlock()
			case "cut":
				s.mu.Lock()
				m.cut.Store(!m.cut.Load())
				m.cutUntil = common.Uptime()
				s.mu.Unlock()
				s.register(m)
			case "give up":
				s.giveUp(m)
			default:
				m.late.Store(true)
			}
		}
		s.setDown(false)
		for _, m := range s.members {
			m.frozen = false
			m.cut.Store(false)
			if !m.running {
				s.start(m)
			}
			s.register(m)
		}
		time.Sleep(2 * siteRecordDelay)
		for _, m := range s.members {
			for range 2 * total / maxTokens {
				handed += m.turn(total, maxTokens)
			}
		}
		if handed > total+maxTokens {
			t.Fatalf("%d tokens handed out of %d", handed, total)
		}
	})
}
