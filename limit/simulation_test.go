package limit_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/buckthorntide/buckthorntide/fleet"
	"github.com/buckthorntide/buckthorntide/limit"
	"github.com/buckthorntide/buckthorntide/store"
)

const (
	fleetTickInterval  = 100 * time.Millisecond
	bucketTickInterval = 20 * time.Millisecond
	listInterval       = time.Second
	takeTimeout        = 300 * time.Millisecond
	listDelay          = 2 * time.Second
)

type (
	event struct {
		at  time.Duration
		seq int
		do  func()
	}
	eventQueue []event

	// faults are the probabilities of faults of a message or a commit.
	faults struct {
		loss, duplicate, delay float64
		lostReply, lateCommit  float64
	}

	// simulation runs instances in one thread on true time. Each instance has its
	// own drifting clock.
	simulation struct {
		now     time.Duration
		seq     int
		events  eventQueue
		rng     *rand.Rand
		faults  faults
		nodes   []*node
		rows    map[string]store.Row
		writes  int64
		down    bool
		blocked map[[2]int]bool
		errs    []string
		slotTTL time.Duration
		grants  map[string][]time.Duration
	}

	// node is one instance; its process changes when it restarts.
	node struct {
		w            *simulation
		index        int
		instance     store.Instance
		drift        float64
		skew         time.Duration
		alive        bool
		pausedUntil  time.Duration
		process      int
		fleet        *fleet.Fleet
		buckets      *limit.Buckets
		pendingTakes map[uint64]*pendingTake
		servedTakes  map[uint64]*servedTake
		leaving      bool
	}

	// servedTake is a request at its home.
	servedTake struct {
		from    *node
		team    string
		granted bool
	}

	// pendingTake is a caller's request at the instance that received it.
	pendingTake struct {
		limit.TakeRequest
		node       *node
		receivedAt time.Duration
		deadline   time.Duration
		resendAt   time.Duration
		home       *node
		done       func(granted bool, waited time.Duration)
	}
)

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(seed uint64, count int, slotTTL time.Duration) *simulation {
	w := &simulation{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		rows:    make(map[string]store.Row),
		blocked: make(map[[2]int]bool),
		grants:  make(map[string][]time.Duration), slotTTL: slotTTL,
	}
	for range count {
		w.addNode()
	}
	return w
}

func (w *simulation) addNode() *node {
	i := len(w.nodes)
	n := &node{w: w, index: i, instance: store.Instance{
		Name:          fmt.Sprintf("i%02d", i),
		Address:       fmt.Sprintf("10.0.0.%d:1", i),
		FailureDomain: string(rune('a' + i%3)),
	}}
	w.nodes = append(w.nodes, n)
	n.start()
	return n
}

func (w *simulation) at(t time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{at: t, seq: w.seq, do: do})
}

func (w *simulation) after(d time.Duration, do func()) { w.at(w.now+d, do) }

func (w *simulation) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

func (w *simulation) chance(p float64) bool { return p > 0 && w.rng.Float64() < p }

func (w *simulation) delay() time.Duration {
	if w.chance(w.faults.delay) {
		return time.Duration(w.rng.Int64N(int64(6 * time.Second)))
	}
	return time.Millisecond + time.Duration(w.rng.Int64N(int64(time.Millisecond)))
}

// start starts a new process with its own clock.
func (n *node) start() {
	n.alive, n.pausedUntil, n.leaving = true, 0, false
	n.process++
	n.drift = (n.w.rng.Float64()*2 - 1) * 500e-6
	n.skew = time.Duration(n.w.rng.Int64N(int64(time.Hour)))
	n.pendingTakes = make(map[uint64]*pendingTake)
	n.servedTakes = make(map[uint64]*servedTake)
	n.fleet = fleet.NewFleet(fleet.Config{
		Self: n.instance, Epoch: n.w.rng.Uint64() | 1, HeartbeatInterval: time.Second,
		DelegationTTL: 3 * time.Second, SlotTTL: n.w.slotTTL, IsolationTimeout: 2 * time.Second,
	}, n.clock(), rand.New(rand.NewPCG(n.w.rng.Uint64(), 2)))
	n.buckets = limit.NewBuckets()
	n.loop(0, listInterval, n.scheduleList)
	n.loop(time.Duration(n.w.rng.Int64N(int64(fleetTickInterval))), fleetTickInterval, n.tick)
	n.loop(time.Duration(n.w.rng.Int64N(int64(bucketTickInterval))), bucketTickInterval, n.tickBuckets)
}

func (n *node) clock() time.Time {
	local := time.Duration(float64(n.w.now) * (1 + n.drift))
	return time.Unix(1_000_000, 0).Add(n.skew + local)
}

// loop runs f at an interval until the process ends.
func (n *node) loop(first, interval time.Duration, f func()) {
	var again func()
	again = func() {
		f()
		n.later(interval, again)
	}
	n.later(first, again)
}

// later runs f in this process after a delay, and after the end of a pause.
func (n *node) later(d time.Duration, f func()) {
	process := n.process
	var run func()
	run = func() {
		switch {
		case !n.alive || n.process != process:
		case n.w.now < n.pausedUntil:
			n.w.at(n.pausedUntil, run)
		default:
			f()
		}
	}
	n.w.after(d, run)
}

// send delivers a message to another process, possibly late, twice or never.
func (n *node) send(to *node, f func()) {
	w := n.w
	if to == n {
		f()
		return
	}
	if w.blocked[[2]int{n.index, to.index}] || w.chance(w.faults.loss) {
		return
	}
	to.later(w.delay(), f)
	if w.chance(w.faults.duplicate) {
		to.later(w.delay(), f)
	}
}

func (n *node) scheduleList() {
	if n.w.down {
		return
	}
	var list []store.Instance
	for _, o := range n.w.nodes {
		if o.alive {
			in := o.instance
			in.Leaving = o.leaving
			list = append(list, in)
		}
	}
	n.later(listDelay, func() { n.fleet.ApplyInstances(list, n.clock()) })
}

func (n *node) tick() {
	a := n.fleet.Tick(n.clock())
	for _, h := range a.Handovers {
		n.handOver(h)
	}
	for _, c := range a.Authority {
		n.buckets.SetAuthority(c.Shard, c.Authority, n.clock())
	}
	for _, x := range a.Exchanges {
		n.exchange(x)
	}
	if a.ReadRows {
		n.read()
	}
	if a.Commit != nil {
		n.commit(*a.Commit)
	}
	n.resend()
}

func (n *node) handOver(h fleet.Handover) {
	to := n.w.find(h.To.Name)
	for _, s := range h.Shards.Shards() {
		l := n.buckets.Export(s, h.ID, n.clock())
		n.send(to, func() {
			to.buckets.Import(l, to.clock())
			to.fleet.PullNow(to.clock())
		})
	}
}

// pickRunning returns a random running instance, or nil.
func (w *simulation) pickRunning() *node {
	up := make([]*node, 0, len(w.nodes))
	for _, n := range w.nodes {
		if n.alive && !n.leaving && w.now >= n.pausedUntil {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[w.rng.IntN(len(up))]
}

func (w *simulation) find(name string) *node {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.instance.Name == name })
	return w.nodes[i]
}

func (n *node) exchange(x fleet.Exchange) {
	to := n.w.find(x.Peer.Name)
	process := n.process
	if !to.alive {
		n.later(2*time.Millisecond, func() { n.fleet.Failed(to.instance.Name, x.Request.ID, n.clock()) })
		return
	}
	n.send(to, func() {
		reply := to.fleet.HandlePull(x.Request, to.clock())
		to.send(n, func() {
			if n.process == process {
				n.fleet.Received(to.instance.Name, reply, n.clock())
			}
		})
	})
}

func (n *node) read() {
	n.later(5*time.Millisecond, func() {
		if n.w.down {
			n.later(2*time.Second, func() { n.fleet.ReadFailed(n.clock()) })
			return
		}
		slots, sessions := n.w.rangeRows(fleet.LeaseSlotPrefix), n.w.rangeRows(fleet.SessionPrefix)
		n.later(5*time.Millisecond, func() { n.fleet.RowsRead(slots, sessions, n.clock()) })
	})
}

func (w *simulation) rangeRows(prefix string) []store.Row {
	var rows []store.Row
	for key, row := range w.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b store.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

func (n *node) commit(txn store.Txn) {
	w := n.w
	done := func(version int64, err error) { n.fleet.Committed(txn.RequestID, version, err, n.clock()) }
	switch {
	case w.down:
		n.later(2*time.Second, func() { done(0, store.ErrUnavailable) })
	case w.chance(w.faults.lostReply):
		w.after(5*time.Millisecond, func() { w.apply(txn) })
		n.later(2*time.Second, func() { done(0, store.ErrUnknown) })
	case w.chance(w.faults.lateCommit):
		w.after(time.Duration(w.rng.Int64N(int64(20*time.Second))), func() { w.apply(txn) })
		n.later(2*time.Second, func() { done(0, store.ErrUnknown) })
	default:
		w.after(5*time.Millisecond, func() {
			version, err := w.apply(txn)
			n.later(5*time.Millisecond, func() { done(version, err) })
		})
	}
}

func (w *simulation) apply(txn store.Txn) (int64, error) {
	for _, c := range txn.Conditions {
		if w.rows[c.Key].Version != c.Version {
			return 0, store.ErrConflict
		}
	}
	w.writes++
	version := w.writes
	for _, x := range txn.Writes {
		if x.Delete {
			delete(w.rows, x.Key)
			continue
		}
		w.rows[x.Key] = store.Row{Key: x.Key, Value: x.Value, Version: version}
	}
	return version, nil
}

// request submits a caller's request to an instance.
func (n *node) request(team string, g limit.Grant, wait time.Duration, done func(bool, time.Duration)) {
	a := &pendingTake{node: n, receivedAt: n.w.now, deadline: n.w.now + wait, done: done, TakeRequest: limit.TakeRequest{
		ID: n.w.rng.Uint64(), Team: team, Shard: fleet.ShardOf(team), Grant: g, Tokens: 1,
	}}
	n.pendingTakes[a.ID] = a
	n.ask(a)
}

// ask sends a request to the home that this instance knows.
func (n *node) ask(a *pendingTake) {
	home, ok := n.fleet.View().Home(a.Shard)
	a.resendAt = n.w.now + takeTimeout
	if !ok {
		return
	}
	a.home = n.w.find(home.Name)
	r := a.TakeRequest
	r.MaxWait = a.deadline - n.w.now
	to := a.home
	n.send(to, func() {
		if to.servedTakes[r.ID] == nil {
			to.servedTakes[r.ID] = &servedTake{from: n, team: r.Team}
		}
		to.answer(to.buckets.Take(r, to.clock()))
	})
}

func (n *node) tickBuckets() {
	for _, reply := range n.buckets.Tick(n.clock()) {
		n.answer(reply)
	}
}

// answer records a grant at its decision time and sends the reply.
func (n *node) answer(reply limit.TakeReply) {
	s := n.servedTakes[reply.ID]
	if reply.Verdict == limit.Granted && !s.granted {
		s.granted = true
		n.w.grants[s.team] = append(n.w.grants[s.team], n.w.now)
	}
	n.send(s.from, func() { s.from.replied(reply) })
}

// replied completes a request, or sends it to the next home.
func (n *node) replied(reply limit.TakeReply) {
	a := n.pendingTakes[reply.ID]
	if a == nil {
		return
	}
	switch reply.Verdict {
	case limit.Waiting:
		a.resendAt = a.deadline
	case limit.Moved:
		n.ask(a)
	default:
		delete(n.pendingTakes, reply.ID)
		a.done(reply.Verdict == limit.Granted, n.w.now-a.receivedAt)
	}
}

// resend repeats requests without a timely reply, or whose home has changed.
func (n *node) resend() {
	for _, id := range slices.Sorted(maps.Keys(n.pendingTakes)) {
		a := n.pendingTakes[id]
		home, _ := n.fleet.View().Home(a.Shard)
		switch {
		case n.w.now >= a.deadline:
			delete(n.pendingTakes, id)
			a.done(false, n.w.now-a.receivedAt)
		case a.home != nil && a.home.instance.Name != home.Name:
			n.ask(a)
		case n.w.now >= a.resendAt:
			if a.home != nil && a.home != n {
				n.fleet.Observe(a.home.instance.Name, false, n.clock())
			}
			n.ask(a)
		}
	}
}

// check records slots with two holders and shards with too many delegated slots.
func (w *simulation) check() {
	var holder [fleet.LeaseSlotCount]int
	for _, n := range w.nodes {
		v := n.fleet.View()
		if !n.alive || !n.clock().Before(v.SlotsUntil) {
			continue
		}
		for _, k := range v.Slots {
			if holder[k]++; holder[k] > 1 {
				w.errs = append(w.errs, fmt.Sprintf("slot %d has two holders at %v", k, w.now))
			}
		}
	}
	for s := range fleet.ShardCount {
		slots := 0
		for _, n := range w.nodes {
			if n.alive {
				slots += n.fleet.View().Authority(fleet.Shard(s), n.clock()).Slots
			}
		}
		if slots > fleet.LeaseSlotCount {
			w.errs = append(w.errs, fmt.Sprintf("shard %d has %d slots at %v", s, slots, w.now))
		}
	}
}

// overGranted returns the largest excess over a team's rate and burst in any
// window of true time.
func (w *simulation) overGranted(team string, g limit.Grant) float64 {
	level, last, worst := g.Burst, time.Duration(0), 0.0
	for _, at := range w.grants[team] {
		level = min(g.Burst, level+g.RatePerSecond*(at-last).Seconds()) - 1
		last = at
		worst = max(worst, -level)
	}
	return worst
}
