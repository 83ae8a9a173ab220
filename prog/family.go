package prog

import (
	"slices"
	"time"
)

const (
	// phaseLoading: the first load is in progress; requests are pending.
	phaseLoading phase = iota
	// phaseReady: the family is loaded.
	phaseReady
	// phaseStale: another home wrote the row; requests are pending until the
	// family is reloaded.
	phaseStale
)

type (
	phase int

	// family is a home's state of a root program and its sub-agents.
	family struct {
		root   string
		team   string
		phase  phase
		ledger Ledger
		agents []*agent
		ended  bool
		// idle is set once the cache was released after IdleTimeout.
		idle bool
		// freshlyLoaded is set from the load of the family to its first
		// commit.
		freshlyLoaded bool
		// unloading is set once this home has given up the shard.
		unloading bool
		// returningReservations makes the next commit return unused
		// reservations.
		returningReservations bool
		// version is the last known version of the row; zero if there is no
		// row.
		version  int64
		inflight *inflightCommit
		// uncertain are the latest commits that may still take effect.
		uncertain []*inflightCommit
		// mustReload is set while the row must be read before the next commit.
		mustReload bool
		loading    bool
		// refreshedAt is the time of the last reload for a request that
		// referred to a later turn.
		refreshedAt time.Time
		// revision counts the changes of the row other than turns;
		// committedRevision is the revision in the table.
		revision          int
		committedRevision int
		// shortfall is the reservation of a queued call that exceeds the
		// committed limit.
		shortfall       Usage
		retryAt         time.Time
		pendingRequests []pendingRequest
		waiters         []waiter
		lastActive      time.Time
		wakeAt          time.Time
	}

	// agent is one program of a family.
	agent struct {
		program     string
		key         string
		ended       bool
		turns       []*turn
		firstDigest string
		running     *runningCall
		queue       []*queuedCall
		// relayed are turns that relay instances run or still report for an
		// earlier home.
		relayed []RelayedTurn
		engines []string
	}

	// runningCall is the call that has the program's turn.
	runningCall struct {
		request  BeginRequest
		start    *Start
		reserved Usage
		// reservedElsewhere is set if another home reserved for the call.
		reservedElsewhere bool
	}

	// queuedCall is a call that waits for its turn.
	queuedCall struct {
		request BeginRequest
		// ticket is zero while the caller is between two requests.
		ticket    Ticket
		expiresAt time.Time
	}

	// waiter is a request that waits for the commit of its revision or, if
	// revision is zero, of its turn.
	waiter struct {
		ticket         Ticket
		expiresAt      time.Time
		revision       int
		committedReply Reply
		timeoutReply   Reply
	}

	// pendingRequest is a request that waits for the family to be loaded.
	pendingRequest struct {
		ticket    Ticket
		expiresAt time.Time
		open      *OpenRequest
		begin     *BeginRequest
		end       *EndRequest
		close     *CloseRequest
		resume    *RelayedTurn
	}

	// inflightCommit is a commit without an outcome so far.
	inflightCommit struct {
		requestID string
		limit     Usage
		turns     []*turn
		revision  int
	}
)

func newAgent(program, team, key string) *agent {
	return &agent{program: program, key: key, firstDigest: FirstDigest(program, team, key)}
}

func (a *agent) head() string {
	if len(a.turns) == 0 {
		return a.firstDigest
	}
	return a.turns[len(a.turns)-1].digest
}

// headCommitted reports whether the latest turn is in the table.
func (a *agent) headCommitted() bool {
	return len(a.turns) == 0 || a.turns[len(a.turns)-1].uncommitted == nil
}

func (a *agent) nextTurn() int { return len(a.turns) + 1 }

// completedTurn returns the number of the turn with the call id, or zero.
func (a *agent) completedTurn(callID string) int {
	for i, t := range slices.Backward(a.turns) {
		if t.callID == callID {
			return i + 1
		}
	}
	return 0
}

// historyTokens is the number of prompt tokens that the history takes: prompt
// and answer of the latest model turn.
func (a *agent) historyTokens() int64 {
	for _, t := range slices.Backward(a.turns) {
		if t.kind == KindModel {
			return t.usage.Tokens
		}
	}
	return 0
}

// withHistoryTokens returns the request with the history's tokens added, if it
// asks for that.
func (a *agent) withHistoryTokens(r *BeginRequest) *BeginRequest {
	if !r.WithHistory {
		return r
	}
	total := *r
	total.EstimatedTokens += a.historyTokens()
	if total.MinimumTokens > 0 {
		total.MinimumTokens += a.historyTokens()
	}
	return &total
}

func (a *agent) history() []Message {
	count := 0
	for _, t := range a.turns {
		if t.kind == KindModel {
			count += len(t.messages) + 1
		}
	}
	messages := make([]Message, 0, count)
	for _, t := range a.turns {
		if t.kind == KindModel {
			messages = append(append(messages, t.messages...), t.answer)
		}
	}
	return messages
}

// markCached records that an engine holds the program's prefix.
func (a *agent) markCached(engine string) {
	if engine == "" {
		return
	}
	a.engines = slices.DeleteFunc(a.engines, func(s string) bool { return s == engine })
	a.engines = append(a.engines, engine)
}

func (f *family) agent(program string) *agent {
	for _, a := range f.agents {
		if a.program == program {
			return a
		}
	}
	return nil
}

// uncommittedTurns returns the turns that may be missing in the table.
func (f *family) uncommittedTurns() []*turn {
	var turns []*turn
	for _, a := range f.agents {
		turns = append(turns, a.uncommittedTurns()...)
	}
	return turns
}

// uncommittedTurns returns the agent's turns that may be missing in the table;
// they are always its last ones.
func (a *agent) uncommittedTurns() []*turn {
	i := len(a.turns)
	for i > 0 && a.turns[i-1].uncommitted != nil {
		i--
	}
	return a.turns[i:]
}

func (f *family) busy() bool {
	for _, a := range f.agents {
		if a.running != nil || len(a.queue) > 0 {
			return true
		}
	}
	return len(f.pendingRequests) > 0
}

// hasUncommitted reports whether the table may lack any of the family's state.
func (f *family) hasUncommitted() bool {
	return f.inflight != nil || f.mustReload || f.revision != f.committedRevision || f.hasUncommittedTurns()
}

func (f *family) hasUncommittedTurns() bool {
	return slices.ContainsFunc(f.agents, func(a *agent) bool { return !a.headCommitted() })
}

// markChanged records that the row differs from the table's.
func (f *family) markChanged() { f.revision++ }

// row returns the family's row with the given spending limit.
func (f *family) row(limit Usage, home string, now time.Time) *FamilyRow {
	row := &FamilyRow{
		Program:        f.root,
		Team:           f.team,
		Budget:         f.ledger.Budget,
		OpenedAtMillis: f.ledger.OpenedAt.UnixMilli(),
		ElapsedMillis:  f.ledger.TimeUsed(now).Milliseconds(),
		Spent:          f.ledger.Spent.Sub(f.ledger.Unreported),
		Reserved:       limit,
		Ended:          f.ended,
		Home:           home,
		Agents:         make([]AgentRow, 0, len(f.agents)),
	}
	for _, a := range f.agents {
		row.Agents = append(row.Agents, AgentRow{
			Program: a.program,
			Key:     a.key,
			Turns:   len(a.turns),
			Head:    a.head(),
			Ended:   a.ended,
		})
	}
	return row
}
