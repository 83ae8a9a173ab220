package prog

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/store"
)

// differentialTest runs a Core over a table without faults, and the reference,
// with the same requests.
type differentialTest struct {
	core      *Core
	reference *reference
	memory    *store.Memory
	objects   map[string][]byte
	now       time.Time
	epoch     int
	ticket    Ticket
	replies   []string
	starts    []simReport
	completed []EndRequest
	requests  map[Ticket]BeginRequest
	ids       []string
	totals    map[string]int
}

func newDifferentialTest() *differentialTest {
	budget := conf.Budget{Calls: 25, Tokens: 1500, Seconds: 3600}
	d := &differentialTest{
		reference: newReference(budget),
		memory:    store.NewMemory(),
		objects:   make(map[string][]byte),
		now:       time.Unix(1_700_000_000, 0),
		requests:  make(map[Ticket]BeginRequest),
		ids:       []string{"p-0", "p-1"},
	}
	for _, parent := range []string{"p-0", "p-0", "p-1"} {
		d.ids = append(d.ids, childID(parent, fmt.Sprint(len(d.ids))))
	}
	d.ids = append(d.ids, childID(d.ids[2], "deep"))
	d.restart()
	return d
}

func (d *differentialTest) restart() {
	d.epoch++
	d.core = NewCore(DefaultOptions("home", fmt.Sprint(d.epoch)))
}

func (d *differentialTest) nextTicket() Ticket {
	d.ticket++
	return d.ticket
}

// perform performs actions until there are none left.
func (d *differentialTest) perform(actions []Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch {
		case a.Reply != nil:
			d.recordReply(a.Reply)
		case a.Load != nil:
			row, _ := d.memory.Get(FamilyKey(a.Load.Root))
			result := &LoadResult{Row: row, Bodies: d.objects}
			result.Turns = d.memory.Range(turnPrefix(a.Load.Root), "", 1<<20)
			actions = append(actions, d.core.Loaded(a.Load.Root, result, nil, d.now)...)
		case a.Commit != nil:
			version, against := d.memory.Commit(a.Commit.Txn)
			var err error
			if len(against) > 0 {
				err = store.ErrConflict
			}
			actions = append(actions, d.core.Committed(a.Commit.Root, a.Commit.Txn.RequestID, version, err, d.now)...)
		}
	}
}

func (d *differentialTest) recordReply(r *Reply) {
	d.replies = append(d.replies, fmt.Sprintf("%d ", r.Ticket)+d.describe(r))
}

func (d *differentialTest) describe(r *Reply) string {
	switch {
	case r.Open != nil && r.Open.Refusal == nil:
		return "opened " + r.Open.Program
	case r.Open != nil:
		return "refused " + string(r.Open.Refusal.Reason)
	case r.Begin != nil && r.Begin.Start != nil:
		return d.started(r)
	case r.Begin != nil && r.Begin.Replay != nil:
		return fmt.Sprintf("replay %d %s", r.Begin.Replay.Turn, r.Begin.Replay.Answer.Body)
	case r.Begin != nil && r.Begin.Wait != nil:
		return fmt.Sprintf("wait %d", r.Begin.Wait.Position)
	case r.Begin != nil:
		return "refused " + string(r.Begin.Refusal.Reason)
	case r.End != nil && r.End.Kept:
		return "kept"
	case r.End != nil && r.End.Superseded:
		return "superseded"
	case r.Close != nil && r.Close.Kept:
		return "closed"
	}
	return fmt.Sprintf("%+v", r)
}

func (d *differentialTest) started(r *Reply) string {
	s := r.Begin.Start
	var b strings.Builder
	for _, m := range s.History {
		fmt.Fprintf(&b, "%s,", m.Body)
	}
	end := newReport(d.requests[r.Ticket], s, fmt.Sprintf("answer-%d", r.Ticket))
	known := func(o simReport) bool { return o.end.Attempt == end.Attempt && o.end.Turn == end.Turn }
	if !slices.ContainsFunc(d.starts, known) {
		d.starts = append(d.starts, simReport{end: end})
	}
	return fmt.Sprintf("start %d %d %s", s.Turn, s.ReservedTokens, b.String())
}

// compare asserts that both gave the same replies.
func (d *differentialTest) compare(t *rapid.T) {
	ours, theirs := slices.Clone(d.replies), slices.Clone(d.reference.replies)
	slices.Sort(ours)
	slices.Sort(theirs)
	assert.DeepEqual(t, ours, theirs)
	d.tally(d.totals)
	d.replies, d.reference.replies = nil, nil
}

func (d *differentialTest) open(t *rapid.T) {
	i := rapid.IntRange(0, len(d.ids)-1).Draw(t, "program")
	r := OpenRequest{Program: d.ids[i], Team: "team", Budget: d.reference.budget, Key: fmt.Sprint(i)}
	switch parent := parentOf(d.ids[i]); {
	case parent == "":
		r.Resent = d.reference.programs[d.ids[i]] != nil
	case i == len(d.ids)-1:
		r.Program, r.Parent, r.Key = "", parent, "deep"
	default:
		r.Program, r.Parent = "", parent
	}
	ticket := d.nextTicket()
	d.perform(d.core.Open(ticket, r, d.now))
	d.reference.open(ticket, d.ids[i], r.Parent, r.Team)
	d.compare(t)
}

func (d *differentialTest) begin(t *rapid.T) {
	id := rapid.SampledFrom(d.ids).Draw(t, "program")
	r := newCall(id, fmt.Sprintf("%s-%d", id, rapid.IntRange(1, 8).Draw(t, "call")))
	r.Attempt = fmt.Sprint(rapid.IntRange(1, 3).Draw(t, "attempt"), "-", len(d.starts)/3)
	r.EstimatedTokens = rapid.Int64Range(50, 300).Draw(t, "tokens")
	if rapid.IntRange(0, 19).Draw(t, "odd") == 0 {
		r.Digest = "other"
	}
	if rapid.IntRange(0, 19).Draw(t, "stranger") == 0 {
		r.Team = "stranger"
	}
	if rapid.IntRange(0, 4).Draw(t, "plain") == 0 {
		r.Kind = KindPlain
	}
	ticket := d.nextTicket()
	d.requests[ticket] = r
	d.perform(d.core.Begin(ticket, r, d.now))
	d.reference.begin(ticket, r)
	d.compare(t)
}

func (d *differentialTest) end(t *rapid.T) {
	if len(d.starts) == 0 {
		return
	}
	i := rapid.IntRange(0, len(d.starts)-1).Draw(t, "start")
	e := d.starts[i].end
	d.starts = slices.Delete(d.starts, i, i+1)
	outcomes := []Outcome{OutcomeCompleted, OutcomeCompleted, OutcomeCompleted, OutcomeFailed, OutcomeCancelled, OutcomeUnknown}
	e.Outcome = rapid.SampledFrom(outcomes).Draw(t, "outcome")
	e.PromptTokens = rapid.Int64Range(1, 50).Draw(t, "used")
	e.AnswerTokens = 0
	if e.Outcome == OutcomeCompleted {
		d.completed = append(d.completed, e)
	}
	d.report(t, e)
}

func (d *differentialTest) endAgain(t *rapid.T) {
	if len(d.completed) == 0 {
		return
	}
	d.report(t, rapid.SampledFrom(d.completed).Draw(t, "report"))
}

func (d *differentialTest) report(t *rapid.T, e EndRequest) {
	ticket := d.nextTicket()
	d.perform(d.core.End(ticket, e, d.now))
	d.reference.end(ticket, e)
	d.compare(t)
}

func (d *differentialTest) close(t *rapid.T) {
	id := rapid.SampledFrom(d.ids).Draw(t, "program")
	if rapid.IntRange(0, 5).Draw(t, "sure") != 0 || d.reference.programs[id] == nil {
		return
	}
	ticket := d.nextTicket()
	d.perform(d.core.CloseProgram(ticket, CloseRequest{Program: id, Team: "team"}, d.now))
	d.reference.close(ticket, id)
	d.compare(t)
}

// move unloads every shard and continues at a home with an empty memory.
func (d *differentialTest) move(t *rapid.T) {
	for shard := range Shards {
		d.perform(d.core.Unload(shard, d.now))
		assert.Equal(t, d.core.Remaining(shard), 0)
	}
	d.restart()
	d.reference.move()
	d.compare(t)
}

// tally counts the kinds of replies, to show which cases the test has reached.
func (d *differentialTest) tally(total map[string]int) {
	for _, line := range d.reference.replies {
		words := strings.Fields(line)
		word := words[1]
		if word == "refused" {
			word = words[2]
		}
		total[word]++
	}
}

func TestCoreMatchesReference(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "7"))
	assert.NilError(t, flag.Set("rapid.checks", "200"))
	total := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		d := newDifferentialTest()
		d.totals = total
		steps := []func(*rapid.T){
			d.open, d.begin, d.begin, d.begin, d.begin, d.end, d.end, d.end, d.end, d.endAgain, d.close, d.move,
		}
		for range len(d.ids) {
			d.open(t)
		}
		for range rapid.IntRange(20, 250).Draw(t, "steps") {
			step := rapid.IntRange(0, len(steps)-1).Draw(t, "step")
			steps[step](t)
		}
	})
	t.Log(total)
	reached := []string{
		"start", "replay", "wait", "kept", "superseded", "closed", "callConflict", "unknownProgram",
		"programEnded", "homeMoved", "budgetTokens", "budgetCalls",
	}
	for _, word := range reached {
		assert.Check(t, total[word] > 0, "no %s was reached", word)
	}
}
