package spread

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
	// pollInterval is the shortest time between two polls of the table service.
	pollInterval = time.Second
	// pollShare is what each instance adds to that time, so that the polls of
	// a large fleet stay within the table service's reads.
	pollShare = 10 * time.Millisecond
	// pollSlack is how much later than due a poll's answer may come before the
	// table service counts as not reachable.
	pollSlack = 250 * time.Millisecond
	// checkInterval is the time between two looks whether it is reachable.
	checkInterval = 100 * time.Millisecond
	// syncInterval is the time between two rounds of questions to peers.
	syncInterval = 500 * time.Millisecond
	// syncPeers is how many peers are asked in one round.
	syncPeers = 1
	// syncTimeout bounds one message to a peer.
	syncTimeout = time.Second
	// pageSize is how many keys one page holds.
	pageSize = 500
)

type (
	// Viewer gives the latest view of the fleet.
	Viewer interface {
		View() *fleet.View
		// PlatformHeard says that the platform answered.
		PlatformHeard(ctx context.Context)
	}

	// Follower is a part that follows the text; SetText is called on the
	// control thread.
	Follower interface {
		SetText(old, text *conf.Text, now time.Time)
	}

	// Spread holds the text and the keys that are in force on this instance.
	Spread struct {
		common    *common.Common
		self      string
		thread    *ctrl.Thread
		conns     *peer.Conns
		table     store.Table
		viewer    Viewer
		followers []Follower
		watch     *keys.StreamRegistry
		group     *group.Group

		// ledger belongs to the control thread.
		ledger *conf.Replica
		// sets are changed by the control thread and read by traffic.
		sets  map[keys.Kind]*keys.Keys
		text  atomic.Pointer[conf.Text]
		stamp atomic.Pointer[conf.Stamp]
		ready atomic.Bool
		// storeHeard is when the table service last answered.
		storeHeard atomic.Pointer[time.Time]
		// wasFresh belongs to the control thread.
		wasFresh bool
	}
)

// NewSpread returns a Spread that knows nothing. It polls the table and talks
// to the instances of the viewer's view once it is started.
func NewSpread(
	c *common.Common,
	self string,
	thread *ctrl.Thread,
	conns *peer.Conns,
	table store.Table,
	watch *keys.StreamRegistry,
) *Spread {
	freshness := keys.Freshness{Timeout: time.Duration(c.Settings.IsolationTimeout), Peers: 1}
	s := &Spread{
		common: c.Part("spread"),
		self:   self,
		thread: thread,
		conns:  conns,
		table:  table,
		watch:  watch,
		group:  group.NewGroup(context.Background()),
		ledger: conf.NewReplica(1),
		sets: map[keys.Kind]*keys.Keys{
			keys.CallerKind: keys.NewKeys(keys.CallerKind, freshness),
			keys.AdminKind:  keys.NewKeys(keys.AdminKind, freshness),
		},
	}
	s.text.Store(&conf.Text{})
	s.stamp.Store(&conf.Stamp{})
	return s
}

// Follow sets whose view names the peers and who follows the text; it must be
// called before Start.
func (s *Spread) Follow(viewer Viewer, followers ...Follower) {
	s.viewer = viewer
	s.followers = followers
}

// Start begins to poll and to talk to peers.
func (s *Spread) Start() {
	s.group.Go(s.followStore)
	s.group.Go(s.followPeers)
}

// Close stops and waits; the control thread must still run.
func (s *Spread) Close() { s.group.Close() }

// Handlers are the remote methods that the part answers.
func (s *Spread) Handlers() []peer.Handler {
	return []peer.Handler{
		Sync.Handle(s.handleSync),
		Push.Handle(s.handlePush),
		FetchText.Handle(s.handleFetchText),
		FetchKeys.Handle(s.handleFetchKeys),
		PageKeys.Handle(s.handlePageKeys),
	}
}

// Text returns the text in force.
func (s *Spread) Text() *conf.Text { return s.text.Load() }

// Stamp returns the revision and digest in force.
func (s *Spread) Stamp() conf.Stamp { return *s.stamp.Load() }

// Ready tells whether a text is in force that may be served.
func (s *Spread) Ready() bool { return s.ready.Load() }

// Fresh tells whether callers' keys may be relied on.
func (s *Spread) Fresh() bool {
	return s.sets[keys.CallerKind].Fresh(s.common.Clock.Now())
}

// StoreReachable tells whether the table service answered when it was due.
func (s *Spread) StoreReachable() bool {
	heard := s.storeHeard.Load()
	return heard != nil && s.common.Clock.Now().Sub(*heard) < s.pollPause()+pollSlack
}

// pollPause is the time between two polls of the table service.
func (s *Spread) pollPause() time.Duration {
	return pollInterval + time.Duration(len(s.viewer.View().Members))*pollShare
}

// Keys returns the keys of one kind, for checks.
func (s *Spread) Keys(kind keys.Kind) *keys.Keys { return s.sets[kind] }

// Tick ends every open stream when the keys may no longer be relied on; it
// runs on the control thread.
func (s *Spread) Tick(now time.Time) {
	fresh := s.sets[keys.CallerKind].Fresh(now)
	if s.wasFresh && !fresh {
		cut := s.watch.CancelAll()
		s.common.Log.Warn("Neither platform nor peers were heard. Calls were cut.", "calls", cut)
	}
	s.wasFresh = fresh
	s.ready.Store(s.ledger.Ready())
}

// Seed makes the first admin key work.
func (s *Spread) Seed(ctx context.Context, h keys.Hash) error {
	return s.thread.Do(ctx, func(time.Time) { s.sets[keys.AdminKind].Seed(h) })
}

// Accepted brings an edit of this instance's operators into force here and
// pushes it to every peer. Like KeyChanged it waits for a majority: the text
// then outlives this instance, also while the table service is down.
func (s *Spread) Accepted(ctx context.Context, head conf.Head) error {
	err := s.thread.Do(ctx, func(now time.Time) { s.learnHead(head, conf.FromStore, now) })
	acks := s.pushToAll(&PushMessage{Instance: s.self, Head: &head}, head.Revision)
	if err != nil {
		return err
	}
	acks.hear(s.self, head.Revision)
	if !acks.wait(ctx, syncTimeout) {
		s.common.Log.Warn("A text is not yet known to a majority.", "revision", head.Revision)
	}
	return nil
}

// KeyChanged brings a change of a key into force here and pushes it to every
// peer. It returns once a majority knows the change, or after a bound; the
// rest learns it from the table service.
func (s *Spread) KeyChanged(ctx context.Context, kind keys.Kind, change keys.Change) error {
	var revision int64
	err := s.thread.Do(ctx, func(time.Time) {
		s.cut(s.sets[kind].Push(change))
		revision = s.sets[kind].Revision()
	})
	if err != nil {
		return err
	}
	acks := s.pushToAll(&PushMessage{Instance: s.self, Kind: kind, Change: &change}, change.Revision)
	acks.hear(s.self, revision)
	if !acks.wait(ctx, syncTimeout) {
		s.common.Log.Warn("A change of a key is not yet known to a majority.", "revision", change.Revision)
	}
	return nil
}

// pushToAll pushes what came with the revision to every peer and returns where
// their replies are counted.
func (s *Spread) pushToAll(q *PushMessage, revision int64) *majority {
	peers := s.peers()
	acks := newMajority(revision, len(peers)+1)
	s.push(peers, q, func(instance string, reply *PushReply) { acks.hear(instance, reply.Revision) })
	return acks
}

// learnHead takes a text that was read or pushed.
func (s *Spread) learnHead(head conf.Head, from string, now time.Time) {
	changed, err := s.ledger.Learn(head, from)
	if err != nil {
		s.common.Log.Error("A text was refused.", "from", from, "error", err)
	}
	s.ready.Store(s.ledger.Ready())
	if !changed {
		return
	}
	old := s.text.Load()
	text := s.ledger.Text()
	stamp := s.ledger.Stamp()
	s.text.Store(&text)
	s.stamp.Store(&stamp)
	s.common.Log.Info("A text is in force.", "revision", stamp.Revision, "from", from)
	for _, f := range s.followers {
		f.SetText(old, &text, now)
	}
}

func (s *Spread) cut(withdrawn []keys.Hash) {
	if len(withdrawn) == 0 {
		return
	}
	calls := s.watch.Cancel(withdrawn)
	s.common.Log.Info("Keys were withdrawn.", "keys", len(withdrawn), "callsCut", calls)
}

func (s *Spread) peers() []store.Instance {
	view := s.viewer.View()
	out := make([]store.Instance, 0, len(view.Members))
	for _, m := range view.Members {
		if m.Instance.Name != s.self {
			out = append(out, m.Instance)
		}
	}
	return out
}

// Head returns the text in force as it is kept in the table service.
func (s *Spread) Head(ctx context.Context) (conf.Head, error) {
	var head conf.Head
	err := s.thread.Do(ctx, func(time.Time) { head = s.ledger.Head() })
	return head, err
}
