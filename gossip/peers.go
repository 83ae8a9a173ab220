package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/keys"
	"github.com/buckthorntide/buckthorntide/peer"
	"github.com/buckthorntide/buckthorntide/store"
)

// followPeers syncs with one peer a round, or with all of them while the table
// service is unreachable: half of the fleet must then reply. It checks often
// whether the table service is reachable, since keys stay fresh for little longer
// than one poll interval.
func (s *Gossip) followPeers(ctx context.Context) {
	var due time.Time
	wasReachable := false
	for group.Sleep(ctx, reachabilityInterval) {
		now := s.common.Clock.Now()
		reachable := s.StoreReachable()
		if now.Before(due) && reachable == wasReachable {
			continue
		}
		due, wasReachable = now.Add(syncInterval), reachable
		s.syncRound(ctx, reachable)
	}
}

func (s *Gossip) syncRound(ctx context.Context, reachable bool) {
	peers := s.peers()
	s.setQuorumPeers(ctx, len(peers)+1)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if reachable {
		peers = peers[:min(len(peers), peersPerRound)]
	}
	for _, p := range peers {
		s.group.Go(func(ctx context.Context) { s.syncWith(ctx, p) })
	}
}

// setQuorumPeers sets how many peers must reply in place of the table service.
func (s *Gossip) setQuorumPeers(ctx context.Context, instances int) {
	quorum := keys.QuorumPeers(instances)
	_ = s.thread.Post(ctx, func(time.Time) {
		s.replica.SetQuorumPeers(quorum)
		for _, set := range s.sets {
			set.SetQuorumPeers(quorum)
		}
	})
}

func (s *Gossip) syncWith(ctx context.Context, p store.Instance) {
	callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	sent := s.common.Clock.Now()
	var q SyncMessage
	if s.thread.Do(ctx, func(now time.Time) { q = s.state(now) }) != nil {
		return
	}
	conn, err := s.conns.To(p.Address)
	if err != nil {
		return
	}
	reply, err := Sync.Call(callCtx, conn, &q)
	if err != nil {
		return
	}
	s.learnState(ctx, p, reply, sent)
}

func (s *Gossip) learnState(ctx context.Context, p store.Instance, reply *SyncMessage, sent time.Time) {
	var (
		behind  bool
		callers keys.SyncResult
		admins  keys.SyncResult
	)
	err := s.thread.Do(ctx, func(time.Time) {
		behind = s.replica.ObserveStamp(reply.Stamp, reply.Instance)
		callers = s.sets[keys.CallerKind].LearnPeer(reply.Callers, sent)
		admins = s.sets[keys.AdminKind].LearnPeer(reply.Admins, sent)
	})
	if err != nil {
		return
	}
	if behind {
		s.fetchText(ctx, p)
	}
	s.fetchKeys(ctx, p, keys.CallerKind, callers)
	s.fetchKeys(ctx, p, keys.AdminKind, admins)
}

func (s *Gossip) fetchText(ctx context.Context, p store.Instance) {
	conn, err := s.conns.To(p.Address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	head, err := FetchText.Call(ctx, conn, &FetchTextRequest{})
	if err != nil {
		return
	}
	_ = s.thread.Do(ctx, func(now time.Time) { s.learnHead(*head, p.Name, now) })
}

func (s *Gossip) fetchKeys(ctx context.Context, p store.Instance, kind keys.Kind, learned keys.SyncResult) {
	if !learned.Fetch && !learned.Reload {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	if learned.Fetch {
		learned = s.fetchSince(ctx, p, kind)
	}
	if learned.Reload {
		s.pageKeys(ctx, p, kind)
	}
}

func (s *Gossip) fetchSince(ctx context.Context, p store.Instance, kind keys.Kind) keys.SyncResult {
	var learned keys.SyncResult
	conn, err := s.conns.To(p.Address)
	if err != nil {
		return learned
	}
	q := &FetchKeysRequest{Kind: kind}
	if s.thread.Do(ctx, func(time.Time) { q.After = s.sets[kind].Revision() }) != nil {
		return learned
	}
	reply, err := FetchKeys.Call(ctx, conn, q)
	if err != nil {
		return learned
	}
	_ = s.thread.Do(ctx, func(time.Time) {
		learned = s.sets[kind].LearnSince(reply.Changes, reply.Complete)
		s.cancelStreams(learned.Withdrawn)
	})
	return learned
}

// pageKeys reads a peer's complete set of keys. The set has the revision that the
// peer had before the first page.
func (s *Gossip) pageKeys(ctx context.Context, p store.Instance, kind keys.Kind) {
	conn, err := s.conns.To(p.Address)
	if err != nil {
		return
	}
	q := &PageKeysRequest{Kind: kind}
	revision := int64(-1)
	for {
		reply, err := PageKeys.Call(ctx, conn, q)
		if err != nil {
			return
		}
		if revision < 0 {
			revision = reply.Revision
		}
		err = s.thread.Do(ctx, func(time.Time) {
			s.cancelStreams(s.sets[kind].LearnPage(reply.Page))
			if reply.Last {
				s.sets[kind].FinishLoad(revision)
			}
		})
		if err != nil || reply.Last {
			return
		}
		q.After = reply.Page[len(reply.Page)-1].Hash
	}
}

// push sends a change to the peers. A peer that misses it receives it by Sync or
// from the table service. onReply is called with each peer's reply.
func (s *Gossip) push(peers []store.Instance, q *PushMessage, onReply func(instance string, reply *PushReply)) {
	for _, p := range peers {
		s.group.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, syncTimeout)
			defer cancel()
			reply, err := s.pushTo(ctx, p, q)
			if err != nil {
				s.common.Log.Debug("push to a peer failed", "instance", p.Name, "error", err)
				return
			}
			onReply(p.Name, reply)
		})
	}
}

func (s *Gossip) pushTo(ctx context.Context, p store.Instance, q *PushMessage) (*PushReply, error) {
	conn, err := s.conns.To(p.Address)
	if err != nil {
		return nil, err
	}
	return Push.Call(ctx, conn, q)
}

func (s *Gossip) state(now time.Time) SyncMessage {
	return SyncMessage{
		Instance: s.self,
		Stamp:    s.replica.Stamp(),
		Callers:  s.sets[keys.CallerKind].State(s.self, now),
		Admins:   s.sets[keys.AdminKind].State(s.self, now),
	}
}

func (s *Gossip) handleSync(ctx context.Context, _ *SyncMessage) (*SyncMessage, error) {
	var reply SyncMessage
	if err := s.thread.Do(ctx, func(now time.Time) { reply = s.state(now) }); err != nil {
		return nil, err
	}
	return &reply, nil
}

func (s *Gossip) handlePush(ctx context.Context, q *PushMessage) (*PushReply, error) {
	if q.Change != nil && s.sets[q.Kind] == nil {
		return nil, peer.NotHome()
	}
	reply := &PushReply{}
	err := s.thread.Do(ctx, func(now time.Time) {
		if q.Head != nil {
			s.learnHead(*q.Head, q.Instance, now)
			reply.Revision = s.replica.Head().Revision
		}
		if q.Change != nil {
			s.cancelStreams(s.sets[q.Kind].Push(*q.Change))
			reply.Revision = s.sets[q.Kind].Revision()
		}
	})
	if err != nil || q.Change == nil || reply.Revision >= q.Change.Revision {
		return reply, err
	}
	return s.closeGap(ctx, q, reply), nil
}

// closeGap fetches the changes that precede a pushed one from the peer that sent
// the push.
func (s *Gossip) closeGap(ctx context.Context, q *PushMessage, reply *PushReply) *PushReply {
	pusher, ok := s.viewer.View().Member(q.Instance)
	if !ok {
		return reply
	}
	s.fetchKeys(ctx, pusher.Instance, q.Kind, keys.SyncResult{Fetch: true})
	_ = s.thread.Do(ctx, func(time.Time) { reply.Revision = s.sets[q.Kind].Revision() })
	return reply
}

func (s *Gossip) handleFetchText(ctx context.Context, _ *FetchTextRequest) (*conf.Head, error) {
	var head conf.Head
	if err := s.thread.Do(ctx, func(time.Time) { head = s.replica.Head() }); err != nil {
		return nil, err
	}
	return &head, nil
}

func (s *Gossip) handleFetchKeys(ctx context.Context, q *FetchKeysRequest) (*FetchKeysReply, error) {
	set := s.sets[q.Kind]
	if set == nil {
		return nil, peer.NotHome()
	}
	reply := &FetchKeysReply{}
	err := s.thread.Do(ctx, func(time.Time) { reply.Changes, reply.Complete = set.Since(q.After) })
	return reply, err
}

func (s *Gossip) handlePageKeys(ctx context.Context, q *PageKeysRequest) (*PageKeysReply, error) {
	set := s.sets[q.Kind]
	if set == nil {
		return nil, peer.NotHome()
	}
	reply := &PageKeysReply{}
	err := s.thread.Do(ctx, func(time.Time) {
		reply.Revision = set.Revision()
		reply.Page = set.Page(q.After, pageSize)
		reply.Last = len(reply.Page) < pageSize
	})
	return reply, err
}
