package calls

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/drain"
	"github.com/buckthorntide/buckthorntide/relay"
	"github.com/buckthorntide/buckthorntide/route"
)

type (
	// noPools counts calls and finds no upstream for them.
	noPools struct {
		Pools
		submitted int
	}

	// oneModel is a text with one model.
	oneModel struct{}
)

// Submit fails.
func (p *noPools) Submit(context.Context, string, route.Call) (route.Decision, error) {
	p.submitted++
	return route.Decision{}, errors.New("no upstream")
}

// Text returns the text.
func (oneModel) Text() *conf.Text {
	return &conf.Text{Services: []conf.Service{{Name: "chat", Kind: conf.KindModel, Models: []string{"m"}}}}
}

// Guards against a call that is sent to an upstream although the instance may end
// before it, and against a refusal that says more than is known.
func TestCallThatMayOutlastADrainIsNotSent(t *testing.T) {
	const long, short = time.Minute, 10 * time.Second
	late := drain.Plan{AcceptUntil: time.Now(), AnswerBy: time.Now().Add(short + time.Second)}
	early := drain.Plan{AcceptUntil: time.Now().Add(time.Minute), AnswerBy: late.AnswerBy}
	reserve := PlainCall{CallID: "slot-9", Method: http.MethodPost, Path: "/reserve"}
	inProgram := reserve
	inProgram.Program = "p-1"
	look := PlainCall{Method: http.MethodGet, Path: "/look", Route: conf.Route{Repeatable: true}}
	chat, err := ParseChatRequest([]byte(`{"model": "m", "messages": [{"role": "user", "content": "x"}]}`))
	assert.NilError(t, err)
	caller := Caller{Team: conf.Team{Name: "fes", Services: []string{"chat"}}}
	plain := func(call PlainCall) func(*drain.State, *noPools, time.Time) *Refusal {
		return func(s *drain.State, p *noPools, deadline time.Time) *Refusal {
			call.Deadline = deadline
			_, refusal := NewPlainExecutor(common.NewCommon(hclog.NewNullLogger(), conf.Settings{}), "i1", unlimited{}, &fakePrograms{}, p,
				nil, relay.NewPlainClient(), s).Call(t.Context(), call)
			return refusal
		}
	}
	model := func(program string) func(*drain.State, *noPools, time.Time) *Refusal {
		return func(s *drain.State, p *noPools, deadline time.Time) *Refusal {
			return NewModelExecutor(common.NewCommon(hclog.NewNullLogger(), conf.Settings{}), "i1", oneModel{}, unlimited{}, &fakePrograms{}, p,
				nil, s).Complete(t.Context(), ModelCall{Caller: caller, Program: program, Request: chat, Deadline: deadline}, nil)
		}
	}
	tests := []struct {
		name    string
		plan    drain.Plan
		timeout time.Duration
		call    func(*drain.State, *noPools, time.Time) *Refusal
		sent    int
		code    string
		state   RunState
	}{
		{"look, late and long", late, long, plain(look), 0, "notReady", NotRun},
		{"look, late and short", late, short, plain(look), 1, "unavailable", NotRun},
		{"look, early and long", early, long, plain(look), 1, "unavailable", NotRun},
		{"chat, late and long", late, long, model(""), 0, "notReady", NotRun},
		{"chat, late and short", late, short, model(""), 1, "unavailable", NotRun},
		{"chat, early and long", early, long, model(""), 1, "unavailable", NotRun},
		{"a program's chat, late and long", late, long, model("p-1"), 0, "notReady", NotRun},
		// An earlier transmission with the key may have run.
		{"a program's reservation, late and long", late, long, plain(inProgram), 0, "notReady", Unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s, p := &drain.State{}, &noPools{}
			s.Begin(tt.plan)
			refusal := tt.call(s, p, time.Now().Add(tt.timeout))
			assert.Equal(t, refusal.Code, tt.code)
			assert.Equal(t, refusal.RunState, tt.state)
			assert.Equal(t, p.submitted, tt.sent)
		})
	}
}
