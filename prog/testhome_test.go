package prog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/store"
)

const (
	storeUp storeMode = iota
	// storeAway answers ErrUnavailable.
	storeUnreachable
	// storeHeld keeps commits under way until release.
	storeDelayed
	// storeLost commits and answers ErrUnknown.
	storeAnswersLost
)

var testTime = time.Unix(1_700_000_000, 0)

type (
	storeMode int

	// lab is one home over a table that the test controls.
	testHome struct {
		t              *testing.T
		core           *Core
		memory         *store.Memory
		objects        map[string][]byte
		now            time.Time
		mode           storeMode
		delayedCommits []*Commit
		ticket         Ticket
		replies        map[Ticket]Reply
		releases       []Release
		commits        int
	}
)

func newTestHome(t *testing.T, name string, memory *store.Memory) *testHome {
	o := DefaultOptions(name, "1")
	o.ChunksPerBudget = 2
	return &testHome{
		t: t, core: NewCore(o), memory: memory, objects: make(map[string][]byte),
		now: testTime, replies: make(map[Ticket]Reply),
	}
}

func (l *testHome) perform(actions []Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch {
		case a.Reply != nil:
			l.replies[a.Reply.Ticket] = *a.Reply
		case a.Release != nil:
			l.releases = append(l.releases, *a.Release)
		case a.Load != nil:
			actions = append(actions, l.load(a.Load.Root)...)
		case a.Commit != nil && l.mode == storeDelayed:
			l.delayedCommits = append(l.delayedCommits, a.Commit)
		case a.Commit != nil:
			actions = append(actions, l.commit(a.Commit)...)
		}
	}
}

func (l *testHome) load(root string) []Action {
	if l.mode == storeUnreachable {
		return l.core.Loaded(root, nil, store.ErrUnavailable, l.now)
	}
	result := &LoadResult{Bodies: l.objects}
	result.Row, _ = l.memory.Get(FamilyKey(root))
	result.Turns = l.memory.Range(turnPrefix(root), "", 1<<20)
	return l.core.Loaded(root, result, nil, l.now)
}

func (l *testHome) commit(c *Commit) []Action {
	if l.mode == storeUnreachable {
		return l.core.Committed(c.Root, c.Txn.RequestID, 0, store.ErrUnavailable, l.now)
	}
	l.commits++
	for _, o := range c.Objects {
		l.objects[o.Name] = o.Body
	}
	version, against := l.memory.Commit(c.Txn)
	var err error
	if len(against) > 0 {
		err = store.ErrConflict
	}
	if l.mode == storeAnswersLost {
		err = store.ErrUnknown
	}
	return l.core.Committed(c.Root, c.Txn.RequestID, version, err, l.now)
}

// release lets the held commits take effect.
func (l *testHome) applyDelayed() {
	l.mode = storeUp
	held := l.delayedCommits
	l.delayedCommits = nil
	for _, c := range held {
		l.perform(l.commit(c))
	}
}

func (l *testHome) advance(d time.Duration) {
	l.now = l.now.Add(d)
	l.perform(l.core.Tick(l.now))
	l.perform(l.core.Tick(l.now))
}

func (l *testHome) open(program string, budget conf.Budget, resent bool) *OpenReply {
	l.ticket++
	r := OpenRequest{Program: program, Team: "team", Budget: budget, Resent: resent}
	l.perform(l.core.Open(l.ticket, r, l.now))
	return l.replies[l.ticket].Open
}

// begin returns nil while the call waits.
func (l *testHome) begin(r BeginRequest) *BeginReply {
	l.ticket++
	l.perform(l.core.Begin(l.ticket, r, l.now))
	return l.replies[l.ticket].Begin
}

func (l *testHome) start(r BeginRequest) *Start {
	l.t.Helper()
	reply := l.begin(r)
	assert.Assert(l.t, reply != nil && reply.Start != nil, "%+v", reply)
	return reply.Start
}

func (l *testHome) end(r EndRequest) *EndReply {
	l.ticket++
	l.perform(l.core.End(l.ticket, r, l.now))
	return l.replies[l.ticket].End
}

// turn runs a whole call.
func (l *testHome) turn(program, id string) EndRequest {
	l.t.Helper()
	r := newCall(program, id)
	end := newReport(r, l.start(r), "answer "+id)
	l.end(end)
	return end
}

// spend runs calls that fail until the home starts no more, and returns how
// many it ran.
func (l *testHome) spendUntilRefused(program, name string) int {
	for n := 0; ; n++ {
		r := newCall(program, name+string(rune('a'+n)))
		reply := l.begin(r)
		if reply == nil || reply.Start == nil {
			return n
		}
		end := newReport(r, reply.Start, "")
		end.Outcome = OutcomeFailed
		l.end(end)
	}
}
