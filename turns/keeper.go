package turns

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/rows"
)

const (
	// storeWait is how long a turn's end waits for the store before other
	// instances are asked to hold the turn; a commit takes some 10 ms.
	storeWait = 120 * time.Millisecond
	// flushPause is the time between two tries to write a turn that the store
	// did not take.
	flushPause = 300 * time.Millisecond
	// flushWait bounds one such try.
	flushWait = time.Second
	// lookupWait bounds one read of a turn.
	lookupWait = 150 * time.Millisecond
	// lookupTries is how often a read that fails is tried.
	lookupTries = 3
	// expireInterval is the time between two sweeps of the cache.
	expireInterval = 5 * time.Second
)

type (
	// Mates are the other instances.
	Mates interface {
		// Hold hands the turn to instances of other failure domains and returns
		// how many hold it now.
		Hold(ctx context.Context, t *Turn) int
		// Find asks all instances for turns. The second result tells whether
		// every one answered.
		Find(ctx context.Context, ids []string) ([]Turn, bool)
	}

	// Config has the sizes of a keeper.
	Config struct {
		// RowBytes is the largest value of a row.
		RowBytes int
		// CacheBytes bounds the turns that are kept in memory.
		CacheBytes int
	}

	// Keeper keeps and finds turns. It is safe for concurrent use.
	Keeper struct {
		log    hclog.Logger
		store  rows.Store
		mates  Mates
		config Config
		cache  *cache
		group  *group.Group
		mu     sync.Mutex
		// unsaved are the turns that the store has not taken yet.
		unsaved map[string]*Turn
	}
)

// NewKeeper returns a keeper; Close must be called.
func NewKeeper(log hclog.Logger, store rows.Store, mates Mates, config Config) *Keeper {
	k := &Keeper{
		log:     log,
		store:   store,
		mates:   mates,
		config:  config,
		cache:   newCache(config.CacheBytes),
		group:   group.NewGroup(context.Background()),
		unsaved: make(map[string]*Turn),
	}
	k.group.Go(k.run)
	return k
}

// Close stops writing and waits for the writers.
func (k *Keeper) Close() { k.group.Close() }

// Unsaved returns how many turns the store has not taken yet.
func (k *Keeper) Unsaved() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.unsaved)
}

// Keep makes the turn findable from every instance. ErrNotKept means that
// only this instance holds it so far; it goes on trying.
func (k *Keeper) Keep(ctx context.Context, t *Turn) error {
	k.cache.put(t, common.Uptime()+t.Retention)
	txn, err := encode(t, k.config.RowBytes)
	if err != nil {
		return errors.WithType(err, ErrNotKept)
	}
	ctx, cancel := context.WithTimeout(ctx, storeWait)
	defer cancel()
	if _, err = rows.Settle(ctx, k.store, txn); err == nil {
		return nil
	}
	k.later(t)
	held := k.mates.Hold(context.WithoutCancel(ctx), t)
	k.log.Warn("The store did not take a turn, it is written later.", "turn", t.ID, "held", held, "error", err)
	if held == 0 {
		return ErrNotKept
	}
	return nil
}

// Hold keeps a turn for another instance until the store has it.
func (k *Keeper) Hold(t *Turn) {
	k.cache.put(t, common.Uptime()+t.Retention)
	k.later(t)
}

// Held returns those of the turns that are in this instance's memory.
func (k *Keeper) Held(ids []string) []Turn {
	var found []Turn
	for _, id := range ids {
		if t, ok := k.recall(id); ok {
			found = append(found, *t)
		}
	}
	return found
}

// Chain returns the turns of the team up to the one of the ID, the oldest
// first. ErrNoTurn means that there is none, ErrUncertain that it can't be
// told.
func (k *Keeper) Chain(ctx context.Context, team, id string) ([]*Turn, error) {
	last, err := k.find(ctx, id)
	if err != nil {
		return nil, err
	}
	if last.Team != team {
		return nil, errors.Annotate(ErrNoTurn, "turn of another team")
	}
	chain := make([]*Turn, len(last.Ancestors)+1)
	chain[len(last.Ancestors)] = last
	failed := make([]error, len(last.Ancestors))
	var wg sync.WaitGroup
	for i, ancestor := range last.Ancestors {
		wg.Go(func() { chain[i], failed[i] = k.find(ctx, ancestor) })
	}
	wg.Wait()
	for _, err := range failed {
		if err != nil {
			// The last turn exists, so its ancestors do.
			return nil, errors.WithType(err, ErrUncertain)
		}
	}
	return chain, nil
}

func (k *Keeper) recall(id string) (*Turn, bool) {
	if t, ok := k.cache.get(id); ok {
		return t, true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	t, ok := k.unsaved[id]
	return t, ok
}

// find looks in memory, then in the store, then at the other instances.
func (k *Keeper) find(ctx context.Context, id string) (*Turn, error) {
	if t, ok := k.recall(id); ok {
		return t, nil
	}
	t, err := k.read(ctx, id)
	if err == nil {
		k.cache.put(t, common.Uptime()+t.Retention)
		return t, nil
	}
	found, all := k.mates.Find(ctx, []string{id})
	for i := range found {
		if found[i].ID == id {
			k.cache.put(&found[i], common.Uptime()+found[i].Retention)
			return &found[i], nil
		}
	}
	if errors.Is(err, ErrNoTurn) && all {
		return nil, err
	}
	return nil, errors.WithType(err, ErrUncertain)
}

func (k *Keeper) read(ctx context.Context, id string) (*Turn, error) {
	var err error
	for range lookupTries {
		var page rows.Page
		page, err = k.readOnce(ctx, id)
		if err == nil {
			return decode(id, page.Rows)
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, errors.WithType(err, ErrUncertain)
}

func (k *Keeper) readOnce(ctx context.Context, id string) (rows.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupWait)
	defer cancel()
	return k.store.Range(ctx, query(id))
}

func (k *Keeper) later(t *Turn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unsaved[t.ID] = t
}

// run writes what the store did not take.
func (k *Keeper) run(ctx context.Context) {
	expireAt := common.Uptime() + expireInterval
	for group.Sleep(ctx, flushPause) {
		k.flush(ctx)
		if now := common.Uptime(); now > expireAt {
			k.cache.expire(now)
			expireAt = now + expireInterval
		}
	}
}

func (k *Keeper) flush(ctx context.Context) {
	for _, t := range k.pending() {
		if !k.flushOne(ctx, t) {
			return
		}
	}
}

func (k *Keeper) pending() []*Turn {
	k.mu.Lock()
	defer k.mu.Unlock()
	pending := make([]*Turn, 0, len(k.unsaved))
	for _, t := range k.unsaved {
		pending = append(pending, t)
	}
	return pending
}

func (k *Keeper) flushOne(ctx context.Context, t *Turn) bool {
	txn, err := encode(t, k.config.RowBytes)
	if err != nil {
		k.log.Error("A turn can't be encoded.", "turn", t.ID, "error", err)
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, flushWait)
	defer cancel()
	if _, err = k.store.Commit(ctx, txn); err != nil {
		k.log.Debug("A turn still waits for the store.", "turn", t.ID, "error", err)
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.unsaved, t.ID)
	return true
}
