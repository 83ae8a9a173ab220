package trial

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/buckthorntide/buckthorntide/caller"
	"github.com/buckthorntide/buckthorntide/group"
)

const (
	// healthInterval is the time between two health checks of one instance.
	healthInterval = 50 * time.Millisecond
	// healthTimeout bounds one health check.
	healthTimeout = 500 * time.Millisecond
	// plainEvery is how many turns pass between two plain calls of a caller.
	plainEvery = 3
)

var errNoneReady = errors.New("no instance is ready")

type (
	// balancer sends calls only to instances that say that they are ready, as
	// the platform's balancer does. It never sends a call twice.
	balancer struct {
		mu      sync.Mutex
		key     string
		backend []*backend
		group   *group.Group
	}

	// backend is one instance behind the balancer.
	backend struct {
		instance *instance
		client   *caller.Client
		ready    atomic.Bool
	}

	// shop is a number of callers that send every call exactly once; an error
	// is final.
	shop struct {
		balancer *balancer
		calls    atomic.Int64
		stopped  atomic.Bool
		failure  atomic.Pointer[error]
		group    *group.Group
	}
)

// balance returns a balancer over the cluster's instances.
func (c *cluster) balance(key string) *balancer {
	b := &balancer{key: key, group: group.NewGroup(context.Background())}
	c.t.Cleanup(b.group.Close)
	for _, i := range c.instances {
		b.add(i)
	}
	return b
}

// add puts one more instance behind the balancer.
func (b *balancer) add(i *instance) {
	one := &backend{instance: i, client: caller.NewClient(i.address, b.key)}
	b.mu.Lock()
	b.backend = append(b.backend, one)
	b.mu.Unlock()
	b.group.Go(one.follow)
}

// follow polls the instance's health until the context ends.
func (b *backend) follow(ctx context.Context) {
	defer b.client.Close()
	for ctx.Err() == nil {
		b.ready.Store(b.healthy(ctx))
		select {
		case <-ctx.Done():
		case <-time.After(healthInterval):
		}
	}
}

func (b *backend) healthy(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	answer, err := b.client.Do(ctx, caller.Request{Method: http.MethodGet, Path: "/healthz"})
	return err == nil && answer.Status == http.StatusOK
}

// pick returns a client of a ready instance.
func (b *balancer) pick() (*backend, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []*backend
	for _, one := range b.backend {
		if one.ready.Load() {
			ready = append(ready, one)
		}
	}
	if len(ready) == 0 {
		return nil, errNoneReady
	}
	return ready[rand.IntN(len(ready))], nil
}

// do runs f with a ready instance's client, once.
func (b *balancer) do(f func(*caller.Client) error) error {
	one, err := b.pick()
	if err != nil {
		return err
	}
	if err := f(one.client); err != nil {
		return fmt.Errorf("at %s: %w", one.instance.name, err)
	}
	return nil
}

// openShop starts callers that run programs one after another.
func (c *cluster) openShop(b *balancer, callers int) *shop {
	s := &shop{balancer: b, group: group.NewGroup(c.t.Context())}
	c.eventually("an instance is ready", func() error { _, err := b.pick(); return err })
	for range callers {
		s.group.Go(func(ctx context.Context) {
			for !s.stopped.Load() && s.failure.Load() == nil {
				if err := s.program(ctx); err != nil {
					s.failure.CompareAndSwap(nil, &err)
				}
			}
		})
	}
	return s
}

func (s *shop) program(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	talk := &conversation{}
	err := s.balancer.do(func(client *caller.Client) error {
		program, err := client.OpenProgram(ctx, "")
		talk.program = program
		return err
	})
	for turn := 0; turn < 2*plainEvery && err == nil; turn++ {
		err = s.balancer.do(func(client *caller.Client) error {
			if turn%plainEvery == plainEvery-1 {
				_, err := client.Do(ctx, reservation("", uuid.NewString()))
				return err
			}
			_, err := talk.say(ctx, client, "", fmt.Sprintf("turn %d", turn))
			return err
		})
		s.calls.Add(1)
	}
	if err != nil {
		return fmt.Errorf("program %s: %w", talk.program, err)
	}
	return s.balancer.do(func(client *caller.Client) error { return client.CloseProgram(ctx, talk.program) })
}

// close lets the callers finish and fails the test if a call failed.
func (s *shop) close(c *cluster) {
	c.t.Helper()
	s.stopped.Store(true)
	s.group.Wait()
	s.group.Close()
	if failure := s.failure.Load(); failure != nil {
		c.logDumps()
		c.t.Fatalf("a call failed: %v", *failure)
	}
}

// awaitCalls waits until the callers have made that many calls more.
func (s *shop) awaitCalls(c *cluster, more int64) {
	c.t.Helper()
	want := s.calls.Load() + more
	c.eventually("more calls", func() error {
		if done := s.calls.Load(); done < want && s.failure.Load() == nil {
			return fmt.Errorf("%d of %d done", done, want)
		}
		return nil
	})
}
