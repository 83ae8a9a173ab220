package trial

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/admapi"
	"github.com/buckthorntide/buckthorntide/caller"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/stand"
)

// knocks is how many calls a knocker makes at once.
const knocks = 4

// moreRefusals is how many refusals in a row show that a key stays refused.
const moreRefusals = 20

// knocker calls one instance with a key again and again.
type knocker struct {
	answered atomic.Int64
	refused  atomic.Int64
	// answeredLate counts answers to calls that began after a refusal.
	answeredLate atomic.Int64

	mu sync.Mutex
	// late are the ids of such calls.
	late []string
}

// TestWithdrawnKeyStopsWorking withdraws a key while its calls are open and
// come at every instance.
func TestWithdrawnKeyStopsWorking(t *testing.T) {
	tests := []struct {
		name string
		// freeze says that the third instance is frozen over the withdrawal.
		freeze bool
		after  func(c *cluster)
	}{
		{"nothing fails", false, func(*cluster) {}},
		{"the platform goes down and the instance that was told is killed", false, func(c *cluster) {
			c.platformDown()
			c.instances[0].killAndWait()
		}},
		{"an instance is frozen", true, func(*cluster) {}},
		{"an instance is frozen and the platform goes down", true, (*cluster).platformDown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCluster(t, options{instances: 4, engines: 2})
			key := c.issueKey("fes")
			streams := c.openStreams(key.Key)
			frozen := c.instances[2]
			knockers := make(map[*instance]*knocker)
			for _, i := range c.instances {
				if !tt.freeze || i != frozen {
					knockers[i] = c.knock(i, key.Key)
				}
			}
			for i, k := range knockers {
				c.awaitCount(i.name+" answers", &k.answered, 1)
			}
			thaw := func() {}
			if tt.freeze {
				thaw = c.freezeUntilLapsed(frozen)
			}
			c.withdraw(key.ID)
			tt.after(c)
			if tt.freeze {
				knockers[frozen] = c.knock(frozen, key.Key)
			}
			thaw()
			c.awaitStreamsEnd(streams)
			c.assertRefusedForGood(knockers)
			if tt.freeze {
				assert.Equal(t, knockers[frozen].answered.Load(), int64(0), "the thawed instance answered")
			}
		})
	}
}

func (c *cluster) platformDown() {
	c.platform.SetFaults(stand.PlatformFaults{Down: stand.DownDrop})
}

// withdraw withdraws a key at the first instance.
func (c *cluster) withdraw(id string) {
	c.t.Helper()
	c.eventually("the key is withdrawn", func() error {
		var reply admapi.WithdrawKeyResponse
		return c.operate(c.instances[0], http.MethodDelete, admapi.KeyPath(id), nil, &reply)
	})
}

// openStreams opens one call at each instance that never gets an answer, and
// returns where their errors come.
func (c *cluster) openStreams(key string) []chan error {
	c.t.Helper()
	for _, e := range c.engines {
		e.SetFaults(stand.EngineFaults{Slow: conf.Duration(time.Hour)})
	}
	before := c.engineRequests()
	streams := make([]chan error, 0, len(c.instances))
	for n := range c.instances {
		stream := make(chan error, 1)
		streams = append(streams, stream)
		c.group.Go(func(ctx context.Context) {
			client := c.client(n, key)
			defer client.Close()
			_, err := client.Complete(ctx, "", "", caller.ChatRequest{
				Model:     model,
				Messages:  []caller.Message{{Role: "user", Content: fmt.Sprintf("stream %d", n)}},
				MaxTokens: answerTokens,
			})
			stream <- err
		})
	}
	c.eventually("every stream is open", func() error {
		if open := c.engineRequests() - before; open < int64(len(streams)) {
			return fmt.Errorf("%d are", open)
		}
		return nil
	})
	return streams
}

// awaitStreamsEnd waits until every stream was ended without an answer.
func (c *cluster) awaitStreamsEnd(streams []chan error) {
	c.t.Helper()
	for n, stream := range streams {
		var ended error
		c.eventually(fmt.Sprintf("stream %d ends", n), func() error {
			select {
			case ended = <-stream:
				return nil
			default:
				return errors.New("still open")
			}
		})
		assert.Assert(c.t, ended != nil, "stream %d was answered", n)
	}
}

// knock calls the instance with the key until the test ends.
func (c *cluster) knock(i *instance, key string) *knocker {
	k := &knocker{}
	for range knocks {
		c.group.Go(func(ctx context.Context) {
			client := caller.NewClient(i.address, key)
			defer client.Close()
			for ctx.Err() == nil {
				k.call(ctx, client)
				pause(ctx, retryPause)
			}
		})
	}
	return k
}

// call makes one call. It is late if it began after another had been refused.
func (k *knocker) call(ctx context.Context, client *caller.Client) {
	late := k.refused.Load() > 0
	callID := uuid.NewString()
	err := tryOnce(ctx, client, look(callID))
	k.mu.Lock()
	if late {
		k.late = append(k.late, callID)
	}
	k.mu.Unlock()
	switch {
	case err == nil && late:
		k.answeredLate.Add(1)
	case err == nil:
		k.answered.Add(1)
	case codeOf(err) == codeUnauthorised:
		k.refused.Add(1)
	}
}

// lateCalls returns the calls that began after one had been refused.
func (k *knocker) lateCalls() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.late)
}

// assertRefusedForGood waits until every instance that runs refuses the key and
// checks that it goes on so.
func (c *cluster) assertRefusedForGood(knockers map[*instance]*knocker) {
	c.t.Helper()
	c.awaitRefusals(knockers, moreRefusals)
	for i, k := range knockers {
		for _, callID := range k.lateCalls() {
			assert.Equal(c.t, c.booking.Runs(callID), int64(0), "%s ran a call after it had refused the key", i.name)
		}
		assert.Equal(c.t, k.answeredLate.Load(), int64(0), "%s answered after it had refused the key", i.name)
	}
}

func (c *cluster) awaitRefusals(knockers map[*instance]*knocker, more int64) {
	c.t.Helper()
	for i, k := range knockers {
		if i.running() {
			c.awaitCount(i.name+" refuses the key", &k.refused, k.refused.Load()+more)
		}
	}
}

// awaitCount waits until the count is reached.
func (c *cluster) awaitCount(what string, count *atomic.Int64, want int64) {
	c.t.Helper()
	c.eventually(what, func() error {
		if n := count.Load(); n < want {
			return fmt.Errorf("%d of %d", n, want)
		}
		return nil
	})
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
