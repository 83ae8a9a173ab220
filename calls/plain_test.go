package calls

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/drain"
	"github.com/buckthorntide/buckthorntide/limit"
	"github.com/buckthorntide/buckthorntide/prog"
	"github.com/buckthorntide/buckthorntide/relay"
	"github.com/buckthorntide/buckthorntide/route"
)

type (
	// fakePrograms is a program's home with scripted replies to Begin and
	// End.
	fakePrograms struct {
		Programs
		begins []prog.BeginReply
		ends   []prog.EndReply
		// reported holds the turns of the End requests.
		reported []int
	}

	// fakePools assigns every call to one upstream.
	fakePools struct {
		address string
	}

	unlimited struct{}
)

// TestAnswerMovesToALaterTurn guards against two answers for one turn and
// against a second run of a call. Both could follow if another call takes the
// turn of a call that has run, for example while its home is frozen.
func TestAnswerMovesToALaterTurn(t *testing.T) {
	tests := []struct {
		name     string
		begins   []prog.BeginReply
		ends     []prog.EndReply
		turn     int
		reported []int
	}{
		{
			name:     "turn committed at once",
			begins:   []prog.BeginReply{{Start: startAt(5)}},
			ends:     []prog.EndReply{{Kept: true}},
			turn:     5,
			reported: []int{5},
		},
		{
			name:     "another call took the turn",
			begins:   []prog.BeginReply{{Start: startAt(5)}, {Start: startAt(7)}},
			ends:     []prog.EndReply{{Superseded: true}, {Kept: true}},
			turn:     7,
			reported: []int{5, 7},
		},
		{
			name:     "an earlier report was committed after all",
			begins:   []prog.BeginReply{{Start: startAt(5)}, {Replay: &prog.Stored{Turn: 6}}},
			ends:     []prog.EndReply{{Superseded: true}},
			turn:     6,
			reported: []int{5},
		},
		{
			name:     "the program has ended",
			begins:   []prog.BeginReply{{Start: startAt(5)}, {Refusal: &prog.Refusal{Reason: prog.ReasonEnded}}},
			ends:     []prog.EndReply{{Superseded: true}},
			turn:     0,
			reported: []int{5},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var runs atomic.Int64
			service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				runs.Add(1)
				_, _ = w.Write([]byte("reserved"))
			}))
			defer service.Close()
			programs := &fakePrograms{begins: tt.begins, ends: tt.ends}
			plain := NewPlainExecutor(
				common.NewCommon(hclog.NewNullLogger(), conf.Settings{}),
				"i1", unlimited{}, programs,
				fakePools{address: strings.TrimPrefix(service.URL, "http://")},
				nil, relay.NewPlainClient(), &drain.State{},
			)
			result, refusal := plain.Call(t.Context(), PlainCall{
				Caller:   Caller{Team: conf.Team{Name: "fes"}},
				Route:    conf.Route{Repeatable: true},
				Program:  "p-1",
				CallID:   "slot-9",
				Attempt:  "a-1",
				Method:   http.MethodPost,
				Path:     "/reserve",
				Deadline: time.Now().Add(10 * time.Second),
			})
			assert.Assert(t, refusal == nil, "%v", refusal)
			assert.Equal(t, string(result.Answer.Body), "reserved")
			assert.Equal(t, result.Turn, tt.turn)
			assert.Equal(t, runs.Load(), int64(1))
			assert.DeepEqual(t, programs.reported, tt.reported)
		})
	}
}

func startAt(turn int) *prog.Start { return &prog.Start{Turn: turn, TimeLeft: time.Minute} }

// Begin returns the next scripted reply.
func (p *fakePrograms) Begin(context.Context, *prog.BeginRequest) (*prog.BeginReply, error) {
	reply := p.begins[0]
	p.begins = p.begins[1:]
	return &reply, nil
}

// End records the turn and returns the next scripted reply.
func (p *fakePrograms) End(_ context.Context, q *prog.EndRequest) (*prog.EndReply, error) {
	p.reported = append(p.reported, q.Turn)
	reply := p.ends[0]
	p.ends = p.ends[1:]
	return &reply, nil
}

// Submit assigns the call to the upstream u1.
func (p fakePools) Submit(_ context.Context, _ string, call route.Call) (route.Decision, error) {
	return route.Decision{Call: call.ID, Assign: &route.Assign{Upstream: "u1", Address: p.address, Attempt: 1}}, nil
}

// Done ignores the report.
func (fakePools) Done(context.Context, string, route.Report) {}

// Take grants every token.
func (unlimited) Take(context.Context, string, limit.Grant) error { return nil }
