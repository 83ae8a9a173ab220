package budget_test

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
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
	// maxSites bounds the instances of an order.
	maxSites = 9
)

var (
	shortTimes = siteTimes{
		recordDelay: siteRecordDelay, recordInterval: siteRecordInterval, storeTimeout: siteStoreTimeout,
		turn: siteTurnTimeout, roster: siteRecordDelay / 2,
	}
	// productionTimes are for simulated time. A transaction may last as long as
	// budget.RecordDelay; with a shorter delay, the home's reply to it is outdated when it
	// takes effect.
	productionTimes = siteTimes{
		recordDelay: budget.RecordDelay, recordInterval: budget.RecordInterval, storeTimeout: budget.StoreTimeout,
		turn: time.Second, roster: time.Second,
	}
)

type (
	// siteTimes are the durations of sites.
	siteTimes struct {
		recordDelay    time.Duration
		recordInterval time.Duration
		storeTimeout   time.Duration
		// turn is how long a turn or a planned stop lasts at most.
		turn time.Duration
		// roster is how late an instance that lags reads the list of instances; others
		// may use a former home for less than recordDelay.
		roster time.Duration
	}

	// sites are instances of which the first one present is the home of the program.
	sites struct {
		times     siteTimes
		mu        sync.Mutex
		begun     time.Time
		memory    *rows.Memory
		down      bool
		reachedAt time.Duration
		// changedAt is when the store's list last assigned the program anew.
		changedAt time.Duration
		members   []*member
		// losses are the lost processes.
		losses []string
		// lost are the rows of the lost processes.
		lost    map[string]budget.Standing
		started int
		named   int
		// repliesLost: messages to witnesses take effect, but their replies are lost. sent
		// are those that arrive once more later.
		repliesLost bool
		sent        []func()
		// registrations numbers the rows of the list.
		registrations int64
		// registered counts the processes that were listed.
		registered int
		opened     []*budget.Ledger
	}

	// member is one instance, whose process may be replaced.
	member struct {
		sites  *sites
		name   string
		ledger *budget.Ledger
		// running is set while a process runs, listed while the store lists it; row is
		// the holder name in the store's list, empty if there is none.
		running bool
		listed  bool
		leaving bool
		row     string
		// standing is what the row says of the process.
		standing budget.Standing
		// frozen: it answers nobody. cut: it doesn't reach the store. misled: it takes the
		// store for down meanwhile, as those that it asks do. late: the next transaction
		// takes effect after its caller has given it up.
		frozen      bool
		cut         atomic.Bool
		misled      atomic.Bool
		late        atomic.Bool
		cutUntil    time.Duration
		homeSince   time.Duration
		heavyReadAt time.Duration
		// home is the program's home in the list as this instance last read it, movedAt
		// when that last changed. lagging: it reads the list late. unregistered: the
		// process runs, but hasn't registered yet although it reaches the store.
		home         *member
		movedAt      time.Duration
		lagging      bool
		unregistered bool
		// listedAs orders the processes by when they were listed; handedOver has those that
		// have handed over to it, and up to when they recorded what they granted.
		listedAs   int
		handedOver map[string]time.Duration
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
		time.AfterFunc(s.member.sites.times.turn, func() {
			// Nobody hears of the outcome.
			_, _ = s.Store.Commit(context.Background(), txn)
		})
		return 0, rows.ErrUnknown
	}
	return s.Store.Commit(ctx, txn)
}

func newSites(n int, times siteTimes) *sites {
	s := &sites{times: times, memory: rows.NewMemory(), begun: time.Now(), lost: make(map[string]budget.Standing)}
	for range n {
		s.members = append(s.members, s.newMember())
	}
	for _, m := range s.members {
		s.start(m)
	}
	s.completeWitnesses()
	return s
}

func (s *sites) newMember() *member {
	s.named++
	return &member{sites: s, name: fmt.Sprint("m", s.named)}
}

// add starts a new instance, which is the home if it comes first.
func (s *sites) add(at int) {
	m := s.newMember()
	s.mu.Lock()
	before := s.readRosters()
	s.members = slices.Insert(slices.Clone(s.members), min(at, len(s.members)), m)
	s.moved(before)
	s.mu.Unlock()
	s.start(m)
}

// all returns the instances at the moment.
func (s *sites) all() []*member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members
}

// now returns the time since the start, which is simulated in a synctest bubble.
func (s *sites) now() time.Duration { return time.Since(s.begun) }

func (s *sites) close() {
	for _, l := range s.opened {
		l.Close()
	}
}

// start runs a new process of the instance, which registers if it reaches the store.
func (s *sites) start(m *member) {
	s.mu.Lock()
	s.started++
	holder := fmt.Sprintf("%s#%d", m.name, s.started)
	m.running, m.listed, m.frozen, m.leaving, m.lagging, m.heavyReadAt = true, false, false, false, false, 0
	m.cut.Store(false)
	m.misled.Store(false)
	m.handedOver = make(map[string]time.Duration)
	m.home = s.homeLocked()
	m.ledger = budget.NewLedger(hclog.NewNullLogger(), &memberStore{Store: s.memory, member: m}, m, holder, budget.Config{
		StoreDown: func() bool {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.down || m.cut.Load() && m.misled.Load()
		},
		StoreReached: func() time.Duration {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.down || m.cut.Load() {
				return 0
			}
			// A new process learns from its peers how long the store has been reachable.
			return s.now() - max(s.reachedAt, m.cutUntil)
		},
		HeavyReadAt: func() time.Duration {
			s.mu.Lock()
			defer s.mu.Unlock()
			return m.heavyReadAt
		},
		IdleTTL: time.Minute, RecordDelay: s.times.recordDelay, StoreTimeout: s.times.storeTimeout,
		RecordInterval: s.times.recordInterval, Now: s.now,
	})
	s.opened = append(s.opened, m.ledger)
	s.mu.Unlock()
	s.register(m)
}

// register lists the process in place of the row that an earlier one left, which is
// recorded as lost then, unless its witnesses know that it granted nothing.
func (s *sites) register(m *member) {
	s.readHeavy(m)
	s.mu.Lock()
	if s.down || m.cut.Load() || !m.running || m.listed || m.unregistered {
		s.mu.Unlock()
		return
	}
	earlier := m.standing
	s.mu.Unlock()
	unused := earlier.Process != "" && s.revokeAll(m, earlier)
	s.mu.Lock()
	before := s.readRosters()
	if m.row != "" && !unused {
		s.lose(m.standing)
	}
	s.registered++
	m.listed, m.row, m.homeSince, m.listedAs = true, m.ledger.Holder(), s.now(), s.registered
	m.standing = budget.Standing{}
	s.moved(before)
	s.mu.Unlock()
	s.rewrite(m)
}

// witnessesOf returns the witnesses of an instance, as the roster chooses them.
func (s *sites) witnessesOf(m *member) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for i := range s.members {
		other := s.members[(slices.Index(s.members, m)+i)%len(s.members)]
		if other != m && other.row != "" && !other.leaving && len(names) < 5 {
			names = append(names, other.name)
		}
	}
	return names
}

// rewrite writes the instance's row with new witnesses.
func (s *sites) rewrite(m *member) {
	names := s.witnessesOf(m)
	m.ledger.SuspendPermission()
	s.mu.Lock()
	s.registrations++
	m.standing = budget.Standing{Process: m.row, Epoch: s.registrations, Witnesses: names}
	epoch := s.registrations
	s.mu.Unlock()
	m.ledger.Registered(context.Background(), epoch, names)
}

// completeWitnesses gives the instances new witnesses whose own are not listed any more.
func (s *sites) completeWitnesses() {
	for _, m := range s.all() {
		s.mu.Lock()
		stays := !s.down && !m.cut.Load() && m.running && m.listed && !m.leaving
		names := m.standing.Witnesses
		s.mu.Unlock()
		if stays && !slices.Equal(slices.Sorted(slices.Values(names)), slices.Sorted(slices.Values(s.witnessesOf(m)))) {
			s.rewrite(m)
		}
	}
}

// revokeAll reports whether the witnesses of a process know, by the word of another
// instance, that it granted nothing.
func (s *sites) revokeAll(by *member, lost budget.Standing) bool {
	unused, _ := by.ledger.RevokeAll(context.Background(), lost)
	return unused
}

// lose records the loss of a process. The caller holds the lock.
func (s *sites) lose(lost budget.Standing) {
	s.losses = append(s.losses, lost.Process)
	s.lost[lost.Process] = lost
}

// moved records that the program may have another home. The caller holds the lock.
func (s *sites) moved(before *member) {
	if s.homeLocked() != before {
		s.changedAt = s.now()
	}
	s.readRosters()
}

// readRosters lets the instances read the list before it changes or can't be read. It
// returns the home. The caller holds the lock.
func (s *sites) readRosters() *member {
	for _, m := range s.members {
		s.readRoster(m)
	}
	return s.homeLocked()
}

// readRoster updates the home that the instance knows, unless it lags or doesn't reach
// the store. The caller holds the lock.
func (s *sites) readRoster(m *member) {
	readAt := max(s.changedAt, s.reachedAt, m.cutUntil)
	if m.lagging {
		readAt += s.times.roster
	}
	home := s.homeLocked()
	if s.down || m.cut.Load() || s.now() < readAt || home == m.home {
		return
	}
	m.home, m.movedAt = home, readAt
	if home == m {
		m.homeSince = readAt
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
	at := s.now()
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
	if m.lagging {
		at -= s.times.roster
	}
	m.heavyReadAt = max(m.heavyReadAt, at)
}

func (s *sites) setDown(down bool) {
	if down {
		s.memory.SetFault(rows.ErrNotDone, false)
	} else {
		s.memory.SetFault(nil, false)
	}
	s.mu.Lock()
	s.readRosters()
	s.down, s.reachedAt = down, s.now()
	s.mu.Unlock()
	if !down {
		for _, m := range s.all() {
			s.register(m)
		}
	}
}

// stop stops the process as planned. Its row stays if it couldn't record its grants, and so
// does the row of an earlier process.
func (s *sites) stop(m *member) {
	s.mu.Lock()
	before := s.readRosters()
	if !s.down && !m.cut.Load() {
		m.leaving = true
	}
	s.moved(before)
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), s.times.turn)
	m.ledger.Drain(ctx)
	cancel()
	s.mu.Lock()
	if m.ledger.Recorded() && !s.down && !m.cut.Load() && m.row == m.ledger.Holder() {
		m.row, m.standing = "", budget.Standing{}
	}
	s.mu.Unlock()
	s.kill(m)
}

// cut cuts the instance off the store, or ends that. A misled one takes the store for down.
func (s *sites) cut(m *member, misled bool) {
	s.mu.Lock()
	s.readRoster(m)
	m.cut.Store(!m.cut.Load())
	m.misled.Store(misled)
	m.cutUntil = s.now()
	s.mu.Unlock()
	s.register(m)
}

// killTwo kills the instance and the one after it.
func (s *sites) killTwo(m *member) {
	all := s.all()
	for _, m := range []*member{m, all[(slices.Index(all, m)+1)%len(all)]} {
		if m.running {
			s.kill(m)
		}
	}
}

func (s *sites) kill(m *member) {
	s.mu.Lock()
	m.running, m.listed = false, false
	s.mu.Unlock()
	m.ledger.Close()
}

// giveUp removes an instance that can't be reached from the list, and records its loss
// unless its witnesses know that it granted nothing.
func (s *sites) giveUp(m *member) {
	s.mu.Lock()
	if s.down || m.row == "" || (m.running && !m.frozen && !m.cut.Load()) {
		s.mu.Unlock()
		return
	}
	lost := m.standing
	by := slices.IndexFunc(s.members, func(o *member) bool { return o != m && o.running && !o.frozen && !o.cut.Load() })
	s.mu.Unlock()
	unused := by >= 0 && s.revokeAll(s.all()[by], lost)
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.readRosters()
	if !unused {
		s.lose(lost)
	}
	m.row, m.listed, m.standing = "", false, budget.Standing{}
	s.moved(before)
}

// answeringHome returns the home that the instance knows if its process answers.
func (m *member) answeringHome() (*member, error) {
	s := m.sites
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readRoster(m)
	if m.home == nil || !m.home.running || m.home.frozen {
		return nil, errGone
	}
	return m.home, nil
}

func (m *member) Release(_ context.Context, holder, program string) (int, error) {
	other, err := m.sites.find(holder)
	if err != nil {
		return 0, err
	}
	return other.ledger.Release(program)
}

func (m *member) RequestProvisional(_ context.Context, holder, program string, total, maxTokens int) (int, error) {
	home, err := m.answeringHome()
	if err != nil {
		return 0, err
	}
	return home.ledger.GrantProvisional(context.Background(), holder, program, total, maxTokens, common.Uptime()), nil
}

func (m *member) EndProvisionals(_ context.Context, program string) (budget.Ended, error) {
	home, err := m.answeringHome()
	if err != nil {
		return budget.Ended{}, err
	}
	return home.ledger.EndProvisionals(context.Background(), program)
}

// EarlierHomes asks the other listed instances, each until it has handed over once.
func (m *member) EarlierHomes(context.Context, string) (open []string, recordedAt time.Duration) {
	s := m.sites
	for _, other := range s.all() {
		s.mu.Lock()
		s.readRoster(other)
		row, draining := other.row, other.leaving && other.running
		key := fmt.Sprint(row, other.leaving, m.listedAs)
		at, done := m.handedOver[key]
		asked := other != m && row != "" && (other.leaving || other.listedAs < m.listedAs)
		answers := other.running && !other.frozen && other.ledger.Holder() == row && (draining || other.home == m)
		s.mu.Unlock()
		if !asked {
			continue
		}
		if !done && answers {
			var age time.Duration
			age, done = other.ledger.RecordedFor(func(string) bool { return true })
			at = s.now() - age
		}
		if !done {
			open = append(open, row)
			continue
		}
		m.handedOver[key] = at
		recordedAt = max(recordedAt, at)
	}
	return open, recordedAt
}

// PossibleHomes returns the first processes of the list.
func (m *member) PossibleHomes(string) []string {
	s := m.sites
	s.mu.Lock()
	defer s.mu.Unlock()
	var processes []string
	for _, other := range s.members {
		if other.row != "" && (len(processes) < 3 || other == m.home) {
			processes = append(processes, other.row)
		}
	}
	return processes
}

// find returns the instance that runs the process, if it answers.
func (s *sites) find(process string) (*member, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.members {
		if m.running && !m.frozen && m.ledger.Holder() == process {
			return m, nil
		}
	}
	return nil, errGone
}

func (m *member) EndAt(_ context.Context, process, program string) (map[string]int, error) {
	other, err := m.sites.find(process)
	if err != nil {
		return nil, err
	}
	return other.ledger.EndAt(program), nil
}

func (m *member) Answers(_ context.Context, process string) bool {
	_, err := m.sites.find(process)
	return err == nil
}

func (m *member) Standing(_ context.Context, process string) (budget.Standing, error) {
	s := m.sites
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, other := range s.members {
		if other.row == process {
			if s.down || m.cut.Load() {
				return budget.Standing{}, rows.ErrNotDone
			}
			return other.standing, nil
		}
	}
	if lost, ok := s.lost[process]; ok {
		return lost, nil
	}
	return budget.Standing{}, errGone
}

func (m *member) ProcessOf(instance string) string {
	s := m.sites
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, other := range s.members {
		if other.name == instance {
			return other.row
		}
	}
	return ""
}

// witness returns the ledger of an instance that answers.
func (m *member) witness(instance string) (*budget.Ledger, error) {
	s := m.sites
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, other := range s.members {
		if other.name == instance && other.running && !other.frozen {
			return other.ledger, nil
		}
	}
	return nil, errGone
}

func (m *member) Engage(_ context.Context, instance string, q *budget.EngageRequest) (*budget.EngageReply, error) {
	return callWitness(m, instance, func(l *budget.Ledger) *budget.EngageReply { return l.Engage(q) })
}

func (m *member) Permit(_ context.Context, instance string, q *budget.PermitRequest) (*budget.PermitReply, error) {
	return callWitness(m, instance, func(l *budget.Ledger) *budget.PermitReply { return l.Permit(q) })
}

func (m *member) Revoke(_ context.Context, instance string, q *budget.RevokeRequest) (*budget.RevokeReply, error) {
	return callWitness(m, instance, func(l *budget.Ledger) *budget.RevokeReply { return l.Revoke(q) })
}

func callWitness[R any](m *member, instance string, deliver func(l *budget.Ledger) *R) (*R, error) {
	l, err := m.witness(instance)
	if err != nil {
		return nil, err
	}
	reply := deliver(l)
	s := m.sites
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, func() { deliver(l) })
	if s.repliesLost {
		return nil, errGone
	}
	return reply, nil
}

// deliverAgain delivers a message to a witness once more.
func (s *sites) deliverAgain(i int) {
	s.mu.Lock()
	if len(s.sent) == 0 {
		s.mu.Unlock()
		return
	}
	deliver := s.sent[i%len(s.sent)]
	s.mu.Unlock()
	deliver()
}

func (m *member) HomeSince(string) (time.Duration, bool) {
	m.sites.mu.Lock()
	defer m.sites.mu.Unlock()
	m.sites.readRoster(m)
	return m.homeSince, m.listed && m.home == m
}

func (m *member) WasHome(_ string, within time.Duration) bool {
	m.sites.mu.Lock()
	defer m.sites.mu.Unlock()
	m.sites.readRoster(m)
	return m.listed && (m.home == m || m.sites.now()-m.movedAt < within)
}

func (m *member) Losses(string) []string {
	m.sites.mu.Lock()
	defer m.sites.mu.Unlock()
	return slices.Clone(m.sites.losses)
}

// turn takes one turn of maximum size and returns the tokens that it handed out.
func (m *member) turn(total, maxTokens int) int {
	if !m.running || m.frozen {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), m.sites.times.turn)
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
				s := newSites(3, shortTimes)
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
	s := newSites(2, shortTimes)
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
	s := newSites(3, shortTimes)
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
		s := newSites(rapid.IntRange(3, 6).Draw(t, "instances"), shortTimes)
		defer s.close()
		handed := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			m := rapid.SampledFrom(s.members).Draw(t, "instance")
			switch what := rapid.SampledFrom([]string{
				"turn", "turn", "turn", "turn", "turns", "down", "down", "up", "up", "read", "read", "read", "wait", "stop", "kill",
				"start", "start", "freeze", "cut", "give up", "late", "kill two", "mislead", "add", "new witnesses", "lose replies",
				"deliver again",
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
				s.cut(m, false)
			case "mislead":
				s.cut(m, true)
			case "give up":
				s.giveUp(m)
			case "kill two":
				s.killTwo(m)
			case "add":
				if len(s.all()) < maxSites {
					s.add(rapid.IntRange(0, len(s.all())).Draw(t, "at"))
				}
			case "new witnesses":
				s.completeWitnesses()
			case "lose replies":
				s.mu.Lock()
				s.repliesLost = !s.repliesLost
				s.mu.Unlock()
			case "deliver again":
				s.deliverAgain(rapid.IntRange(0, 1000).Draw(t, "message"))
			default:
				m.late.Store(true)
			}
		}
		s.setDown(false)
		s.repliesLost = false
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

// order is a sequence of events and the budget that it is played with.
type order struct {
	total int
	// instances is 3 if it is 0.
	instances int
	steps     []step
}

// step is one event. Instances are given by their index; listedHome is the home that the
// store's list assigns the program to at that time, laggingInstance the first that lags.
type step struct {
	event    string
	instance int
	turns    int
}

// lostTime is how long an instance doesn't answer before it is given up.
const lostTime = 8 * time.Second

const (
	listedHome      = -1
	laggingInstance = -2
)

// play returns the tokens that the order hands out at three instances.
func (o order) play(maxTokens int) int {
	s := newSites(cmp.Or(o.instances, 3), productionTimes)
	defer s.close()
	handed := 0
	turns := func(m *member, n int) {
		for range n {
			handed += m.turn(o.total, maxTokens)
		}
	}
	for _, p := range o.steps {
		s.play(p, turns)
	}
	s.setDown(false)
	s.repliesLost = false
	for _, m := range s.members {
		m.frozen, m.unregistered = false, false
		m.cut.Store(false)
		if !m.running {
			s.start(m)
		}
		s.register(m)
	}
	time.Sleep(3 * s.times.recordDelay)
	for _, m := range s.members {
		turns(m, 2*o.total/maxTokens)
	}
	return handed
}

// instance returns the instance of a step, or nil if there is none.
func (s *sites) instance(i int) *member {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch i {
	case listedHome:
		return s.homeLocked()
	case laggingInstance:
		if i := slices.IndexFunc(s.members, func(m *member) bool { return m.lagging }); i >= 0 {
			return s.members[i]
		}
		return nil
	default:
		return s.members[i%len(s.members)]
	}
}

func (s *sites) play(p step, turns func(m *member, n int)) {
	m := s.instance(p.instance)
	if m == nil {
		return
	}
	switch p.event {
	case "turns":
		turns(m, p.turns)
	case "down", "up":
		s.setDown(p.event == "down")
	case "read":
		s.readHeavy(m)
	case "wait":
		time.Sleep(3 * s.times.recordDelay)
		for _, m := range s.members {
			s.readHeavy(m)
		}
	case "pause":
		time.Sleep(s.times.recordDelay / 4)
	case "stop", "stop if listed":
		if m.running && (m.listed || p.event == "stop") {
			s.stop(m)
		}
	case "kill":
		if m.running {
			s.kill(m)
		}
	case "start", "start unregistered":
		for _, m := range s.members {
			if !m.running {
				m.unregistered = p.event == "start unregistered"
				s.start(m)
			}
		}
	case "register":
		for _, m := range s.members {
			m.unregistered = false
			s.register(m)
		}
	case "lag":
		s.mu.Lock()
		s.readRoster(m)
		m.lagging = true
		s.mu.Unlock()
	case "freeze":
		s.mu.Lock()
		m.frozen = !m.frozen
		s.mu.Unlock()
	case "cut", "mislead":
		s.cut(m, p.event == "mislead")
	case "give up":
		s.giveUp(m)
	case "give up lost":
		time.Sleep(lostTime)
		for _, m := range s.all() {
			if !m.running {
				s.giveUp(m)
			}
		}
		s.completeWitnesses()
	case "kill two":
		s.killTwo(m)
	case "add":
		if len(s.all()) < maxSites {
			s.add(p.turns)
		}
	case "new witnesses":
		s.completeWitnesses()
	case "lose replies":
		s.mu.Lock()
		s.repliesLost = !s.repliesLost
		s.mu.Unlock()
	case "deliver again":
		s.deliverAgain(p.turns)
	case "late":
		m.late.Store(true)
	}
}

// drawOrder draws an order of episodes with one outage each, in which what was granted is
// known to one instance only, with other events between their steps.
func drawOrder(t *rapid.T, maxTokens, episodes int, others []string) order {
	// A budget of one or two turns leaves no room for grants, and IntRange prefers small
	// numbers.
	count := rapid.SampledFrom([]int{1, 2, 3, 4, 6, 8, 9, 12}).Draw(t, "turns")
	o := order{total: count * maxTokens, instances: rapid.SampledFrom([]int{3, 3, 4, 6, 8}).Draw(t, "instances"), steps: []step{{event: "wait"}}}
	instance := rapid.IntRange(0, o.instances-1)
	add := func(steps ...step) {
		for _, p := range steps {
			o.steps = append(o.steps, p)
			if rapid.IntRange(0, 9).Draw(t, "noise") == 9 {
				event := rapid.SampledFrom(others).Draw(t, "event")
				o.steps = append(o.steps, step{event: event, instance: instance.Draw(t, "instance"), turns: rapid.IntRange(1, 4).Draw(t, "number")})
			}
		}
	}
	turnsAt := func(instance int) step {
		counts := []int{count, count, (count + 1) / 2, min(count, 2), 1}
		return step{event: "turns", instance: instance, turns: rapid.SampledFrom(counts).Draw(t, "count")}
	}
	turns := func() step { return turnsAt(instance.Draw(t, "instance")) }
	home := func(event string) step { return step{event: event, instance: listedHome} }
	all := func(event string) step { return step{event: event} }
	lose := func() step {
		return home(rapid.SampledFrom([]string{"kill", "kill two", "freeze", "cut"}).Draw(t, "loss"))
	}
	givenUp := func() step {
		return rapid.SampledFrom([]step{
			{event: "give up lost"}, {event: "give up", instance: listedHome}, {event: "start"}, {event: "add"}, {event: "pause"},
		}).Draw(t, "then")
	}
	for range rapid.IntRange(1, episodes).Draw(t, "episodes") {
		switch rapid.SampledFrom([]string{
			"home moves when the program is heavy", "home joins before an outage", "home is killed in an outage",
			"home registers late after an outage", "homes are lost before an outage", "homes are lost in an outage",
			"homes are lost after an outage", "home is misled",
		}).Draw(t, "episode") {
		case "home moves when the program is heavy":
			// A home that has an allocation of the program grants nothing, so the one that
			// stops is the more likely to have it.
			add(turnsAt(rapid.SampledFrom([]int{listedHome, listedHome, 0, 1, 2}).Draw(t, "instance")), home("stop"), all("down"), turns(), turns(), all("up"), turns(), all("start"), all("wait"))
		case "home joins before an outage":
			// The former home grants in the outage, and the next one knows nothing of it.
			add(home("stop"), all("wait"), home("lag"), all("start"), all("down"), turnsAt(laggingInstance), turns(), all("up"),
				turns(), turns(), all("wait"))
		case "home is killed in an outage":
			add(all("down"), turns(), turns())
			if rapid.Bool().Draw(t, "as the store returns") {
				add(all("up"), home("kill"))
			} else {
				add(home("kill"), all("up"))
			}
			add(turns(), all("start"), turns(), all("wait"), turns())
		case "home registers late after an outage":
			add(all("down"), turns(), turns(), home("kill"), all("up"), all("wait"), all("start unregistered"), turns(), turns(),
				all("register"), all("wait"))
		case "homes are lost before an outage":
			add(turns(), lose(), turns(), all("down"), turns(), turns(), all("up"), turns(), givenUp(), turns(), all("wait"))
		case "homes are lost in an outage":
			add(all("down"), turns(), turns(), lose(), turns(), all("up"), turns(), givenUp(), turns(), all("down"), turns(), all("up"))
		case "homes are lost after an outage":
			add(all("down"), turns(), turns(), all("up"), turns(), lose(), turns(), givenUp(), turns(), all("down"), turns(), all("up"))
		case "home is misled":
			// The store serves the others meanwhile. Half of the instances are misled too.
			add(turns())
			for i := range o.instances {
				if i == 0 || rapid.Bool().Draw(t, "misled too") {
					add(step{event: "mislead", instance: i})
				}
			}
			add(turns(), turnsAt(0), turnsAt(0), home(rapid.SampledFrom([]string{"kill", "freeze", "pause"}).Draw(t, "end")), turns(), givenUp(),
				turns(), all("start"), turns(), turns())
		}
	}
	return o
}

// checkOrders plays random orders of up to the given number of episodes. Time is
// simulated, so that the load of the machine doesn't change an order.
func checkOrders(t *testing.T, episodes int, others []string) {
	t.Helper()
	const maxTokens = 100
	rapid.Check(t, func(r *rapid.T) {
		o := drawOrder(r, maxTokens, episodes, others)
		handed := 0
		synctest.Test(t, func(*testing.T) { handed = o.play(maxTokens) })
		if handed > o.total+maxTokens {
			r.Fatalf("%d tokens handed out of %d in %v", handed, o.total, o.steps)
		}
	})
}

// Homes that are lost, join, move and register late around an outage, of programs that have
// spent much, must never hand out more than the budget and one turn. Guards against a new
// home that grants before it has read the heavy programs, a home that vouches just after an
// outage, a process that vouches before it is listed, and losses that rows don't count.
func TestBudgetHoldsAroundOneOutage(t *testing.T) {
	checkOrders(t, 1, []string{
		"turns", "read", "pause", "wait", "stop if listed", "kill", "start", "register", "lag", "freeze", "give up", "late",
		"kill two", "cut", "mislead", "add", "give up lost", "new witnesses", "lose replies", "deliver again",
	})
}

// The same with several outages in one order. Guards against grants of several homes, each
// within the room that rows keep for one.
func TestBudgetHoldsOverSeveralOutages(t *testing.T) {
	checkOrders(t, 3, []string{
		"turns", "read", "pause", "wait", "stop", "kill", "start", "register", "lag", "freeze", "give up", "late", "up", "down",
		"kill two", "cut", "mislead", "add", "give up lost", "new witnesses", "lose replies", "deliver again",
	})
}

// A program spends its budget within the record delay after an outage in which its home
// granted, and gets another home before the next outage. Guards against a second home that
// grants because nothing lists the program as heavy.
func TestSecondHomeGrantsNothingOfASpentBudget(t *testing.T) {
	const maxTokens = 100
	o := order{total: 2 * maxTokens, steps: []step{
		{event: "stop", instance: 0},
		{event: "wait"},
		{event: "down"},
		{event: "turns", instance: 1, turns: 1},
		{event: "up"},
		{event: "turns", instance: 2, turns: 2},
		{event: "wait"},
		{event: "start"},
		{event: "wait"},
		{event: "down"},
		{event: "turns", instance: 0, turns: 1},
	}}
	handed := 0
	synctest.Test(t, func(*testing.T) { handed = o.play(maxTokens) })
	assert.Assert(t, handed <= o.total+maxTokens, "%d of %d", handed, o.total)
}

// Guards against grants that one process has not recorded when another one grants, ends
// provisional allocations, or counts no loss for it.
func TestGrantsOfTwoHomesAreNotBothMissing(t *testing.T) {
	const maxTokens = 100
	home := func(event string) step { return step{event: event, instance: listedHome} }
	all := func(event string) step { return step{event: event} }
	turns := func(instance, n int) step { return step{event: "turns", instance: instance, turns: n} }
	tests := []struct {
		name  string
		total int
		steps []step
	}{
		{"former home is stopped in the outage and still listed", 300, []step{
			all("wait"), home("stop"), all("wait"), home("lag"), all("start"), all("down"), turns(laggingInstance, 3),
			{event: "stop", instance: 1},
			turns(0, 3), all("up"), turns(0, 3), turns(0, 3), all("wait"), turns(listedHome, 3),
			home("stop"), all("down"), turns(0, 3), all("up"), turns(0, 3), all("start"), all("wait"),
		}},
		{"former home is killed and its next process stops unregistered", 200, []step{
			all("wait"), all("down"), turns(0, 2), home("kill"), all("up"), all("wait"), all("start unregistered"),
			{event: "stop", instance: 0},
			turns(0, 2), all("register"), all("wait"), turns(listedHome, 2), home("stop"),
			all("down"), turns(0, 2), all("up"), turns(0, 2), all("start"), all("wait"),
		}},
		{"former home grants in the first outage, the next one in the second", 1200, []step{
			all("wait"), home("stop"), all("wait"), home("lag"), all("start"), all("down"), turns(laggingInstance, 12),
			turns(1, 6), all("up"), all("down"), turns(0, 12), turns(0, 12), all("wait"), turns(listedHome, 12), home("stop"),
			turns(1, 2), turns(2, 12), all("up"), turns(2, 12), all("start"), all("wait"),
		}},
		{"first allocation was on its way while the home granted", 1200, []step{
			all("wait"), all("down"), turns(0, 2), turns(0, 1), all("up"), turns(0, 1), home("kill"), turns(1, 12), all("start"),
			turns(2, 12), all("wait"), turns(2, 12),
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			handed := 0
			synctest.Test(t, func(*testing.T) { handed = order{total: tt.total, steps: tt.steps}.play(maxTokens) })
			assert.Assert(t, handed <= tt.total+maxTokens, "%d of %d", handed, tt.total)
		})
	}
}

// A home grants in an outage and is killed, and the next process of its instance is stopped
// as planned before it registers. Guards against a removal of the former process' row that
// records no loss.
func TestStopBeforeRegistrationForgetsNoGrants(t *testing.T) {
	const maxTokens = 100
	o := order{total: 2 * maxTokens, steps: []step{
		{event: "wait"},
		{event: "down"},
		{event: "turns", instance: 0, turns: 1},
		{event: "kill", instance: 0},
		{event: "up"},
		{event: "wait"},
		{event: "start unregistered"},
		{event: "turns", instance: 0, turns: 2},
		{event: "stop", instance: 0},
		{event: "wait"},
	}}
	handed := 0
	synctest.Test(t, func(*testing.T) { handed = o.play(maxTokens) })
	assert.Assert(t, handed <= o.total+maxTokens, "%d of %d", handed, o.total)
}

// A home grants in an outage and ends, another one joins and is given up, and only then the
// former one is. Guards against a loss that isn't counted because one of another time was
// noticed before, of a process that granted nothing.
func TestLossThatIsNoticedSecondCounts(t *testing.T) {
	const total, maxTokens = 200, 100
	synctest.Test(t, func(t *testing.T) {
		s := newSites(3, productionTimes)
		defer s.close()
		joins, home, last := s.members[0], s.members[1], s.members[2]
		s.stop(joins)
		time.Sleep(3 * s.times.recordDelay)
		for _, m := range s.members {
			s.readHeavy(m)
		}
		s.setDown(true)
		handed := home.turn(total, maxTokens)
		assert.Equal(t, handed, maxTokens)
		s.kill(home)
		s.setDown(false)
		s.start(joins)
		handed += joins.turn(total, maxTokens) + joins.turn(total, maxTokens)
		s.kill(joins)
		s.giveUp(joins)
		time.Sleep(3 * s.times.recordDelay)
		s.giveUp(home)
		for range 4 {
			time.Sleep(s.times.recordDelay)
			handed += last.turn(total, maxTokens)
		}
		assert.Assert(t, handed <= total+maxTokens, "%d of %d", handed, total)
	})
}

// A home joins before an outage, in which the former one grants; others fill the row while the
// new one is cut off the store, and the former one records its grants. Guards against a new
// home that grants in the next outage what the row has no room for any more: it has not read
// the heavy programs since the handover.
func TestHomeReadsHeavyProgramsAfterTheHandover(t *testing.T) {
	const total, maxTokens = 600, 100
	synctest.Test(t, func(t *testing.T) {
		s := newSites(3, productionTimes)
		defer s.close()
		joins, former, last := s.members[0], s.members[1], s.members[2]
		rest := func() {
			time.Sleep(3 * s.times.recordDelay)
			for _, m := range s.members {
				s.readHeavy(m)
			}
		}
		rest()
		s.stop(joins)
		rest()
		s.mu.Lock()
		s.readRoster(former)
		former.lagging = true
		s.mu.Unlock()
		s.start(joins)
		s.setDown(true)
		handed := former.turn(total, maxTokens) + former.turn(total, maxTokens)
		assert.Equal(t, handed, 2*maxTokens)
		time.Sleep(5 * s.times.recordDelay)
		s.setDown(false)
		for range 6 {
			handed += last.turn(total, maxTokens)
		}
		s.mu.Lock()
		s.readRoster(joins)
		joins.cut.Store(true)
		s.mu.Unlock()
		rest()
		s.setDown(true)
		for range 6 {
			handed += joins.turn(total, maxTokens)
		}
		assert.Assert(t, handed <= total+maxTokens, "%d of %d", handed, total)
	})
}
