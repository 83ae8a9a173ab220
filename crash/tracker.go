// Package crash finds out which upstreams ended while they ran requests, tells all
// instances of it, and holds off the requests that crash upstreams.
package crash

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/poison"
	"github.com/buckthorntide/buckthorntide/rows"
	"github.com/buckthorntide/buckthorntide/site"
)

const (
	// probeTimeout bounds one connection to an upstream that broke off; a round trip
	// between failure domains takes about 3 ms.
	probeTimeout = 250 * time.Millisecond
	// confirmTime is how long a crash that the probe did not show may still be shown by
	// the upstream's entry, and confirmInterval the time between two looks at it.
	confirmTime     = 5 * time.Second
	confirmInterval = 100 * time.Millisecond
	// gatherTime is how long a report waits for other requests of the same crash.
	gatherTime = 5 * time.Millisecond
	// commitTimeout bounds the first try to store a report, after which peers are told,
	// and storeTimeout all tries.
	commitTimeout = 300 * time.Millisecond
	storeTimeout  = time.Minute
	// maxPending bounds the upstreams that are being examined and the reports on their
	// way.
	maxPending = 256
	// maxChecked bounds the requests of an upstream that it broke off while it was alive.
	maxChecked = 64
	// clearDelay is the longest time until a clearing is told to the others while the
	// request isn't limited yet. It is random, so that one of the instances that saw
	// answers tells the others before they do the same.
	clearDelay = 2 * time.Second
	// closeTimeout bounds the write of the last clearings when the process stops.
	closeTimeout = 300 * time.Millisecond
	// maxWrites is how many rows one transaction writes.
	maxWrites = 50
	// sweepInterval is the time between two removals of old rows, and rowTTL the age
	// from which they are removed.
	sweepInterval = time.Minute
	rowTTL        = 2 * poison.HoldTime
	// maxAge bounds the age that a row can claim.
	maxAge = 2 * rowTTL
	// maxRemoves is how many rows one transaction removes.
	maxRemoves = 50
)

type (
	// Views provide the current view of the deployment.
	Views interface {
		View() *site.View
	}

	// Peers are the other instances.
	Peers interface {
		// TellCrash passes the report to all peers.
		TellCrash(ctx context.Context, r Report)
		// IsHome reports whether this instance is the name's home.
		IsHome(name string) bool
	}

	// Clock returns the store's own time, by which reports are aged; ok is false if it
	// isn't known.
	Clock func() (now time.Duration, ok bool)

	// Dial opens a connection to an upstream.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// Config holds a tracker's dependencies.
	Config struct {
		Log      hclog.Logger
		Store    rows.Store
		Views    Views
		Peers    Peers
		Registry metrics.Registry
		Dial     Dial
		Clock    Clock
		// Process is unique among all processes of all instances.
		Process string
	}

	// Tracker follows the crashes of upstreams. It is safe for concurrent use.
	Tracker struct {
		Config
		group   *group.Group
		crashes metrics.Counter
		held    metrics.Counter
		cleared metrics.Counter

		mu    sync.Mutex
		table *poison.Table
		// pending are the upstreams that broke off a request and are being examined.
		pending map[process]*suspicion
		// seen holds when the rows were written, as far as known.
		seen map[rows.ID]time.Duration
		// unwritten are the clearings by this instance that the store doesn't hold yet,
		// by their rows. writing is set while they are being written.
		unwritten map[rows.ID]Report
		writing   bool
	}

	process struct {
		upstream    string
		incarnation int64
	}

	// suspicion holds the requests that an upstream broke off.
	suspicion struct {
		// requests broke off after the last probe that showed the upstream alive, checked
		// before it.
		requests []poison.Request
		checked  []poison.Request
		// lastAt is when the last one broke off.
		lastAt time.Duration
	}
)

// NewTracker returns a tracker; Start starts to remove old rows.
func NewTracker(config Config) *Tracker {
	return &Tracker{
		Config:  config,
		group:   group.NewGroup(context.Background()),
		crashes: metrics.GetOrRegisterCounter("crash.upstreams", config.Registry),
		held:    metrics.GetOrRegisterCounter("crash.requestsHeldOff", config.Registry),
		cleared: metrics.GetOrRegisterCounter("crash.requestsCleared", config.Registry),
		table:   poison.NewTable(),
		pending: make(map[process]*suspicion),
		seen:    make(map[rows.ID]time.Duration),

		unwritten: make(map[rows.ID]Report),
	}
}

// Start starts the removal of old rows.
func (t *Tracker) Start() { t.group.Go(t.sweep) }

// Close stops the tracker, waits for it and writes the clearings that are left.
func (t *Tracker) Close() {
	t.group.Close()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := t.writeCleared(ctx); err != nil {
		t.Log.Warn("cleared requests not stored", "error", err)
	}
}

// Tracks reports whether any crash is known, so that requests are worth comparing.
func (t *Tracker) Tracks() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.table.Empty() || len(t.pending) > 0
}

// Known returns how many crashes are known.
func (t *Tracker) Known() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Len()
}

// HeldFor returns how much longer the request is held off, or 0.
func (t *Tracker) HeldFor(r poison.Request) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	left := t.table.HeldFor(r, common.Uptime())
	if left > 0 {
		t.held.Inc(1)
	}
	return left
}

// PeekHeldFor is HeldFor for a request that was not sent: it isn't counted.
func (t *Tracker) PeekHeldFor(r poison.Request) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.HeldFor(r, common.Uptime())
}

// MayRetry reports whether the request may be sent to another upstream after one that ran
// it broke off. Crashes that aren't proven yet count as well.
func (t *Tracker) MayRetry(r poison.Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	crashes := t.table.Crashes(r)
	for _, s := range t.pending {
		if slices.ContainsFunc(s.requests, func(other poison.Request) bool { return other.Path == r.Path }) {
			crashes++
		}
	}
	return crashes < poison.RetryLimit
}

// Broke records that the upstream broke off the request, and examines in the background
// whether it has ended. An upstream that was about to leave proves nothing.
func (t *Tracker) Broke(u *site.Upstream, r poison.Request) {
	if u.State != site.Ready {
		return
	}
	p := process{u.ID, u.Incarnation}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.pending[p]
	if !ok {
		if len(t.pending) >= maxPending {
			t.Log.Warn("too many upstreams broke off requests to examine another", "upstream", u.ID)
			return
		}
		s = &suspicion{}
		t.pending[p] = s
		t.group.Go(func(ctx context.Context) { t.examine(ctx, p, u) })
	}
	s.lastAt = common.Uptime()
	s.requests = append(s.requests, r)
}

// Answered records that the upstream answered the request whole, and tells all instances
// from which crashes this clears it.
func (t *Tracker) Answered(u *site.Upstream, r poison.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	limited := t.table.Crashes(r) >= poison.RetryLimit
	cleared := t.table.Clear(r, u.SoftwareVersion)
	if len(cleared) == 0 {
		return
	}
	t.cleared.Inc(1)
	t.Log.Info("request that ran beside crashes was answered whole", "fingerprints", formatRequest(r), "upstream", u.ID, "crashes", len(cleared))
	for _, c := range cleared {
		report := newReport(c)
		report.Cleared = true
		report.At = t.storeTime(common.Uptime())
		t.unwritten[report.rowID(t.Process)] = report
		if limited {
			// The others refuse the request or don't retry it meanwhile.
			t.group.Go(func(ctx context.Context) { t.publish(ctx, report) })
		}
	}
	if !t.writing {
		t.writing = t.group.Go(t.keepWritingCleared)
	}
}

// keepWritingCleared writes the clearings until the store holds all of them.
func (t *Tracker) keepWritingCleared(ctx context.Context) {
	for group.Sleep(ctx, rand.N(clearDelay)) {
		first, cancel := context.WithTimeout(ctx, commitTimeout)
		err := t.writeCleared(first)
		cancel()
		if err != nil {
			t.Log.Debug("cleared requests not stored yet", "error", err)
		}
		t.mu.Lock()
		t.writing = len(t.unwritten) > 0
		again := t.writing
		t.mu.Unlock()
		if !again {
			return
		}
	}
}

// writeCleared writes the clearings that the store doesn't hold yet.
func (t *Tracker) writeCleared(ctx context.Context) error {
	for {
		var txn rows.Txn
		t.mu.Lock()
		for id, r := range t.unwritten {
			if len(txn.Writes) == maxWrites {
				break
			}
			value, err := json.Marshal(r)
			if err != nil {
				t.mu.Unlock()
				return errors.Annotate(err, "encode a cleared request")
			}
			txn.Writes = append(txn.Writes, rows.Write{ID: id, Value: value})
		}
		t.mu.Unlock()
		if len(txn.Writes) == 0 {
			return nil
		}
		if _, err := rows.CommitUntilKnown(ctx, t.Store, txn); err != nil {
			return err
		}
		for _, w := range txn.Writes {
			t.wrote(w.ID)
		}
	}
}

// examine finds out whether the upstream has ended: its address refuses connections, or its
// entry names another incarnation. A connection that broke proves nothing by itself, nor does
// an upstream that can't be reached.
func (t *Tracker) examine(ctx context.Context, p process, u *site.Upstream) {
	for {
		probed := t.unchecked(p)
		if probed > 0 && t.refuses(ctx, u.Address) {
			group.Sleep(ctx, gatherTime)
			t.conclude(ctx, p, u, false, "its address refuses connections")
			return
		}
		t.markChecked(p, probed)
		if listed := t.Views.View().Upstream(u.Service, u.ID); listed != nil && listed.Incarnation != u.Incarnation {
			t.conclude(ctx, p, u, true, "its entry names another incarnation")
			return
		}
		if !group.Sleep(ctx, confirmInterval) || t.dismiss(p) {
			return
		}
	}
}

// unchecked returns how many requests broke off since the upstream was last probed.
func (t *Tracker) unchecked(p process) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.pending[p].requests)
}

// markChecked records that the upstream did not refuse a probe that began after the first
// requests had broken off.
func (t *Tracker) markChecked(p process, requests int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.pending[p]
	s.checked = append(s.checked, s.requests[:requests]...)
	// An upstream that goes on breaking connections is examined as long.
	s.checked = slices.Clone(s.checked[max(0, len(s.checked)-maxChecked):])
	s.requests = slices.Clone(s.requests[requests:])
}

// dismiss ends the examination once nothing has shown for long that the upstream ended.
func (t *Tracker) dismiss(p process) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if common.Uptime()-t.pending[p].lastAt < confirmTime {
		return false
	}
	delete(t.pending, p)
	return true
}

// conclude records the crash and tells all instances of it. The requests that broke off
// before the upstream was last found alive were in flight at the crash only if that probe
// met its next incarnation.
func (t *Tracker) conclude(ctx context.Context, p process, u *site.Upstream, withChecked bool, proof string) {
	t.mu.Lock()
	s := t.pending[p]
	delete(t.pending, p)
	c := poison.Crash{Upstream: u.ID, Incarnation: u.Incarnation, Version: u.SoftwareVersion, Requests: s.requests}
	if withChecked {
		c.Requests = append(c.Requests, s.checked...)
	}
	t.record(c, true, proof)
	report := newReport(c)
	report.At = t.storeTime(s.lastAt)
	t.mu.Unlock()
	t.publish(ctx, report)
}

func (t *Tracker) refuses(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := t.Dial(ctx, "tcp", address)
	if err == nil {
		if err := conn.Close(); err != nil {
			t.Log.Debug("connection of a probe could not be closed", "address", address, "error", err)
		}
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// record adds the crash to the table. The caller holds the lock.
func (t *Tracker) record(c poison.Crash, own bool, source string) {
	added, held := t.table.Record(c, common.Uptime())
	if len(added) == 0 {
		return
	}
	c.Requests = added
	level := hclog.Debug
	if own {
		level = hclog.Info
		t.crashes.Inc(1)
	}
	t.Log.Log(level, "upstream ended with requests in flight", "upstream", c.Upstream, "incarnation", c.Incarnation,
		"version", c.Version, "requests", newReport(c).Requests, "source", source)
	for _, r := range held {
		t.Log.Warn("request crashes its upstreams; holding it off", "fingerprints", formatRequest(r),
			"crashes", t.table.Crashes(r), "lastUpstream", c.Upstream, "source", source)
	}
}

// Told takes over a report of a peer.
func (t *Tracker) Told(r Report, source string) error {
	c, err := r.crash()
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := common.Uptime()
	c.Age = t.age(r.At, now)
	switch {
	case !r.Cleared:
		t.record(c, false, source)
		t.hurryCleared(c)
	case r.Upstream == "":
		// An instance of an earlier version says this of all crashes that it knew.
		for _, request := range c.Requests {
			t.table.Clear(request, r.Version)
		}
	default:
		t.table.ClearCrash(c, now)
	}
	return nil
}

// hurryCleared tells at once of what could hold off requests of the crash elsewhere: those
// that this instance cleared of earlier ones. The caller holds the lock.
func (t *Tracker) hurryCleared(c poison.Crash) {
	for _, report := range t.unwritten {
		earlier, err := report.crash()
		if err != nil {
			t.Log.Error("cleared request can't be compared", "requests", report.Requests, "error", err)
			continue
		}
		if slices.ContainsFunc(c.Requests, func(r poison.Request) bool {
			return r.Exact == earlier.Requests[0].Exact || r.Path == earlier.Requests[0].Path
		}) {
			t.group.Go(func(ctx context.Context) { t.publish(ctx, report) })
		}
	}
}

// storeTime returns the time of the store's clock at the time of this instance, or 0 if it
// isn't known.
func (t *Tracker) storeTime(at time.Duration) int64 {
	now, ok := t.Clock()
	if !ok {
		return 0
	}
	return (now - (common.Uptime() - at)).Milliseconds()
}

// age returns how long ago the time of the store's clock was; 0 if it can't be told.
func (t *Tracker) age(storeTime int64, now time.Duration) time.Duration {
	current := t.storeTime(now)
	if storeTime == 0 || current == 0 {
		return 0
	}
	return time.Duration(min(max(0, current-storeTime), maxAge.Milliseconds())) * time.Millisecond
}

// publish stores the report for all instances, and tells it to the peers as long as the
// store doesn't take it.
func (t *Tracker) publish(ctx context.Context, r Report) {
	value, err := json.Marshal(r)
	if err != nil {
		t.Log.Error("crash report can't be encoded", "upstream", r.Upstream, "error", err)
		return
	}
	id := r.rowID(t.Process)
	txn := rows.Txn{Writes: []rows.Write{{ID: id, Value: value}}}
	first, cancel := context.WithTimeout(ctx, commitTimeout)
	_, err = rows.CommitUntilKnown(first, t.Store, txn)
	cancel()
	if err == nil {
		t.wrote(id)
		return
	}
	t.Log.Info("crash report not stored yet; telling peers", "upstream", r.Upstream, "requests", r.Requests, "error", err)
	t.Peers.TellCrash(ctx, r)
	ctx, cancel = context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if _, err := rows.CommitUntilKnown(ctx, t.Store, txn); err != nil {
		t.Log.Warn("crash report not stored", "upstream", r.Upstream, "requests", r.Requests, "error", err)
		return
	}
	t.wrote(id)
}

// wrote records that the store holds the report.
func (t *Tracker) wrote(id rows.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.unwritten, id)
}

// Apply takes over rows of the table.
func (t *Tracker) Apply(found []rows.Row) {
	for _, row := range found {
		if row.Deleted {
			t.forget(row.ID)
			continue
		}
		r, err := decodeReport(row)
		t.noteSeen(row.ID, r.At)
		if err == nil {
			err = t.Told(r, "row "+row.Key)
		}
		if err == nil && r.Cleared && len(r.Requests) > 0 {
			// Whichever instance wrote it: one row is enough.
			t.wrote(r.rowID(t.Process))
		}
		if err != nil {
			t.Log.Warn("invalid crash report", "key", row.Key, "error", err)
		}
	}
}

// noteSeen notes when the row was written by the store's clock, at the latest now.
func (t *Tracker) noteSeen(id rows.ID, storeTime int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := common.Uptime()
	if _, ok := t.seen[id]; !ok {
		t.seen[id] = now - t.age(storeTime, now)
	}
}

func (t *Tracker) forget(id rows.ID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.seen, id)
}

// sweep removes rows that no instance needs any more.
func (t *Tracker) sweep(ctx context.Context) {
	for group.Sleep(ctx, sweepInterval) {
		if !t.Peers.IsHome(Table) {
			continue
		}
		if old := t.expired(common.Uptime()); len(old) > 0 {
			if _, err := t.Store.Commit(ctx, rows.Txn{Removes: old}); err != nil {
				t.Log.Info("old crash reports not removed yet", "rows", len(old), "error", err)
			}
		}
	}
}

func (t *Tracker) expired(now time.Duration) []rows.ID {
	t.mu.Lock()
	defer t.mu.Unlock()
	var old []rows.ID
	for id, at := range t.seen {
		if now-at > rowTTL && len(old) < maxRemoves {
			old = append(old, id)
		}
	}
	return old
}
