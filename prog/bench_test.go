package prog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/store"
)

const (
	benchTurns        = 4
	benchMessageBytes = 600 // size of a question and of an answer
)

// benchHome is a Core whose commits succeed at once.
type benchHome struct {
	core    *Core
	now     time.Time
	version int64
	ticket  Ticket
	start   *Start
}

func (h *benchHome) perform(actions []Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch {
		case a.Reply != nil && a.Reply.Begin != nil:
			h.start = a.Reply.Begin.Start
		case a.Commit != nil:
			h.version++
			actions = append(actions, h.core.Committed(a.Commit.Root, a.Commit.Txn.RequestID, h.version, nil, h.now)...)
		}
	}
}

func (h *benchHome) open(root string) {
	h.ticket++
	h.perform(h.core.Open(h.ticket, OpenRequest{Program: root, Team: "team"}, h.now))
}

func (h *benchHome) turn(root, id string) {
	h.ticket++
	r := newCall(root, id)
	h.perform(h.core.Begin(h.ticket, r, h.now))
	end := newReport(r, h.start, strings.Repeat("a", benchMessageBytes))
	end.NewMessages[0].Body = []byte(strings.Repeat("q", benchMessageBytes))
	h.ticket++
	h.perform(h.core.End(h.ticket, end, h.now))
}

func newBenchHome(programs int) (*benchHome, []string) {
	h := &benchHome{core: NewCore(DefaultOptions("bench", "1")), now: testTime}
	random := rand.New(rand.NewPCG(1, 1))
	roots := make([]string, programs)
	for i := range roots {
		roots[i] = NewRoot(random)
		h.open(roots[i])
		for n := range benchTurns {
			h.turn(roots[i], fmt.Sprint("call-", n))
		}
		if i%1000 == 0 {
			h.perform(h.core.Tick(h.now))
		}
	}
	h.perform(h.core.Tick(h.now))
	return h, roots
}

var programCounts = []int{1_000, 10_000, 72_000}

// BenchmarkTurn measures one Begin and its End at a home with many open
// programs.
func BenchmarkTurn(b *testing.B) {
	for _, size := range programCounts {
		b.Run(fmt.Sprint("programs=", size), func(b *testing.B) {
			before := heapBytes()
			h, roots := newBenchHome(size)
			perProgram := float64(heapBytes()-before) / float64(size)
			commits := h.core.Stats().Commits
			b.ReportAllocs()
			turns := 0
			for b.Loop() {
				if turns%size == 0 {
					b.StopTimer()
					h, roots = newBenchHome(size) // so that histories stay short
					commits = h.core.Stats().Commits
					b.StartTimer()
				}
				h.turn(roots[turns%size], fmt.Sprint("more-", turns))
				turns++
			}
			last := (turns-1)%size + 1
			b.ReportMetric(perProgram, "B/program")
			b.ReportMetric(float64(h.core.Stats().Commits-commits)/float64(last), "commits/turn")
		})
	}
}

// BenchmarkTick measures a tick without an expired timer.
func BenchmarkTick(b *testing.B) {
	for _, size := range programCounts {
		b.Run(fmt.Sprint("programs=", size), func(b *testing.B) {
			h, _ := newBenchHome(size)
			for b.Loop() {
				h.perform(h.core.Tick(h.now))
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

type benchCommitter struct{ *store.Committer }

func (c benchCommitter) Commit(ctx context.Context, txn store.Txn) (int64, error) {
	outcome, err := c.Committer.Commit(ctx, txn)
	return outcome.Version, err
}

// BenchmarkWrites counts the platform's transactions per call, with several
// programs that call concurrently at one home.
func BenchmarkWrites(b *testing.B) {
	for _, callers := range []int{1, 15, 150} {
		b.Run(fmt.Sprint("callers=", callers), func(b *testing.B) {
			fake := store.NewFake()
			committer := store.NewCommitter(fake, store.CommitterConfig{Interval: 10 * time.Millisecond})
			defer committer.Close()
			d := NewDriver(b.Context(), DriverOptions{
				Core: DefaultOptions("bench", "1"), Table: fake, Objects: fake,
				Common:    common.NewCommon(hclog.NewNullLogger(), conf.DefaultSettings()),
				Committer: benchCommitter{committer},
				Random:    rand.New(rand.NewPCG(1, 1)),
			})
			defer d.Close()
			calls := 0
			for b.Loop() {
				all := group.NewGroup(b.Context())
				for i := range callers {
					all.Go(func(ctx context.Context) { benchCall(ctx, b, d, fmt.Sprintf("p-%d-%d", calls, i)) })
				}
				all.Wait()
				all.Close()
				calls += callers * benchTurns
			}
			b.ReportMetric(float64(committer.Stats().Writes)/float64(calls), "writes/call")
		})
	}
}

func benchCall(ctx context.Context, b *testing.B, d *Driver, root string) {
	_, err := d.Open(ctx, OpenRequest{Program: root, Team: "team"})
	assert.NilError(b, err)
	for n := range benchTurns {
		r := newCall(root, fmt.Sprint("call", n))
		reply, err := d.Begin(ctx, r)
		assert.NilError(b, err)
		_, err = d.End(ctx, newReport(r, reply.Start, "answer"))
		assert.NilError(b, err)
	}
	_, err = d.CloseProgram(ctx, CloseRequest{Program: root, Team: "team"})
	assert.NilError(b, err)
}
