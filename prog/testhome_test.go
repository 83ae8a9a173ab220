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
	// storeUnreachable answers ErrUnavailable.
	storeUnreachable
	// storeDelayed keeps commits in flight until applyDelayed.
	storeDelayed
	// storeAnswersLost commits and answers ErrUnknown.
	storeAnswersLost
)

var testTime = time.Unix(1_700_000_000, 0)

type (
	storeMode int

	// testHome is one home over a table that the test controls.
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

func (h *testHome) perform(actions []Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch {
		case a.Reply != nil:
			h.replies[a.Reply.Ticket] = *a.Reply
		case a.Release != nil:
			h.releases = append(h.releases, *a.Release)
		case a.Load != nil:
			actions = append(actions, h.load(a.Load.Root)...)
		case a.Commit != nil && h.mode == storeDelayed:
			h.delayedCommits = append(h.delayedCommits, a.Commit)
		case a.Commit != nil:
			actions = append(actions, h.commit(a.Commit)...)
		}
	}
}

func (h *testHome) load(root string) []Action {
	if h.mode == storeUnreachable {
		return h.core.Loaded(root, nil, store.ErrUnavailable, h.now)
	}
	result := &LoadResult{Bodies: h.objects}
	result.Row, _ = h.memory.Get(FamilyKey(root))
	result.Turns = h.memory.Range(turnPrefix(root), "", 1<<20)
	return h.core.Loaded(root, result, nil, h.now)
}

func (h *testHome) commit(c *Commit) []Action {
	if h.mode == storeUnreachable {
		return h.core.Committed(c.Root, c.Txn.RequestID, 0, store.ErrUnavailable, h.now)
	}
	h.commits++
	for _, o := range c.Objects {
		h.objects[o.Name] = o.Body
	}
	version, against := h.memory.Commit(c.Txn)
	var err error
	if len(against) > 0 {
		err = store.ErrConflict
	}
	if h.mode == storeAnswersLost {
		err = store.ErrUnknown
	}
	return h.core.Committed(c.Root, c.Txn.RequestID, version, err, h.now)
}

// applyDelayed applies the delayed commits.
func (h *testHome) applyDelayed() {
	h.mode = storeUp
	held := h.delayedCommits
	h.delayedCommits = nil
	for _, c := range held {
		h.perform(h.commit(c))
	}
}

func (h *testHome) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.perform(h.core.Tick(h.now))
	h.perform(h.core.Tick(h.now))
}

func (h *testHome) open(program string, budget conf.Budget, resent bool) *OpenReply {
	h.ticket++
	r := OpenRequest{Program: program, Team: "team", Budget: budget, Resent: resent}
	h.perform(h.core.Open(h.ticket, r, h.now))
	return h.replies[h.ticket].Open
}

// begin returns nil while the call is queued.
func (h *testHome) begin(r BeginRequest) *BeginReply {
	h.ticket++
	h.perform(h.core.Begin(h.ticket, r, h.now))
	return h.replies[h.ticket].Begin
}

func (h *testHome) start(r BeginRequest) *Start {
	h.t.Helper()
	reply := h.begin(r)
	assert.Assert(h.t, reply != nil && reply.Start != nil, "%+v", reply)
	return reply.Start
}

func (h *testHome) end(r EndRequest) *EndReply {
	h.ticket++
	h.perform(h.core.End(h.ticket, r, h.now))
	return h.replies[h.ticket].End
}

// turn runs a call to its end and returns its report.
func (h *testHome) turn(program, id string) EndRequest {
	h.t.Helper()
	r := newCall(program, id)
	end := newReport(r, h.start(r), "answer "+id)
	h.end(end)
	return end
}

// spendUntilRefused runs failing calls until the home starts no more, and
// returns their number.
func (h *testHome) spendUntilRefused(program, name string) int {
	for n := 0; ; n++ {
		r := newCall(program, name+string(rune('a'+n)))
		reply := h.begin(r)
		if reply == nil || reply.Start == nil {
			return n
		}
		end := newReport(r, reply.Start, "")
		end.Outcome = OutcomeFailed
		h.end(end)
	}
}
