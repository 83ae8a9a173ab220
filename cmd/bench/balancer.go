package main

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/buckthorntide/buckthorntide/group"
)

const (
	healthInterval = 50 * time.Millisecond
	healthTimeout  = 500 * time.Millisecond
)

// balancer stands in for the platform's: it spreads calls over the instances
// that say they are ready.
type balancer struct {
	addresses func() []string
	client    *http.Client
	group     *group.Group

	mu    sync.Mutex
	ready []string
	next  int
}

func newBalancer(addresses func() []string) *balancer {
	b := &balancer{
		addresses: addresses,
		client:    &http.Client{Timeout: healthTimeout, Transport: &http.Transport{}},
		group:     group.NewGroup(context.Background()),
	}
	b.check()
	b.group.Go(b.run)
	return b
}

func (b *balancer) close() {
	b.group.Close()
	b.client.CloseIdleConnections()
}

// pick returns the next ready instance, or an empty text.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	b.next++
	return b.ready[b.next%len(b.ready)]
}

// drop takes an instance out that refused a connection.
func (b *balancer) drop(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = slices.DeleteFunc(slices.Clone(b.ready), func(a string) bool { return a == address })
}

func (b *balancer) run(ctx context.Context) {
	for group.Sleep(ctx, healthInterval) {
		b.check()
	}
}

func (b *balancer) check() {
	var ready []string
	for _, address := range b.addresses() {
		if b.healthy(address) {
			ready = append(ready, address)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

func (b *balancer) healthy(address string) bool {
	response, err := b.client.Get("http://" + address + "/healthz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
