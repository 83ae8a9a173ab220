package gossip

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/ctrl"
	"github.com/buckthorntide/buckthorntide/fleet"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/keys"
	"github.com/buckthorntide/buckthorntide/peer"
	"github.com/buckthorntide/buckthorntide/store"
)

const (
	// minPollInterval is the poll interval of the table service in an empty fleet.
	minPollInterval = time.Second
	// pollIntervalPerInstance is added for every member, so that the polls of a
	// large fleet stay within the table service's read capacity.
	pollIntervalPerInstance = 10 * time.Millisecond
	// pollMargin is how late a poll's reply may be before the table service
	// counts as unreachable.
	pollMargin = 250 * time.Millisecond
	// reachabilityInterval is the time between two checks whether it is reachable.
	reachabilityInterval = 100 * time.Millisecond
	// syncInterval is the time between two rounds of Sync calls to peers.
	syncInterval = 500 * time.Millisecond
	// peersPerRound is how many peers get a Sync call in one round.
	peersPerRound = 1
	// syncTimeout bounds one exchange with a peer, and the wait for a majority.
	syncTimeout = time.Second
	// pageSize is the maximum number of keys in a page.
	pageSize = 500
)

type (
	// Viewer provides the latest view of the fleet.
	Viewer interface {
		View() *fleet.View
		// PlatformContacted is called when the platform has replied.
		PlatformContacted(ctx context.Context)
	}

	// Follower is notified when another text comes into force. SetText is called
	// on the control thread.
	Follower interface {
		SetText(old, text *conf.Text, now time.Time)
	}

	// Gossip holds the text and the keys that are in force on this instance and
	// propagates their changes.
	Gossip struct {
		common    *common.Common
		self      string
		thread    *ctrl.Thread
		conns     *peer.Conns
		table     store.Table
		viewer    Viewer
		followers []Follower
		streams   *keys.StreamRegistry
		group     *group.Group

		// replica is accessed only on the control thread.
		replica *conf.Replica
		// sets are changed on the control thread and read by requests.
		sets  map[keys.Kind]*keys.Keys
		text  atomic.Pointer[conf.Text]
		stamp atomic.Pointer[conf.Stamp]
		ready atomic.Bool
		// lastStoreReply is when the table service last replied.
		lastStoreReply atomic.Pointer[time.Time]
		// wasFresh is accessed only on the control thread.
		wasFresh bool
	}
)

// NewGossip returns a Gossip without a text or keys. Once started, it polls the
// table and syncs with the instances in the viewer's view.
func NewGossip(
	c *common.Common,
	self string,
	thread *ctrl.Thread,
	conns *peer.Conns,
	table store.Table,
	streams *keys.StreamRegistry,
) *Gossip {
	freshness := keys.Freshness{Timeout: time.Duration(c.Settings.IsolationTimeout), Peers: 1}
	s := &Gossip{
		common:  c.Part("spread"),
		self:    self,
		thread:  thread,
		conns:   conns,
		table:   table,
		streams: streams,
		group:   group.NewGroup(context.Background()),
		replica: conf.NewReplica(1),
		sets: map[keys.Kind]*keys.Keys{
			keys.CallerKind: keys.NewKeys(keys.CallerKind, freshness),
			keys.AdminKind:  keys.NewKeys(keys.AdminKind, freshness),
		},
	}
	s.text.Store(&conf.Text{})
	s.stamp.Store(&conf.Stamp{})
	return s
}

// Follow sets the viewer that provides the peers and the followers of the text; it
// must be called before Start.
func (s *Gossip) Follow(viewer Viewer, followers ...Follower) {
	s.viewer = viewer
	s.followers = followers
}

// Start starts polling the table service and syncing with peers.
func (s *Gossip) Start() {
	s.group.Go(s.followStore)
	s.group.Go(s.followPeers)
}

// Close stops the background tasks and waits for them; the control thread must
// still run.
func (s *Gossip) Close() { s.group.Close() }

// Handlers returns the handlers of this package's remote methods.
func (s *Gossip) Handlers() []peer.Handler {
	return []peer.Handler{
		Sync.Handle(s.handleSync),
		Push.Handle(s.handlePush),
		FetchText.Handle(s.handleFetchText),
		FetchKeys.Handle(s.handleFetchKeys),
		PageKeys.Handle(s.handlePageKeys),
	}
}

// Text returns the text in force.
func (s *Gossip) Text() *conf.Text { return s.text.Load() }

// Stamp returns the revision and digest in force.
func (s *Gossip) Stamp() conf.Stamp { return *s.stamp.Load() }

// Ready reports whether the instance may serve; see conf.Replica.Ready.
func (s *Gossip) Ready() bool { return s.ready.Load() }

// Fresh reports whether the callers' keys are recent enough to authenticate calls.
func (s *Gossip) Fresh() bool {
	return s.sets[keys.CallerKind].Fresh(s.common.Clock.Now())
}

// StoreReachable reports whether the last poll's reply is not overdue.
func (s *Gossip) StoreReachable() bool {
	replied := s.lastStoreReply.Load()
	return replied != nil && s.common.Clock.Now().Sub(*replied) < s.storePollInterval()+pollMargin
}

// storePollInterval returns the time between two polls of the table service.
func (s *Gossip) storePollInterval() time.Duration {
	return minPollInterval + time.Duration(len(s.viewer.View().Members))*pollIntervalPerInstance
}

// Keys returns the keys of one kind, for authentication and reports.
func (s *Gossip) Keys(kind keys.Kind) *keys.Keys { return s.sets[kind] }

// Tick cancels every open stream when the keys are no longer fresh; it runs on the
// control thread.
func (s *Gossip) Tick(now time.Time) {
	fresh := s.sets[keys.CallerKind].Fresh(now)
	if s.wasFresh && !fresh {
		cancelled := s.streams.CancelAll()
		s.common.Log.Warn("neither platform nor peers replied in time; calls cancelled", "calls", cancelled)
	}
	s.wasFresh = fresh
	s.ready.Store(s.replica.Ready())
}

// Seed adds the initial admin key.
func (s *Gossip) Seed(ctx context.Context, h keys.Hash) error {
	return s.thread.Do(ctx, func(time.Time) { s.sets[keys.AdminKind].Seed(h) })
}

// PublishText puts a text that was edited on this instance in force and pushes it to
// every peer. Like PublishKeyChange it waits for a majority: the text then survives
// the loss of this instance even while the table service is down.
func (s *Gossip) PublishText(ctx context.Context, head conf.Head) error {
	err := s.thread.Do(ctx, func(now time.Time) { s.learnHead(head, conf.FromStore, now) })
	acks := s.pushToAll(&PushMessage{Instance: s.self, Head: &head}, head.Revision)
	if err != nil {
		return err
	}
	acks.observe(s.self, head.Revision)
	if !acks.wait(ctx, syncTimeout) {
		s.common.Log.Warn("text not yet applied by a majority of the instances", "revision", head.Revision)
	}
	return nil
}

// PublishKeyChange puts a change of a key in force and pushes it to every peer. It
// returns once a majority has applied the change, or after syncTimeout; the other
// instances receive it from the table service.
func (s *Gossip) PublishKeyChange(ctx context.Context, kind keys.Kind, change keys.Change) error {
	var revision int64
	err := s.thread.Do(ctx, func(time.Time) {
		s.cancelStreams(s.sets[kind].Push(change))
		revision = s.sets[kind].Revision()
	})
	if err != nil {
		return err
	}
	acks := s.pushToAll(&PushMessage{Instance: s.self, Kind: kind, Change: &change}, change.Revision)
	acks.observe(s.self, revision)
	if !acks.wait(ctx, syncTimeout) {
		s.common.Log.Warn("change of a key not yet applied by a majority of the instances", "revision", change.Revision)
	}
	return nil
}

// pushToAll pushes the message to every peer and returns the majority that counts
// the replies with at least the revision.
func (s *Gossip) pushToAll(q *PushMessage, revision int64) *majority {
	peers := s.peers()
	acks := newMajority(revision, len(peers)+1)
	s.push(peers, q, func(instance string, reply *PushReply) { acks.observe(instance, reply.Revision) })
	return acks
}

// learnHead processes a text that was read or pushed, and notifies the followers if
// it comes into force.
func (s *Gossip) learnHead(head conf.Head, from string, now time.Time) {
	changed, err := s.replica.Learn(head, from)
	if err != nil {
		s.common.Log.Error("text refused", "from", from, "error", err)
	}
	s.ready.Store(s.replica.Ready())
	if !changed {
		return
	}
	old := s.text.Load()
	text := s.replica.Text()
	stamp := s.replica.Stamp()
	s.text.Store(&text)
	s.stamp.Store(&stamp)
	s.common.Log.Info("text in force", "revision", stamp.Revision, "from", from)
	for _, f := range s.followers {
		f.SetText(old, &text, now)
	}
}

func (s *Gossip) cancelStreams(withdrawn []keys.Hash) {
	if len(withdrawn) == 0 {
		return
	}
	calls := s.streams.Cancel(withdrawn)
	s.common.Log.Info("keys withdrawn; their calls cancelled", "keys", len(withdrawn), "callsCut", calls)
}

func (s *Gossip) peers() []store.Instance {
	view := s.viewer.View()
	peers := make([]store.Instance, 0, len(view.Members))
	for _, m := range view.Members {
		if m.Instance.Name != s.self {
			peers = append(peers, m.Instance)
		}
	}
	return peers
}

// Head returns the text in force in its stored form.
func (s *Gossip) Head(ctx context.Context) (conf.Head, error) {
	var head conf.Head
	err := s.thread.Do(ctx, func(time.Time) { head = s.replica.Head() })
	return head, err
}
