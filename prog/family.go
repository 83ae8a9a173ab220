package prog

import (
	"slices"
	"time"
)

const (
	// phaseLoading: nothing is known yet; requests are parked.
	phaseLoading phase = iota
	// phaseReady: the family is usable.
	phaseReady
	// phaseStale: another home wrote the row; requests are parked until the
	// family is loaded again.
	phaseStale
)

type (
	phase int

	// family is a root program with its sub-agents at one home.
	family struct {
		root   string
		team   string
		phase  phase
		ledger Ledger
		agents []*agent
		ended  bool
		// idle is set once the cache was released after a pause.
		idle bool
		// taken is set from the loading of the family to its first commit.
		freshlyLoaded bool
		// leaving is set once the shard was given up.
		unloading bool
		// trimming has the next commit give unused reservations back.
		returningReservations bool
		// version is the row's version as last known; zero if it is not in
		// the table.
		version  int64
		inflight *inflightCommit
		// doubtful are the latest flights that may yet take effect.
		uncertain []*inflightCommit
		// unsure is set while the row must be read before the next commit.
		mustReload bool
		loading    bool
		// refreshed is when the row was last read for a request that knows of
		// a later turn.
		refreshedAt time.Time
		// revision rises with each change of the row besides turns; saved is
		// the revision that is in the table.
		revision          int
		committedRevision int
		// need is what waiting calls lack below the mark.
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
		// coming are turns that relaying instances carry for an earlier home.
		relayed []Running
		engines []string
	}

	// running is the call that has the program's turn.
	runningCall struct {
		request  BeginRequest
		start    *Start
		reserved Usage
		// foreign is set if another home reserved for the call.
		reservedElsewhere bool
	}

	// entry is a call that waits for its turn.
	queuedCall struct {
		request BeginRequest
		// ticket is zero while the asker is between two requests.
		ticket    Ticket
		expiresAt time.Time
	}

	// waiter is a request that waits until its revision or, if that is zero,
	// its turn is committed.
	waiter struct {
		ticket         Ticket
		expiresAt      time.Time
		revision       int
		committedReply Reply
		timeoutReply   Reply
	}

	// parked is a request that waits for the family to be loaded.
	pendingRequest struct {
		ticket    Ticket
		expiresAt time.Time
		open      *OpenRequest
		begin     *BeginRequest
		end       *EndRequest
		close     *CloseRequest
		resume    *Running
	}

	// flight is a commit whose outcome is not known yet.
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

// headKept reports whether the latest turn is in the table.
func (a *agent) headCommitted() bool {
	return len(a.turns) == 0 || a.turns[len(a.turns)-1].uncommitted == nil
}

func (a *agent) nextTurn() int { return len(a.turns) + 1 }

// completed returns the number of the turn of a call id, or zero.
func (a *agent) completedTurn(callID string) int {
	for i, t := range slices.Backward(a.turns) {
		if t.callID == callID {
			return i + 1
		}
	}
	return 0
}

// historyTokens is how many tokens of a prompt the history makes: what the
// latest model turn's prompt and answer were.
func (a *agent) historyTokens() int64 {
	for _, t := range slices.Backward(a.turns) {
		if t.kind == KindModel {
			return t.usage.Tokens
		}
	}
	return 0
}

// demand returns the request with the tokens of the history in it, if it asks
// for that.
func (a *agent) withHistoryTokens(r *BeginRequest) *BeginRequest {
	if !r.WithHistory {
		return r
	}
	whole := *r
	whole.EstimatedTokens += a.historyTokens()
	if whole.MinimumTokens > 0 {
		whole.MinimumTokens += a.historyTokens()
	}
	return &whole
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

// cached notes that an engine holds the program's prefix.
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

// pending returns the turns that are not surely in the table.
func (f *family) uncommittedTurns() []*turn {
	var turns []*turn
	for _, a := range f.agents {
		turns = append(turns, a.uncommittedTurns()...)
	}
	return turns
}

// pendingTurns returns the agent's turns that are not surely in the table;
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

// unsaved reports whether the table may lack something of the family.
func (f *family) hasUncommitted() bool {
	return f.inflight != nil || f.mustReload || f.revision != f.committedRevision || f.hasUncommittedTurns()
}

func (f *family) hasUncommittedTurns() bool {
	return slices.ContainsFunc(f.agents, func(a *agent) bool { return !a.headCommitted() })
}

// change notes that the row differs from the table's.
func (f *family) markChanged() { f.revision++ }

// row returns the family's row with the mark that a commit asks for.
func (f *family) row(mark Usage, home string, now time.Time) *FamilyRow {
	row := &FamilyRow{
		Program:        f.root,
		Team:           f.team,
		Budget:         f.ledger.Budget,
		OpenedAtMillis: f.ledger.OpenedAt.UnixMilli(),
		ElapsedMillis:  f.ledger.TimeUsed(now).Milliseconds(),
		Spent:          f.ledger.Spent.Sub(f.ledger.Unreported),
		Reserved:       mark,
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
