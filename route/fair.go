package route

type (
	// team is a team's share of the service. Its virtual time is the upstream
	// time that it has used, divided by its weight.
	team struct {
		name        string
		weight      float64
		virtualTime float64
		queued      int
		running     int
	}

	// fairQueue orders calls by the virtual time of their team, lowest first, and
	// within a team by their order key.
	fairQueue struct {
		teams map[*team]*teamQueue
		heap  *heap[*teamQueue]
		// upstream is the one that the calls wait for; nil means any.
		upstream *upstream
		size     int
	}

	// teamQueue holds a team's calls in one fair queue.
	teamQueue struct {
		team *team
		// virtualTime is the team's virtual time when the heap last placed it.
		virtualTime float64
		index       int
		calls       *heap[*entry]
	}
)

func newFairQueue(u *upstream) *fairQueue {
	return &fairQueue{
		teams:    make(map[*team]*teamQueue),
		heap:     newHeap(teamQueueLess, func(q *teamQueue, i int) { q.index = i }),
		upstream: u,
	}
}

func newTeamQueue(t *team) *teamQueue {
	return &teamQueue{
		team:        t,
		virtualTime: t.virtualTime,
		calls:       newHeap(entryLess, func(e *entry, i int) { e.index = i }),
	}
}

func teamQueueLess(a, b *teamQueue) bool {
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.team.name < b.team.name
}

func entryLess(a, b *entry) bool {
	if !a.key.Equal(b.key) {
		return a.key.Before(b.key)
	}
	return a.ID < b.ID
}

func (q *fairQueue) push(e *entry) {
	tq := q.teams[e.team]
	if tq == nil {
		tq = newTeamQueue(e.team)
		q.teams[e.team] = tq
		q.heap.push(tq)
	}
	tq.calls.push(e)
	e.queue = q
	q.size++
}

// peek returns the first call, or nil. It first moves down the teams whose
// virtual time has risen since they were placed.
func (q *fairQueue) peek() *entry {
	for q.heap.size() > 0 {
		tq := q.heap.items[0]
		if tq.virtualTime == tq.team.virtualTime {
			return tq.calls.items[0]
		}
		tq.virtualTime = tq.team.virtualTime
		q.heap.fix(0)
	}
	return nil
}

func (q *fairQueue) remove(e *entry) {
	tq := q.teams[e.team]
	tq.calls.remove(e.index)
	e.queue = nil
	q.size--
	if tq.calls.size() == 0 {
		q.heap.remove(tq.index)
		delete(q.teams, e.team)
	}
}

// last returns a call of the team that is late in its order, or nil. It need
// not be the last: any leaf of the heap is later than its parents.
func (q *fairQueue) last(t *team) *entry {
	tq := q.teams[t]
	if tq == nil {
		return nil
	}
	return tq.calls.items[tq.calls.size()-1]
}

// charge advances the team's virtual time. It never decreases: a call that took
// less time than charged gets no refund.
func (t *team) charge(seconds float64) {
	t.virtualTime += max(seconds, 0) / t.weight
}
