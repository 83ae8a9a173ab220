package trial

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/admapi"
	"github.com/buckthorntide/buckthorntide/caller"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/stand"
)

const (
	races = 8
	edits = 15
)

// edit is what one operator got for a text.
type edit struct {
	revision int64
	problem  *admapi.Problem
	err      error
}

// TestOperatorsRace lets two operators replace one base at two instances.
func TestOperatorsRace(t *testing.T) {
	c := newCluster(t, options{instances: 3, engines: 1})
	for race := range races {
		got := make(chan edit, 2)
		both := group.NewGroup(t.Context())
		for n := range 2 {
			both.Go(func(ctx context.Context) {
				var e edit
				e.revision, e.problem, e.err = c.putText(ctx, c.instances[n], c.revision, c.numberedText(2*race+n))
				got <- e
			})
		}
		first, second := <-got, <-got
		both.Close()
		assert.NilError(t, errors.Join(first.err, second.err))
		winner, loser := first, second
		if winner.problem != nil {
			winner, loser = second, first
		}
		assert.Assert(t, winner.problem == nil, "both lost: %v", winner.problem)
		assert.Assert(t, loser.problem != nil, "both won: %+v, %+v", winner, loser)
		assert.Equal(t, winner.revision, c.revision+1)
		assert.Equal(t, loser.problem.Code, admapi.CodeConflict)
		assert.Equal(t, loser.problem.NewerRevision, winner.revision)
		c.revision = winner.revision
	}
	c.awaitRevision(c.instances, c.revision)
	c.assertSameText(c.instances)
}

// TestRevisionNeverFalls applies texts while instances are killed, added and
// frozen, and watches every instance's revision.
func TestRevisionNeverFalls(t *testing.T) {
	c := newCluster(t, options{instances: 4, engines: 1})
	var fell, looks atomic.Int64
	watchers := group.NewGroup(t.Context())
	t.Cleanup(watchers.Close)
	watch := func(i *instance) {
		watchers.Go(func(ctx context.Context) { c.watchRevision(ctx, i, &looks, &fell) })
	}
	for _, i := range c.instances {
		watch(i)
	}
	faults := map[int]func(){
		3: c.instances[3].killAndWait,
		5: func() { watch(c.addInstance("a")) },
		7: c.instances[2].freeze,
		9: func() { c.platform.SetFaults(stand.PlatformFaults{LoseProbability: 0.5}) },
		11: func() {
			c.instances[2].thaw()
			c.awaitRevision(c.living(), c.revision)
		},
		13: func() { c.platform.SetFaults(stand.PlatformFaults{}) },
	}
	for n := range edits {
		if fault := faults[n]; fault != nil {
			fault()
		}
		c.replaceText(c.instances[n%2], c.numberedText(n))
		c.awaitCount("the revisions are looked at", &looks, looks.Load()+edits)
	}
	c.awaitRevision(c.living(), c.revision)
	c.assertSameText(c.living())
	assert.Equal(t, fell.Load(), int64(0))
}

// TestBadTextChangesNothing sends texts with faults.
func TestBadTextChangesNothing(t *testing.T) {
	c := newCluster(t, options{instances: 2, engines: 1})
	tests := []struct {
		name, text, field string
		line              int
	}{
		{"not JSON", "{\n  \"teams\": [\n", "", 3},
		{"an unknown field", "{\n  \"teems\": []\n}", "teems", 2},
		{"a negative burst", "{\n  \"teams\": [\n    {\"name\": \"fes\", \"ratePerSecond\": 1,\n     \"burst\": -1}\n  ]\n}", "teams[0].burst", 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, problem, err := c.putText(t.Context(), c.instances[1], c.revision, tt.text)
			assert.NilError(t, err)
			assert.Assert(t, problem != nil, "the text was accepted")
			assert.Equal(t, problem.Code, admapi.CodeFaults)
			listed := false
			for _, f := range problem.Faults {
				listed = listed || f.Line == tt.line && strings.HasSuffix(f.Field, tt.field)
			}
			assert.Assert(t, listed, "faults: %+v", problem.Faults)
		})
	}
	for _, i := range c.instances {
		status, err := c.status(i)
		assert.NilError(t, err)
		assert.Equal(t, status.TextRevision, c.revision)
	}
}

// TestAcceptedTextOutlivesItsInstance kills the instance that accepted a text
// as soon as it has said so, while the platform goes down.
func TestAcceptedTextOutlivesItsInstance(t *testing.T) {
	c := newCluster(t, options{instances: 4, engines: 1})
	revision, problem, err := c.putText(t.Context(), c.instances[0], c.revision, c.numberedText(1))
	c.instances[0].kill()
	c.platformDown()
	assert.NilError(t, err)
	assert.Assert(t, problem == nil, "%v", problem)
	c.awaitRevision(c.instances[1:], revision)
}

// TestStartWhileTableIsDown starts an instance that can't read the table
// service: it takes text and keys from its peers.
func TestStartWhileTableIsDown(t *testing.T) {
	c := newCluster(t, options{instances: 3, engines: 1})
	key := c.issueKey("fes")
	withdrawn := c.issueKey("zug")
	c.withdraw(withdrawn.ID)
	c.platform.SetFaults(stand.PlatformFaults{TableDown: true})
	late := c.addInstance("a")
	c.awaitReady(late)
	c.awaitRevision([]*instance{late}, c.revision)
	c.assertSameText(c.instances)
	c.assertServes(late, key.Key)
	client := clientOf(late, withdrawn.Key)
	defer client.Close()
	assert.Equal(t, codeOf(tryOnce(t.Context(), client, look(""))), codeUnauthorised)
}

// numberedText returns the first text with a team whose name ends in the
// number.
func (c *cluster) numberedText(n int) string {
	text := c.firstText()
	text.Teams[1].Name = fmt.Sprintf("zug%d", n)
	return textOf(c, text)
}

// replaceText makes the text the next revision of whatever stands.
func (c *cluster) replaceText(i *instance, text string) {
	c.t.Helper()
	c.eventually("the text is accepted", func() error {
		revision, problem, err := c.putText(c.t.Context(), i, c.revision, text)
		if err != nil {
			return err
		}
		if problem != nil {
			if problem.Code == admapi.CodeConflict {
				c.revision = problem.NewerRevision
			}
			return problem
		}
		c.revision = revision
		return nil
	})
}

// watchRevision counts the looks at the instance's revision and those that
// show that it fell.
func (c *cluster) watchRevision(ctx context.Context, i *instance, looks, fell *atomic.Int64) {
	var highest int64
	for ctx.Err() == nil {
		if status, err := c.status(i); err == nil {
			looks.Add(1)
			if status.TextRevision < highest {
				fell.Add(1)
			}
			highest = max(highest, status.TextRevision)
		}
		pause(ctx, pollPause)
	}
}

// assertSameText checks that the instances have one text and revision.
func (c *cluster) assertSameText(instances []*instance) {
	c.t.Helper()
	var first admapi.TextResponse
	for n, i := range instances {
		var reply admapi.TextResponse
		assert.NilError(c.t, c.operate(i, http.MethodGet, admapi.PathText, nil, &reply))
		if n == 0 {
			first = reply
		}
		assert.DeepEqual(c.t, reply, first)
	}
}

// assertServes waits until the instance answers calls of both kinds.
func (c *cluster) assertServes(i *instance, key string) {
	c.t.Helper()
	client := clientOf(i, key)
	defer client.Close()
	c.eventually(i.name+" answers a plain call", func() error { return tryOnce(c.t.Context(), client, look("")) })
	c.eventually(i.name+" answers a model call", func() error {
		ctx, cancel := context.WithTimeout(c.t.Context(), tryTimeout)
		defer cancel()
		_, err := client.Complete(ctx, "", "", caller.ChatRequest{
			Model: model, Messages: []caller.Message{{Role: "user", Content: "Are you there?"}}, MaxTokens: answerTokens,
		})
		return err
	})
}
