package route

type (
	// team is a team's share of the service. Its virtual time is the upstream
	// time that it has used over its weight.
	team struct {
		name    string
		weight  float64
		virtual float64
		queued  int
		running int
	}

	// fairQueue hands out calls by the least virtual time of their team, and
	// within a team by their order key.
	fairQueue struct {
		teams map[*team]*teamQueue
		heap  *heap[*teamQueue]
		// upstream is where the queue's calls wait to go; nil means any.
		upstream *upstream
		size     int
	}

	// teamQueue is a team's calls in one fair queue.
	teamQueue struct {
		team *team
		// virtual is the team's virtual time when it was last placed.
		virtual float64
		index   int
		calls   *heap[*entry]
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
		team:    t,
		virtual: t.virtual,
		calls:   newHeap(entryLess, func(e *entry, i int) { e.index = i }),
	}
}

func teamQueueLess(a, b *teamQueue) bool {
	if a.virtual != b.virtual {
		return a.virtual < b.virtual
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

// peek returns the first call, or nil. Teams whose virtual time has risen
// since they were placed sink first.
func (q *fairQueue) peek() *entry {
	for q.heap.size() > 0 {
		tq := q.heap.items[0]
		if tq.virtual == tq.team.virtual {
			return tq.calls.items[0]
		}
		tq.virtual = tq.team.virtual
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

// last returns the team's call that would go last, or nil. It need not be
// exact: any leaf of the heap is later than its parents.
func (q *fairQueue) last(t *team) *entry {
	tq := q.teams[t]
	if tq == nil {
		return nil
	}
	return tq.calls.items[tq.calls.size()-1]
}

// charge moves the team's virtual time on; a refund lowers the next charge but
// not the virtual time, which only rises.
func (t *team) charge(seconds float64) {
	t.virtual += max(seconds, 0) / t.weight
}
