package resume

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/rows"
)

const (
	// maxTxnRows is the maximum number of entries of a transaction.
	maxTxnRows = 100
	// maxPending bounds the streams that wait to be written or removed.
	maxPending = 8 << 10
	// storeShare is the part of the store's write calls that all instances together
	// may use for streams, as a divisor; writeBurst is how many transactions an
	// instance may be ahead of its part of that.
	storeShare = 3
	writeBurst = parts
	// maxWrites bounds the transactions of an instance in flight, and writeTimeout
	// the time of one.
	maxWrites    = 8
	writeTimeout = time.Second
	// maxWriteTries is how often a stream is written before it is given up.
	maxWriteTries = 3
	// writeBackoff is the pause of a part after a failed transaction.
	writeBackoff = 200 * time.Millisecond
	// removeDelay is how long expired rows wait for a transaction that also writes.
	removeDelay = 20 * time.Second
	// checkInterval is the time between two checks for expired rows and for parts
	// whose backoff has ended.
	checkInterval = 200 * time.Millisecond
)

type (
	// writer stores streams in the background, and removes them once they have
	// expired. Each part has at most one transaction in flight; what comes meanwhile
	// shares the next.
	writer struct {
		log     hclog.Logger
		store   rows.Store
		config  Config
		written metrics.Counter
		lost    metrics.Counter
		group   *group.Group
		wake    chan struct{}
		slots   chan struct{}

		mu      sync.Mutex
		queues  [parts]queue
		pending int
		next    int
		// failing is set from the first failed transaction until one succeeds.
		failing bool
	}

	// queue holds the work of one part.
	queue struct {
		writes []write
		// stored are the written rows in the order of writing.
		stored   []record
		inFlight bool
		// retryAt is when the part may be written after a failed transaction.
		retryAt time.Duration
	}

	write struct {
		record
		tries int
	}

	batch struct {
		part    int
		writes  []write
		removes []record
	}
)

func newWriter(log hclog.Logger, store rows.Store, registry metrics.Registry, config Config) *writer {
	return &writer{
		log:     log,
		store:   store,
		config:  config,
		written: metrics.GetOrRegisterCounter("resume.streamsWritten", registry),
		lost:    metrics.GetOrRegisterCounter("resume.streamsNotWritten", registry),
		group:   group.NewGroup(context.Background()),
		wake:    make(chan struct{}, 1),
		slots:   make(chan struct{}, maxWrites),
	}
}

// writeInterval returns the mean time between two transactions of this instance.
func (c Config) writeInterval() time.Duration {
	return time.Second * storeShare * time.Duration(max(1, c.Instances())) / time.Duration(max(1, c.StoreWriteRate))
}

// add queues the streams. It never waits.
func (w *writer) add(records ...record) {
	w.mu.Lock()
	for _, r := range records {
		if w.pending >= maxPending {
			w.lost.Inc(1)
			continue
		}
		w.pending++
		q := &w.queues[partOf(r.key)]
		q.writes = append(q.writes, write{record: r})
	}
	w.mu.Unlock()
	w.notify()
}

// unwritten returns how many streams wait to be written.
func (w *writer) unwritten() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for i := range w.queues {
		n += len(w.queues[i].writes)
	}
	return n
}

func (w *writer) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *writer) run(ctx context.Context) {
	timer := time.NewTicker(checkInterval)
	defer timer.Stop()
	var nextAt time.Duration
	for ctx.Err() == nil {
		b, ok := w.take(common.Uptime())
		if !ok {
			select {
			case <-w.wake:
			case <-timer.C:
			case <-ctx.Done():
			}
			continue
		}
		select {
		case w.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		w.group.Go(func(ctx context.Context) {
			w.commit(ctx, b)
			<-w.slots
			w.notify()
		})
		now, interval := common.Uptime(), w.config.writeInterval()
		nextAt = max(nextAt, now-writeBurst*interval) + interval
		group.Sleep(ctx, nextAt-now)
	}
}

// take returns the next transaction of a part that has none in flight.
func (w *writer) take(now time.Duration) (batch, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range parts {
		part := (w.next + i) % parts
		q := &w.queues[part]
		if q.inFlight || now < q.retryAt || !q.due(now) {
			continue
		}
		b := q.take(part, now)
		w.next, q.inFlight = part+1, true
		return b, true
	}
	return batch{}, false
}

// due reports whether the queue has streams to write, or rows that should not wait
// for a write any longer.
func (q *queue) due(now time.Duration) bool {
	return len(q.writes) > 0 || len(q.stored) > 0 && q.stored[0].expiresAt+removeDelay < now
}

func (q *queue) take(part int, now time.Duration) batch {
	b := batch{part: part}
	n := min(len(q.writes), maxTxnRows)
	b.writes, q.writes = q.writes[:n:n], q.writes[n:]
	for len(q.stored) > 0 && q.stored[0].expiresAt < now && n+len(b.removes) < maxTxnRows {
		b.removes, q.stored = append(b.removes, q.stored[0]), q.stored[1:]
	}
	return b
}

func (w *writer) commit(ctx context.Context, b batch) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	txn, err := b.txn()
	if err == nil {
		_, err = w.store.Commit(ctx, txn)
	}
	now := common.Uptime()
	w.mu.Lock()
	defer w.mu.Unlock()
	q := &w.queues[b.part]
	q.inFlight = false
	if err == nil {
		w.written.Inc(int64(len(b.writes)))
		w.pending -= len(b.removes)
		for _, r := range b.writes {
			q.stored = append(q.stored, r.record)
		}
		w.setFailing(nil)
		return
	}
	w.setFailing(err)
	q.retryAt = now + writeBackoff
	q.stored = append(b.removes, q.stored...)
	var again []write
	for _, r := range b.writes {
		r.tries++
		if r.tries == maxWriteTries || r.expiresAt < now {
			// A write without an answer may have been done, so its row is removed.
			w.lost.Inc(1)
			q.stored = append(q.stored, r.record)
			continue
		}
		again = append(again, r)
	}
	q.writes = append(again, q.writes...)
}

// setFailing logs the first failure and the next success. The caller holds the lock.
func (w *writer) setFailing(err error) {
	switch {
	case err != nil && !w.failing:
		w.log.Warn("streams can't be written; they may not be taken up at other instances", "error", err)
	case err == nil && w.failing:
		w.log.Info("streams are written again")
	}
	w.failing = err != nil
}

func (b batch) txn() (rows.Txn, error) {
	var txn rows.Txn
	for _, r := range b.writes {
		value, err := r.origin.encode()
		if err != nil {
			return rows.Txn{}, err
		}
		txn.Writes = append(txn.Writes, rows.Write{ID: streamID(r.key), Value: value})
	}
	for _, r := range b.removes {
		txn.Removes = append(txn.Removes, streamID(r.key))
	}
	return txn, nil
}
