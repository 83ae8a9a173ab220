// Package watch maintains the view of the deployment from the store's change feeds
// and tracks the age of that view.
package watch

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/rows"
	"github.com/buckthorntide/buckthorntide/site"
)

// errOldRead is the error of a read that shows an older state than the one known,
// as reads may while the store drops its history.
const errOldRead = errors.ConstError("read of the table is out of date")

// peersAsked stands among the unread tables until other instances were asked once.
const peersAsked = ""

const (
	// feedHoldTime is how long the store holds a call without changes (long poll).
	// The age of keys counts from a call's start, so it also bounds their age while
	// nothing changes.
	feedHoldTime = 700 * time.Millisecond
	// feedMargin is how much longer than the hold time a call may take.
	feedMargin = 700 * time.Millisecond
	// readTimeout bounds the read of a whole table, and answerTimeout the
	// first try of one call of it.
	readTimeout   = 1500 * time.Millisecond
	answerTimeout = 400 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the backoff after a failed call.
	minRetryDelay = 40 * time.Millisecond
	maxRetryDelay = 200 * time.Millisecond
	// maxCompactions is how many consecutive compactions of a table's history make the
	// pause before it is read again longer.
	maxCompactions = 3
	// upstreamInterval is the pause between calls for the upstreams table, to which
	// every upstream writes its heartbeats; it batches the changes.
	upstreamInterval = 400 * time.Millisecond
	// ownHoldTime is how long the store holds a call for one of the project's own
	// tables without changes.
	ownHoldTime = 5 * time.Second
	// missingGrace is how long an upstream's entry may be missing after a store
	// outage; live upstreams have written it again by then.
	missingGrace = 2200 * time.Millisecond
	// maxConcurrentReads bounds the concurrent reads of a table's parts. The whole
	// read must end within readTimeout even if each call takes 200 ms.
	maxConcurrentReads = 8
	// pageRows is the store's maximum page size.
	pageRows = 500
	// mainPart is the only part of the platform's own tables.
	mainPart = ""
)

type (
	// Decoder decodes the rows that the platform writes.
	Decoder interface {
		// Tables returns the names of the operator's and the upstreams table.
		Tables() (operator, upstreams string)
		// Config decodes the row if it holds the configuration.
		Config(row rows.Row) (*site.Config, bool, error)
		// DomainOut returns the failure domain that the row takes out of service.
		DomainOut(id rows.ID) (string, bool)
		// Upstream decodes an upstream's row.
		Upstream(row rows.Row, now time.Duration) (*site.Upstream, error)
	}

	// Peers asks other instances for their rows.
	Peers interface {
		// Updates returns another instance's rows that are newer than the positions,
		// and their age; ok is false if no instance answered.
		Updates(ctx context.Context, known Positions) (updates Updates, ok bool)
		// Instances returns how many instances there are.
		Instances() int
	}

	// Positions are the versions up to which the tables were read, by table.
	Positions map[string]int64

	// Updates are rows of the required tables, including deleted ones.
	Updates struct {
		// Age is the maximum age of the sender's view of the operator's table.
		Age time.Duration `json:"age"`
		// Known is false if the sender has not read every required table yet.
		Known bool `json:"known"`
		// Reached is how long the sender had reached the store without interruption
		// that long ago.
		Reached time.Duration `json:"reached"`
		Rows    []rows.Row    `json:"rows"`
		// Whole names the tables of which Rows has all, since the sender doesn't know
		// which rows were removed since the receiver's position.
		Whole []string `json:"whole,omitempty"`
		// Positions are the sender's own.
		Positions Positions `json:"positions"`
	}

	// Events are called whenever a call for the operator's table succeeds or fails.
	Events struct {
		Works func()
		Lost  func()
	}

	// Watcher follows the store's feeds. View, Age and Away may be called at any
	// time.
	Watcher struct {
		log       hclog.Logger
		store     rows.Store
		decoder   Decoder
		peers     Peers
		events    Events
		group     *group.Group
		startedAt time.Duration
		view      atomic.Pointer[site.View]
		freshAt   atomic.Int64
		reach     reach
		// complete is set once every required table was read.
		complete  atomic.Bool
		storeDown atomic.Bool
		// applying is held while changes of tables are applied, since both the store
		// and peers tell of them.
		applying   sync.Mutex
		mu         sync.Mutex
		config     *site.Config
		domainsOut map[string]bool
		upstreams  map[string]*site.Upstream
		// known are the rows that were applied, including deleted ones.
		known     map[rows.ID]rows.Row
		positions Positions
		// wholeAt are the versions at which the tables were last read whole: removals
		// before them may not be among the known rows.
		wholeAt Positions
		// readAt are the times up to which the tables were read from the store.
		readAt map[string]time.Duration
		// required are the tables that this instance must know, and that it tells
		// others; feeds are those that are followed. unread are those not read yet.
		required map[string]bool
		feeds    map[string]feed
		unread   map[string]bool
		// missing maps upstreams whose entries were deleted shortly after a feed
		// failure to the time at which they are dropped.
		missing map[string]time.Duration
		// feedFailedAt is when the upstreams feed last failed.
		feedFailedAt time.Duration
	}

	// feed follows one table.
	feed struct {
		table string
		// parts are read at the start; nil stands for all that have rows.
		parts    []string
		interval time.Duration
		holdTime time.Duration
		// whole applies a complete read of the table, rows one change.
		whole func(found []rows.Row)
		rows  func(found []rows.Row)
		// fresh is called after each successful call with its start time.
		fresh func(at time.Duration)
		// prober reads the changes while the store is lost, if it is set.
		prober *prober
		// failed is called after each failed call.
		failed func()
	}
)

// NewWatcher returns a watcher; Start starts it. The peers provide rows while the
// store is unreachable from this instance.
func NewWatcher(log hclog.Logger, store rows.Store, decoder Decoder, peers Peers, events Events) *Watcher {
	w := &Watcher{
		log:        log,
		store:      store,
		decoder:    guardedDecoder{decoder},
		group:      group.NewGroup(context.Background()),
		startedAt:  common.Uptime(),
		domainsOut: make(map[string]bool),
		upstreams:  make(map[string]*site.Upstream),
		known:      make(map[rows.ID]rows.Row),
		missing:    make(map[string]time.Duration),
		positions:  make(Positions),
		wholeAt:    make(Positions),
		readAt:     make(map[string]time.Duration),
		required:   make(map[string]bool),
		feeds:      make(map[string]feed),
		unread:     map[string]bool{peersAsked: true},
		peers:      peers,
		events:     events,
	}
	w.view.Store(site.NewView(nil, nil, nil))
	operator, upstreams := decoder.Tables()
	w.Require(operator)
	w.Require(upstreams)
	return w
}

// Start starts to follow the operator's and the upstreams table.
func (w *Watcher) Start() {
	operator, upstreams := w.decoder.Tables()
	w.follow(feed{
		table:    operator,
		parts:    []string{mainPart},
		holdTime: feedHoldTime,
		whole:    w.wholeOperator,
		rows:     w.operatorRows,
		fresh:    w.operatorFresh,
		prober:   newProber(w),
		failed:   w.operatorFailed,
	})
	w.follow(feed{
		table:    upstreams,
		parts:    []string{mainPart},
		interval: upstreamInterval,
		holdTime: feedHoldTime,
		whole:    w.wholeUpstreams,
		rows:     w.upstreamRows,
		fresh:    func(time.Duration) {},
		failed:   w.upstreamsFailed,
	})
	w.group.Go(w.expireMissing)
	w.group.Go(w.pollPeers)
}

// Require makes Age report nothing before the table was read, and lets instances
// tell each other its rows. It must be called before Start.
func (w *Watcher) Require(table string) { w.required[table], w.unread[table] = true, true }

// wasRead records that the tables were read completely.
func (w *Watcher) wasRead(tables ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, table := range tables {
		delete(w.unread, table)
	}
	if len(w.unread) == 0 && !w.complete.Swap(true) {
		w.log.Info("all required tables read")
	}
}

// Follow follows one of the project's own tables until Close, with a pause after
// each change.
func (w *Watcher) Follow(table string, pause time.Duration, whole, changes func(found []rows.Row)) {
	w.follow(feed{
		table:    table,
		interval: pause,
		holdTime: ownHoldTime,
		whole: func(found []rows.Row) {
			w.remember(found)
			whole(found)
		},
		rows:   func(found []rows.Row) { changes(w.remember(found)) },
		fresh:  func(time.Duration) {},
		failed: func() {},
	})
}

// Close stops following and waits for it.
func (w *Watcher) Close() { w.group.Close() }

// View returns the current view. It is never nil.
func (w *Watcher) View() *site.View { return w.view.Load() }

// Age returns the maximum age of the view of the operator's table; ok is false
// before every required table was read.
func (w *Watcher) Age(now time.Duration) (age time.Duration, ok bool) {
	at := time.Duration(w.freshAt.Load())
	return now - at, at > 0 && w.complete.Load()
}

func (w *Watcher) setFreshAt(at time.Duration) {
	for {
		old := w.freshAt.Load()
		if int64(at) <= old || w.freshAt.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

func (w *Watcher) follow(f feed) {
	w.mu.Lock()
	w.feeds[f.table] = f
	w.mu.Unlock()
	w.group.Go(func(ctx context.Context) {
		var version int64
		delay := minRetryDelay
		lost, compacted := false, false
		// compactions counts those since the last changes that were read.
		compactions := 0
		for ctx.Err() == nil {
			if version == 0 && !compacted {
				// Other instances may have told more than nothing.
				version = w.position(f.table)
			}
			next, err := w.fetch(ctx, f, version, lost)
			if err == nil && next > 0 {
				if lost {
					w.log.Info("table feed recovered", "table", f.table, "version", next)
				}
				if version > 0 {
					compactions = 0
				}
				lost, compacted, version, delay = false, false, next, minRetryDelay
				group.Sleep(ctx, f.interval)
				continue
			}
			if err == nil {
				// The store is still empty.
				group.Sleep(ctx, maxRetryDelay)
				continue
			}
			if errors.Is(err, rows.ErrHistoryGone) {
				if compactions == 0 {
					w.log.Info("table history compacted; reading the table again", "table", f.table, "after", version)
				} else {
					group.Sleep(ctx, min(minRetryDelay<<min(compactions, maxCompactions), maxRetryDelay))
				}
				compactions++
				version, compacted = 0, true
				continue
			}
			f.failed()
			if !lost && ctx.Err() == nil {
				w.log.Warn("table feed failed", "table", f.table, "after", version, "error", err)
			}
			lost = true
			if errors.Is(err, errNoAnswer) {
				continue
			}
			group.Sleep(ctx, delay)
			delay = min(2*delay, w.maxRetryDelay(f))
		}
	})
}

// fetch makes one call: it reads the whole table for version 0, else the changes.
func (w *Watcher) fetch(ctx context.Context, f feed, version int64, lost bool) (next int64, err error) {
	defer w.recoverPanic(f.table, &err)
	if version == 0 {
		start := common.Uptime()
		found, newest, err := w.readAll(ctx, f.table, f.parts)
		if err != nil {
			return 0, err
		}
		if err := w.applyWhole(f, found, newest); err != nil {
			return 0, err
		}
		f.fresh(start)
		w.wasReadAt(f.table, start)
		w.wasRead(f.table)
		return newest, nil
	}
	var page rows.Page
	var start time.Duration
	if lost && f.prober != nil {
		page, start, err = f.prober.read(ctx, f.table, version)
	} else {
		page, start, err = w.readChanges(ctx, f, version, lost)
	}
	if err != nil {
		return 0, err
	}
	version = max(version, page.Version)
	w.applyChanges(f, page.Rows, version)
	f.fresh(start)
	if len(page.Rows) == 0 && common.Uptime()-start >= f.holdTime {
		// The store has held the call for that long without changes.
		start += f.holdTime
	}
	w.wasReadAt(f.table, start)
	return version, nil
}

// readChanges reads the changes of a table after the version, and returns when the
// call started. While the store is lost it does not let the store hold the call,
// since even a reply without changes shows that the view is current.
func (w *Watcher) readChanges(ctx context.Context, f feed, version int64, lost bool) (rows.Page, time.Duration, error) {
	start := common.Uptime()
	holdTime := f.holdTime
	if lost {
		holdTime = 0
	}
	ctx, cancel := context.WithTimeout(ctx, holdTime+feedMargin)
	defer cancel()
	page, err := w.store.Feed(ctx, f.table, version, holdTime)
	return page, start, err
}

// maxRetryDelay returns the longest pause between two failed calls for a table.
func (w *Watcher) maxRetryDelay(f feed) time.Duration {
	if f.prober != nil {
		return w.probeInterval()
	}
	return maxRetryDelay
}

// recoverPanic makes a panic over rows of other writers the error of their table's
// call, instead of the end of the process.
func (w *Watcher) recoverPanic(table string, err *error) {
	cause := recover()
	if cause == nil {
		return
	}
	w.log.Error("rows of the table caused a panic", "table", table, "cause", cause, "stack", string(debug.Stack()))
	*err = errors.Errorf("rows of %s: %v", table, cause)
}

// readAll reads every part of a table and returns the version from which the feed
// continues: the lowest of all parts, since parts that are read later may be newer.
func (w *Watcher) readAll(ctx context.Context, table string, parts []string) ([]rows.Row, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var mu sync.Mutex
	var all []rows.Row
	var version int64
	if parts == nil {
		existing, err := readAnswered(ctx, func(ctx context.Context) (rows.Parts, error) { return w.store.Parts(ctx, table) })
		if err != nil {
			return nil, 0, err
		}
		parts, version = existing.Names, existing.Version
	}
	reads, ctx := errgroup.WithContext(ctx)
	reads.SetLimit(maxConcurrentReads)
	for _, part := range parts {
		reads.Go(func() error {
			found, newest, err := w.readPart(ctx, table, part)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, found...)
			if version == 0 || newest < version {
				version = newest
			}
			return nil
		})
	}
	if err := reads.Wait(); err != nil {
		return nil, 0, err
	}
	return all, version, nil
}

// readAnswered makes a read again if it has no answer in time: a store may lose
// single answers, and a starting instance serves nobody meanwhile.
func readAnswered[T any](ctx context.Context, read func(ctx context.Context) (T, error)) (T, error) {
	for timeout := answerTimeout; ; timeout *= 2 {
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		found, err := read(callCtx)
		unanswered := err != nil && callCtx.Err() != nil
		cancel()
		if !unanswered || ctx.Err() != nil {
			return found, err
		}
	}
}

// readPart reads a part of a table and returns the version of its first page.
func (w *Watcher) readPart(ctx context.Context, table, part string) ([]rows.Row, int64, error) {
	var all []rows.Row
	var version int64
	query := rows.Query{Table: table, Part: part, Limit: pageRows}
	for more := true; more; {
		page, err := readAnswered(ctx, func(ctx context.Context) (rows.Page, error) { return w.store.Range(ctx, query) })
		if err != nil {
			return nil, 0, err
		}
		all = append(all, page.Rows...)
		if version == 0 {
			version = page.Version
		}
		more = page.More && len(page.Rows) > 0
		if more {
			query.From = page.Rows[len(page.Rows)-1].Key + "\x00"
		}
	}
	return all, version, nil
}

// position returns the version up to which the table is known.
func (w *Watcher) position(table string) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.positions[table]
}

// applyWhole applies all rows that a table had at the version, unless later ones are known.
func (w *Watcher) applyWhole(f feed, found []rows.Row, version int64) error {
	w.applying.Lock()
	defer w.applying.Unlock()
	if known := w.position(f.table); version < known {
		return errors.Annotatef(errOldRead, "version %d, known up to %d", version, known)
	}
	w.markMissing(f.table, found, version)
	f.whole(found)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.positions[f.table], w.wholeAt[f.table] = version, version
	return nil
}

// applyChanges applies the rows of a table that changed up to the version.
func (w *Watcher) applyChanges(f feed, found []rows.Row, version int64) {
	w.applying.Lock()
	defer w.applying.Unlock()
	f.rows(w.unknown(found))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.positions[f.table] = max(w.positions[f.table], version)
}

// ReadAt returns the time up to which the table was read from the store; 0 if it wasn't.
func (w *Watcher) ReadAt(table string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.readAt[table]
}

func (w *Watcher) wasReadAt(table string, at time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.readAt[table] = max(w.readAt[table], at)
}

// unknown returns the rows that are newer than what is known of their tables. An
// older one may have been deleted since.
func (w *Watcher) unknown(found []rows.Row) []rows.Row {
	w.mu.Lock()
	defer w.mu.Unlock()
	unknown := found[:0:0]
	for _, r := range found {
		if r.Version > w.positions[r.Table] {
			unknown = append(unknown, r)
		}
	}
	return unknown
}

// markMissing records the known rows that a complete read of the table lacks as
// deleted, so that other instances aren't told of them any more.
func (w *Watcher) markMissing(table string, found []rows.Row, version int64) {
	if !w.required[table] {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	present := make(map[rows.ID]bool, len(found))
	for _, r := range found {
		present[r.ID] = true
	}
	for id, r := range w.known {
		if id.Table == table && !r.Deleted && !present[id] && r.Version <= version {
			w.known[id] = rows.Row{ID: id, Version: version, Deleted: true}
		}
	}
}

// recordIfNewer stores the row and reports whether it is newer than the known one.
func (w *Watcher) recordIfNewer(r rows.Row) bool {
	if r.Version <= w.known[r.ID].Version {
		return false
	}
	w.known[r.ID] = r
	return true
}

// publish replaces the view. The caller holds the lock.
func (w *Watcher) publish(configChanged bool) {
	upstreams := make([]*site.Upstream, 0, len(w.upstreams))
	for _, u := range w.upstreams {
		upstreams = append(upstreams, u)
	}
	out := make(map[string]bool, len(w.domainsOut))
	for domain := range w.domainsOut {
		out[domain] = true
	}
	var v *site.View
	if configChanged {
		v = site.NewView(w.config, upstreams, out)
	} else {
		v = w.view.Load().WithUpstreams(upstreams, out)
	}
	w.view.Store(v)
}
