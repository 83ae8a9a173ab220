package gossip

import (
	"cmp"
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/keys"
	"github.com/buckthorntide/buckthorntide/store"
)

// followStore polls the table service, which recovers changes whose push was lost.
func (s *Gossip) followStore(ctx context.Context) {
	for {
		if err := s.poll(ctx); err != nil && ctx.Err() == nil {
			s.common.Log.Debug("polling the table service failed", "error", err)
		}
		if !group.Sleep(ctx, s.storePollInterval()) {
			return
		}
	}
}

func (s *Gossip) poll(ctx context.Context) error {
	if err := s.pollText(ctx); err != nil {
		return err
	}
	for _, kind := range []keys.Kind{keys.CallerKind, keys.AdminKind} {
		if err := s.pollKeys(ctx, kind); err != nil {
			return err
		}
	}
	return nil
}

// pollText reads the stamp, and the text only if the stamp is newer.
func (s *Gossip) pollText(ctx context.Context) error {
	row, err := s.get(ctx, conf.StampKey)
	if err != nil {
		return err
	}
	stamp, err := conf.DecodeStamp(row)
	if err != nil {
		return err
	}
	behind := false
	err = s.thread.Do(ctx, func(time.Time) { behind = s.replica.ObserveStamp(stamp, conf.FromStore) })
	if err != nil || !behind {
		return err
	}
	if row, err = s.get(ctx, conf.HeadKey); err != nil {
		return err
	}
	head, err := conf.DecodeHead(row)
	if err != nil {
		return err
	}
	return s.thread.Do(ctx, func(now time.Time) { s.learnHead(head, conf.FromStore, now) })
}

func (s *Gossip) pollKeys(ctx context.Context, kind keys.Kind) error {
	sent := s.common.Clock.Now()
	row, err := s.get(ctx, kind.HeadKey())
	if err != nil {
		return err
	}
	var learned keys.SyncResult
	doErr := s.thread.Do(ctx, func(time.Time) {
		learned, err = s.sets[kind].LearnHead(row, sent)
		s.cancelStreams(learned.Withdrawn)
	})
	if doErr != nil || err != nil {
		return errors.Trace(cmp.Or(doErr, err))
	}
	if !learned.Reload {
		return nil
	}
	head, err := keys.DecodeHead(row)
	if err != nil {
		return err
	}
	if err := s.loadKeys(ctx, kind, head.Revision); err != nil {
		return err
	}
	return s.thread.Do(ctx, func(time.Time) {
		learned, err := s.sets[kind].LearnHead(row, sent)
		if err == nil {
			s.cancelStreams(learned.Withdrawn)
		}
	})
}

// loadKeys reads the complete set of keys from the table service.
func (s *Gossip) loadKeys(ctx context.Context, kind keys.Kind, revision int64) error {
	after := ""
	for {
		rows, err := s.table.Range(ctx, kind.RowPrefix(), after, pageSize)
		if err != nil {
			return err
		}
		var learnErr error
		err = s.thread.Do(ctx, func(time.Time) {
			withdrawn, err := s.sets[kind].LearnRows(rows)
			s.cancelStreams(withdrawn)
			learnErr = err
		})
		if err != nil {
			return err
		}
		if learnErr != nil {
			s.common.Log.Error("row of a key can't be decoded", "error", learnErr)
		}
		if len(rows) < pageSize {
			return s.thread.Do(ctx, func(time.Time) { s.sets[kind].FinishLoad(revision) })
		}
		after = rows[len(rows)-1].Key
	}
}

// get reads a row; an absent one has version zero.
func (s *Gossip) get(ctx context.Context, key string) (store.Row, error) {
	row, err := s.table.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return store.Row{}, errors.Trace(err)
	}
	now := s.common.Clock.Now()
	s.lastStoreReply.Store(&now)
	s.viewer.PlatformContacted(ctx)
	if err != nil {
		return store.Row{Key: key}, nil
	}
	return row, nil
}
