// Package member does the I/O for package fleet: it sends the exchanges, commits
// the lease slots' transactions and publishes the view that requests read.
package member

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/ctrl"
	"github.com/buckthorntide/buckthorntide/fleet"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/homes"
	"github.com/buckthorntide/buckthorntide/peer"
	"github.com/buckthorntide/buckthorntide/store"
)

const (
	// listInterval is the time between two reads of the platform's instance
	// list.
	listInterval = time.Second
	// maxRows is the maximum number of lease slot or session rows in one read.
	maxRows = 4096
	// exchangeTimeout bounds one exchange with a peer.
	exchangeTimeout = time.Second
)

// Exchange is the remote method of a heartbeat and delegation request.
var Exchange = peer.Method[fleet.PullRequest, fleet.PullReply]{Name: "Exchange"}

type (
	// Follower is a component that is notified of changes of this instance's
	// authority. All of its methods are called on the control thread.
	Follower interface {
		// SetAuthority applies a change of the authority over a shard.
		SetAuthority(s fleet.Shard, a fleet.Authority, now time.Time)
		// HandOver releases the shards of a planned handover.
		HandOver(h fleet.Handover, now time.Time)
		// Lost reports that an instance has become unreachable.
		Lost(instance string, now time.Time)
	}

	// Member is this instance as a member of the fleet. View and Locate are safe
	// for concurrent use.
	Member struct {
		common    *common.Common
		fleet     *fleet.Fleet
		thread    *ctrl.Thread
		conns     *peer.Conns
		platform  store.Platform
		self      store.Instance
		followers []Follower
		view      atomic.Pointer[fleet.View]
		leaving   atomic.Bool
		// reachable contains the instances that were reachable at the last tick.
		reachable map[string]struct{}
		group     *group.Group
	}
)

// NewMember returns a member that accesses the fleet only on the thread.
func NewMember(
	c *common.Common,
	f *fleet.Fleet,
	thread *ctrl.Thread,
	conns *peer.Conns,
	platform store.Platform,
	self store.Instance,
) *Member {
	m := &Member{
		common:   c.Part("member"),
		fleet:    f,
		thread:   thread,
		conns:    conns,
		platform: platform,
		self:     self,
		group:    group.NewGroup(context.Background()),
	}
	m.view.Store(f.View())
	return m
}

// SetFollowers sets the followers, which are notified in the order given; it must be
// called before the control thread starts.
func (m *Member) SetFollowers(followers ...Follower) { m.followers = followers }

// Start starts polling the platform's instance list.
func (m *Member) Start() { m.group.Go(m.pollInstances) }

// Close cancels all calls and waits for them; the control thread must still
// run.
func (m *Member) Close() { m.group.Close() }

// View returns the latest view of the fleet.
func (m *Member) View() *fleet.View { return m.view.Load() }

// Locate returns the home of a shard in the latest view. It implements
// homes.Locator.
func (m *Member) Locate(shard uint8) (homes.Place, bool) {
	home, ok := m.View().Home(fleet.Shard(shard))
	if !ok {
		return homes.Place{}, false
	}
	return homes.Place{
		Instance: home.Name,
		Address:  home.Address,
		Self:     home.Name == m.self.Name,
	}, true
}

// Drain begins a planned stop and announces it to the platform.
func (m *Member) Drain(ctx context.Context) error {
	m.leaving.Store(true)
	err := m.thread.Do(ctx, func(now time.Time) {
		m.fleet.Drain(now)
		m.publish()
	})
	if err != nil {
		return err
	}
	return m.announce(ctx)
}

// Drained reports whether every shard and lease slot has been released.
func (m *Member) Drained(ctx context.Context) bool {
	drained := false
	err := m.thread.Do(ctx, func(now time.Time) { drained = m.fleet.Drained(now) })
	return err == nil && drained
}

// SetExcludedDomains sets the failure domains that are out of service; it runs on
// the control thread.
func (m *Member) SetExcludedDomains(domains []string, now time.Time) {
	m.fleet.SetExcludedDomains(domains, now)
	m.publish()
}

// PullNow sends a request to every slot holder at the next tick; it runs on the
// control thread.
func (m *Member) PullNow(now time.Time) { m.fleet.PullNow(now) }

// PlatformContacted records a reply of the platform to some other request.
func (m *Member) PlatformContacted(ctx context.Context) {
	_ = m.thread.Post(ctx, func(now time.Time) {
		m.fleet.PlatformContacted(now)
		m.publish()
	})
}

// Handlers returns the handler of Exchange.
func (m *Member) Handlers() []peer.Handler {
	return []peer.Handler{Exchange.Handle(m.handleExchange)}
}

// Tick runs the fleet once, notifies the followers and starts the I/O that the
// fleet requests; it runs on the control thread.
func (m *Member) Tick(now time.Time) {
	actions := m.fleet.Tick(now)
	m.publish()
	for _, h := range actions.Handovers {
		for _, f := range m.followers {
			f.HandOver(h, now)
		}
	}
	for _, a := range actions.Authority {
		for _, f := range m.followers {
			f.SetAuthority(a.Shard, a.Authority, now)
		}
	}
	m.reportLost(now)
	for _, e := range actions.Exchanges {
		m.group.Go(func(ctx context.Context) { m.exchange(ctx, e) })
	}
	if actions.ReadRows {
		m.group.Go(m.readRows)
	}
	if actions.Commit != nil {
		m.group.Go(func(ctx context.Context) { m.commit(ctx, *actions.Commit) })
	}
}

// reportLost notifies the followers of the instances that have become
// unreachable.
func (m *Member) reportLost(now time.Time) {
	reachable := make(map[string]struct{})
	for _, other := range m.View().Members {
		if other.Reachable {
			reachable[other.Instance.Name] = struct{}{}
		}
	}
	for name := range m.reachable {
		if _, ok := reachable[name]; ok {
			continue
		}
		m.common.Log.Warn("instance unreachable; dropping its running turns", "instance", name)
		for _, f := range m.followers {
			f.Lost(name, now)
		}
	}
	m.reachable = reachable
}

func (m *Member) publish() { m.view.Store(m.fleet.View()) }

func (m *Member) handleExchange(ctx context.Context, q *fleet.PullRequest) (*fleet.PullReply, error) {
	var reply fleet.PullReply
	err := m.thread.Do(ctx, func(now time.Time) {
		reply = m.fleet.HandlePull(*q, now)
		m.publish()
	})
	if err != nil {
		return nil, err
	}
	return &reply, nil
}

func (m *Member) exchange(ctx context.Context, e fleet.Exchange) {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := m.callPeer(callCtx, e)
	_ = m.thread.Post(ctx, func(now time.Time) {
		if err != nil {
			m.fleet.Failed(e.Peer.Name, e.Request.ID, now)
		} else {
			m.fleet.Received(e.Peer.Name, *reply, now)
		}
		m.publish()
	})
}

func (m *Member) callPeer(ctx context.Context, e fleet.Exchange) (*fleet.PullReply, error) {
	conn, err := m.conns.To(e.Peer.Address)
	if err != nil {
		return nil, err
	}
	return Exchange.Call(ctx, conn, &e.Request)
}

func (m *Member) readRows(ctx context.Context) {
	slots, err := m.platform.Range(ctx, fleet.LeaseSlotPrefix, "", maxRows)
	var sessions []store.Row
	if err == nil {
		sessions, err = m.platform.Range(ctx, fleet.SessionPrefix, "", maxRows)
	}
	_ = m.thread.Post(ctx, func(now time.Time) {
		if err != nil {
			m.fleet.ReadFailed(now)
		} else {
			m.fleet.RowsRead(slots, sessions, now)
		}
		m.publish()
	})
}

func (m *Member) commit(ctx context.Context, txn store.Txn) {
	version, err := m.platform.Commit(ctx, txn)
	_ = m.thread.Post(ctx, func(now time.Time) {
		m.fleet.Committed(txn.RequestID, version, err, now)
		m.publish()
	})
}

func (m *Member) pollInstances(ctx context.Context) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		m.refreshInstances(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (m *Member) refreshInstances(ctx context.Context) {
	if err := m.announce(ctx); err != nil {
		m.common.Log.Debug("cannot announce this instance to the platform", "error", err)
		return
	}
	instances, err := m.platform.ListInstances(ctx)
	if err != nil {
		m.common.Log.Debug("cannot read the platform's instance list", "error", err)
		return
	}
	_ = m.thread.Post(ctx, func(now time.Time) {
		m.fleet.ApplyInstances(instances, now)
		m.publish()
	})
}

func (m *Member) announce(ctx context.Context) error {
	self := m.self
	self.Leaving = m.leaving.Load()
	return m.platform.Announce(ctx, self)
}
