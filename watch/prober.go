package watch

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/rows"
)

const (
	// errNoAnswer means that no call in flight was answered yet.
	errNoAnswer = errors.ConstError("the store does not answer")

	// fleetProbeInterval is the pause between two calls of the whole fleet while the
	// store is lost; minProbeInterval and maxProbeInterval bound that of an
	// instance.
	fleetProbeInterval = 5 * time.Millisecond
	minProbeInterval   = 80 * time.Millisecond
	maxProbeInterval   = time.Second
	// maxProbes bounds the calls of an instance in flight.
	maxProbes = 10
)

type (
	// prober reads the changes of a table while the store is lost. It starts a call
	// at each interval and lets the earlier ones go on, so that a store that answers
	// for a moment only is noticed, though calls to it hang.
	prober struct {
		watcher *Watcher
		replies chan probeReply
		running int
	}

	probeReply struct {
		page  rows.Page
		start time.Duration
		err   error
	}
)

func newProber(w *Watcher) *prober {
	return &prober{watcher: w, replies: make(chan probeReply, maxProbes)}
}

// read starts a call and waits for one interval until any call is answered. It is
// used by one goroutine.
func (p *prober) read(ctx context.Context, table string, version int64) (rows.Page, time.Duration, error) {
	if p.running < maxProbes && p.watcher.group.Go(func(ctx context.Context) { p.call(ctx, table, version) }) {
		p.running++
	}
	timer := time.NewTimer(p.watcher.probeInterval())
	defer timer.Stop()
	for {
		select {
		case r := <-p.replies:
			p.running--
			if r.err == nil || errors.Is(r.err, rows.ErrHistoryGone) || p.running == 0 {
				return r.page, r.start, r.err
			}
		case <-timer.C:
			return rows.Page{}, 0, errNoAnswer
		case <-ctx.Done():
			return rows.Page{}, 0, ctx.Err()
		}
	}
}

func (p *prober) call(ctx context.Context, table string, version int64) {
	start := common.Uptime()
	ctx, cancel := context.WithTimeout(ctx, feedMargin)
	defer cancel()
	page, err := p.watcher.store.Feed(ctx, table, version, 0)
	p.replies <- probeReply{page: page, start: start, err: err}
}

// probeInterval returns the pause between two calls while the store is lost.
func (w *Watcher) probeInterval() time.Duration {
	fleet := fleetProbeInterval * time.Duration(w.peers.Instances())
	return min(max(minProbeInterval, fleet), maxProbeInterval)
}
