package main

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/admapi"
	"github.com/buckthorntide/buckthorntide/boot"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/fleet"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/keys"
)

const (
	// The times of the instances are shortened about as much as the
	// platform's outage is.
	seatTTL      = 12 * time.Second
	storeTimeout = 500 * time.Millisecond
	drainNotice  = 4 * healthInterval
	drainTimeout = 15 * time.Second

	readyTimeout   = 20 * time.Second
	readyInterval  = 20 * time.Millisecond
	settleInterval = 200 * time.Millisecond
	settleMargin   = time.Second
	adminTimeout   = 5 * time.Second

	errUnavailable = errors.ConstError("the administration API is not ready")
	errNotReady    = errors.ConstError("instances did not get ready in time")
	errAdmin       = errors.ConstError("the administration API refused")
)

// dumpedSeats is the part of an instance's dump that tells which shards' seats
// are delegated to it.
type dumpedSeats struct {
	Authority []struct {
		Seats int `json:"seats"`
	} `json:"authority"`
}

// ourCluster is a fleet of the product's instances in this process.
type ourCluster struct {
	world    *world
	log      hclog.Logger
	adminKey string
	client   *http.Client
	nodes    members[*boot.Node]

	mu      sync.Mutex
	started int
	applied bool
}

func newOurCluster(log hclog.Logger) newCluster {
	return func(w *world, _ int) (cluster, error) {
		key, err := keys.Generate(keys.AdminKind, rand.Reader)
		if err != nil {
			return nil, err
		}
		client := &http.Client{Timeout: adminTimeout, Transport: &http.Transport{}}
		return &ourCluster{world: w, log: log, adminKey: key, client: client}, nil
	}
}

// Start adds so many instances and waits until they are ready. The first ones
// are given the text.
func (c *ourCluster) Start(ctx context.Context, count int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	started := make([]*boot.Node, 0, count)
	for range count {
		node, err := c.startNode()
		if err != nil {
			return err
		}
		started = append(started, node)
	}
	if !c.applied {
		if err := c.apply(ctx); err != nil {
			return err
		}
		c.applied = true
	}
	return awaitReady(ctx, started)
}

func (c *ourCluster) startNode() (*boot.Node, error) {
	c.mu.Lock()
	index := c.started
	c.started++
	c.mu.Unlock()
	s := conf.DefaultSettings()
	s.Instance = fmt.Sprint("instance", index)
	s.FailureDomain = domainOf(index)
	s.ListenAddress, s.AdminAddress, s.PeerAddress = loopback, loopback, loopback
	s.PlatformAddress = c.world.platform.Address()
	s.LeaseSlotTTL = conf.Duration(seatTTL)
	s.StoreTimeout = conf.Duration(storeTimeout)
	s.DrainNotice = conf.Duration(drainNotice)
	s.DrainTimeout = conf.Duration(drainTimeout)
	node, err := boot.NewNode(boot.Options{Settings: s, Log: c.log.Named(s.Instance), AdminKey: c.adminKey})
	if err != nil {
		return nil, err
	}
	if err := node.Start(); err != nil {
		node.Close()
		return nil, err
	}
	c.nodes.add(node)
	return node, nil
}

func awaitReady(ctx context.Context, nodes []*boot.Node) error {
	for _, node := range nodes {
		for reason := node.NotReadyReason(); reason != ""; reason = node.NotReadyReason() {
			if !group.Sleep(ctx, readyInterval) {
				return errors.Annotate(errNotReady, reason)
			}
		}
	}
	return nil
}

func (c *ourCluster) apply(ctx context.Context) error {
	raw, err := json.Marshal(c.world.text)
	if err != nil {
		return err
	}
	body := admapi.PutTextRequest{Text: string(raw)}
	for {
		// Instances take no orders before they have reached the others.
		err := c.admin(ctx, http.MethodPut, admapi.PathText, body, nil)
		if !errors.Is(err, errUnavailable) || !group.Sleep(ctx, readyInterval) {
			return err
		}
	}
}

// Settle waits until all seats of each shard have been delegated to the same
// instances for as long as the buckets, which begin empty, take to fill.
func (c *ourCluster) Settle(ctx context.Context) error {
	var before []int
	since := time.Now()
	for time.Since(since) < burstSeconds*time.Second+settleMargin {
		seats, err := c.delegatedSeats(ctx)
		if err != nil {
			return err
		}
		if sum(seats) != fleet.ShardCount*fleet.LeaseSlotCount || !slices.Equal(seats, before) {
			since = time.Now()
		}
		before = seats
		if !group.Sleep(ctx, settleInterval) {
			return errors.Annotatef(errNotReady, "seats delegated to the instances: %v", seats)
		}
	}
	return nil
}

// delegatedSeats returns how many seats each instance has been delegated, over
// all shards.
func (c *ourCluster) delegatedSeats(ctx context.Context) ([]int, error) {
	var seats []int
	for _, node := range c.nodes.all() {
		raw, err := node.Dump(ctx)
		if err != nil {
			return nil, err
		}
		var dump dumpedSeats
		if err := json.Unmarshal(raw, &dump); err != nil {
			return nil, err
		}
		delegated := 0
		for _, shard := range dump.Authority {
			delegated += shard.Seats
		}
		seats = append(seats, delegated)
	}
	return seats, nil
}

func sum(list []int) int {
	total := 0
	for _, n := range list {
		total += n
	}
	return total
}

// Addresses returns where callers reach the instances.
func (c *ourCluster) Addresses() []string { return c.nodes.addresses() }

// Stop ends the oldest instance as planned.
func (c *ourCluster) Stop(ctx context.Context) error {
	oldest := c.nodes.oldest()
	err := oldest.Drain(ctx)
	c.nodes.removeOldest()
	oldest.Close()
	return err
}

// Kill ends the oldest instance at once.
func (c *ourCluster) Kill() { c.nodes.removeOldest().Close() }

// SetDomain takes a failure domain out or brings it back.
func (c *ourCluster) SetDomain(ctx context.Context, domain string, out bool) error {
	path := admapi.PathDomains + "/" + domain
	return c.admin(ctx, http.MethodPost, path, admapi.DomainRequest{Out: out}, nil)
}

// Key issues a key of the team.
func (c *ourCluster) Key(ctx context.Context, team string) (string, error) {
	var issued admapi.IssueKeyResponse
	err := c.admin(ctx, http.MethodPost, admapi.PathKeys, admapi.IssueKeyRequest{Team: team}, &issued)
	return issued.Key, err
}

// Close ends all instances at once.
func (c *ourCluster) Close() {
	g := group.NewGroup(context.Background())
	for _, node := range c.nodes.all() {
		g.Go(func(context.Context) { node.Close() })
	}
	g.Wait()
	c.client.CloseIdleConnections()
}

// admin sends a request to the newest instance's administration API.
func (c *ourCluster) admin(ctx context.Context, method, path string, body, into any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	nodes := c.nodes.all()
	address := nodes[len(nodes)-1].AdminAddress()
	caller := &caller{client: c.client}
	a := caller.do(ctx, request{method: method, address: address, path: path, key: c.adminKey, body: raw}, false)
	if a.refusal.code == string(admapi.CodeUnavailable) {
		return errors.Annotatef(errUnavailable, "%s %s: %d", method, path, a.refusal.status)
	}
	if a.outcome != outcomeWhole {
		return errors.Annotatef(errAdmin, "%s %s: %d %s", method, path, a.refusal.status, a.refusal.code)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal([]byte(a.answer), into)
}
