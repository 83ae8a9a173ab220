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
	// readTimeout bounds the first read of a turn, before peers are asked; a read
	// takes about 10 ms.
	readTimeout = 150 * time.Millisecond
	// slowReadTimeout bounds the second read, if no peer has the turn either.
	slowReadTimeout = 700 * time.Millisecond
	// expireInterval is the time between sweeps of the cache.
	expireInterval = 5 * time.Second
)

type (
	// Peers are the other instances.
	Peers interface {
		// Find asks all of them for a turn and returns nil if none has it cached.
		Find(ctx context.Context, id string) *Turn
	}

	// Config holds the size limits of a keeper.
	Config struct {
		// RowBytes is the maximum size of a row's value.
		RowBytes int
		// CacheBytes bounds the size of the cache.
		CacheBytes int
		// StoreLost reports whether this instance doesn't reach the store.
		StoreLost func() bool
	}

	// Keeper stores and looks up turns, with a cache. It is safe for concurrent
	// use.
	Keeper struct {
		log    hclog.Logger
		store  rows.Store
		peers  Peers
		config Config
		cache  *cache
		group  *group.Group
	}
)

// NewKeeper returns a keeper and starts the sweeps of its cache; Close must be
// called.
func NewKeeper(log hclog.Logger, store rows.Store, peers Peers, config Config) *Keeper {
	k := &Keeper{
		log:    log,
		store:  store,
		peers:  peers,
		config: config,
		cache:  newCache(config.CacheBytes),
		group:  group.NewGroup(context.Background()),
	}
	k.group.Go(k.run)
	return k
}

// Close stops the sweeps and waits for them.
func (k *Keeper) Close() { k.group.Close() }

// Keep writes the turn to the store, with retries until the context ends.
// ErrNotKept means that the store may not have the turn.
func (k *Keeper) Keep(ctx context.Context, t *Turn) error {
	txn, err := encode(t, k.config.RowBytes)
	if err != nil {
		return errors.WithType(err, ErrNotKept)
	}
	if _, err = rows.CommitUntilKnown(ctx, k.store, txn); err != nil {
		k.log.Warn("store did not accept the turn in time", "turn", t.ID, "error", err)
		return errors.WithType(err, ErrNotKept)
	}
	k.cache.put(t, common.Uptime()+t.Retention)
	return nil
}

// Cached returns the turn if it is in this instance's cache, or nil.
func (k *Keeper) Cached(id string) *Turn {
	t, _ := k.cache.get(id)
	return t
}

// Chain returns the team's turn with the ID and its ancestors, the oldest first.
// ErrNoTurn means that the turn does not exist, ErrUncertain that this can't be
// determined now.
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
			// The last turn exists, so its ancestors exist too.
			return nil, errors.Annotate(ErrUncertain, err.Error())
		}
	}
	return chain, nil
}

// find looks a turn up in the cache and then in the store, which is authoritative:
// a turn is stored before its answer ends. If the read fails, it asks the peers if
// the store is lost, and reads once more with a longer timeout if it is only slow:
// a question to all instances for each slow read would slow down all of them.
func (k *Keeper) find(ctx context.Context, id string) (*Turn, error) {
	if t, ok := k.cache.get(id); ok {
		return t, nil
	}
	t, err := k.read(ctx, id, readTimeout)
	if err != nil && !errors.Is(err, ErrNoTurn) {
		if k.config.StoreLost() {
			t = k.peers.Find(ctx, id)
		}
		if t == nil {
			t, err = k.read(ctx, id, slowReadTimeout)
		}
	}
	if t == nil {
		return nil, err
	}
	k.cache.put(t, common.Uptime()+t.Retention)
	return t, nil
}

func (k *Keeper) read(ctx context.Context, id string, timeout time.Duration) (*Turn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	page, err := k.store.Range(ctx, query(id))
	if err != nil {
		return nil, errors.WithType(err, ErrUncertain)
	}
	return decode(id, page.Rows)
}

// run sweeps the cache.
func (k *Keeper) run(ctx context.Context) {
	for group.Sleep(ctx, expireInterval) {
		k.cache.expire(common.Uptime())
	}
}
