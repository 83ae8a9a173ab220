package proxy

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/memory"
	"github.com/buckthorntide/buckthorntide/pick"
	"github.com/buckthorntide/buckthorntide/site"
	"github.com/buckthorntide/buckthorntide/turns"
)

const (
	// maxTurnOutput bounds the output that is kept of a turn. The store takes 1 MB at a
	// time, so a larger one can't be stored.
	maxTurnOutput = 1 << 20
	// errTurnTooLarge is returned for an output that exceeds maxTurnOutput.
	errTurnTooLarge = errors.ConstError("the turn is too large")
)

// relayStream forwards each event once it is complete.
func (x *exchange) relayStream(u *site.Upstream, d *delivery, resp *http.Response, timer *time.Timer) result {
	events := newEventReader(resp.Body)
	events.reserve = x.reserve
	defer func() { x.held.Release(events.reserved) }()
	if x.route.Conversation {
		x.held.Enter(memory.Streaming, x.current.stop, common.Uptime())
		defer func() { x.held.Enter(memory.Working, nil, common.Uptime()) }()
	}
	controller := http.NewResponseController(x.w)
	for {
		ev, err := events.next()
		if errors.Is(err, io.EOF) {
			x.noteWhole(u, pick.Answered)
			x.addTrail(u, "whole stream")
			if err := x.startStream(u, d, resp); err != nil {
				return x.streamNotBegun(err)
			}
			return x.finishStream()
		}
		if x.held.Evicted() || lacksMemory(err) {
			return x.streamLacksMemory(u)
		}
		if err != nil {
			return x.streamFailed(u, err)
		}
		if !d.started {
			// From now on the caller's deadline bounds the end of the stream, not its
			// start.
			timer.Reset(time.Until(x.callerDeadline))
		}
		x.current.noteReceived()
		if x.route.Conversation {
			switch err := x.keepOutput(ev); {
			case lacksMemory(err):
				return x.streamLacksMemory(u)
			case err != nil:
				x.proxy.Picker.Done(u.ID, pick.Broken, common.Uptime())
				x.addTrail(u, "stream too large for a turn")
				x.record.reason = err.Error()
				x.abort()
				return done
			}
		}
		if err := x.startStream(u, d, resp); err != nil {
			x.proxy.Picker.Done(u.ID, pick.Abandoned, common.Uptime())
			x.addTrail(u, "stream not begun")
			return x.streamNotBegun(err)
		}
		if !x.relayEvent(ev, d, controller) {
			x.proxy.Picker.Done(u.ID, pick.Abandoned, common.Uptime())
			x.addTrail(u, "stream left by the caller")
			return done
		}
	}
}

// startStream sends the head of the first upstream's answer to the caller, once.
// Only upstreams of the same software version may go on with the stream.
func (x *exchange) startStream(u *site.Upstream, d *delivery, resp *http.Response) error {
	if d.started {
		return nil
	}
	if err := x.beginStream(u, d); err != nil {
		return err
	}
	d.started = true
	x.proxy.Codec.WriteAnswer(x.w.Header(), resp.Header)
	// The stream may resume at another upstream, so its length is unknown.
	x.w.Header().Del("Content-Length")
	x.writeHead(resp.StatusCode)
	return nil
}

// streamNotBegun ends an attempt of which the caller has got nothing.
func (x *exchange) streamNotBegun(err error) result {
	x.record.reason = err.Error()
	x.output = x.output[:0]
	return mayHaveRun
}

// relayEvent sends one event to the caller. It returns false if the caller has
// disconnected.
func (x *exchange) relayEvent(ev event, d *delivery, controller *http.ResponseController) bool {
	// Counted before the write, since a failed write may have reached the caller.
	if ev.hasData || ev.id != "" {
		x.record.events++
		x.generatedTokens += x.eventTokens()
	}
	if ev.id != "" {
		d.lastEvent = ev.id
	}
	_, err := x.w.Write(ev.raw)
	if err == nil {
		err = controller.Flush()
	}
	if err != nil {
		x.record.reason = "the caller was gone: " + err.Error()
		return false
	}
	return true
}

func (x *exchange) streamFailed(u *site.Upstream, err error) result {
	x.noteFailure(u, err, x.callerDeadline, true)
	x.addTrail(u, "stream broke off: "+x.failureCause(err))
	return mayHaveRun
}

// streamLacksMemory ends a stream whose turn has no memory. That is no fault of the upstream.
func (x *exchange) streamLacksMemory(u *site.Upstream) result {
	x.record.reason = memory.ErrRefused.Error()
	if x.held.Evicted() {
		x.proxy.meter.memoryYielded.Inc(1)
		x.record.reason = memory.ErrEvicted.Error()
	}
	x.proxy.Picker.Done(u.ID, pick.Abandoned, common.Uptime())
	x.addTrail(u, "stream given up for want of memory")
	x.abort()
	return done
}

// keepOutput keeps the event's data for the turn.
func (x *exchange) keepOutput(ev event) error {
	if !ev.hasData {
		return nil
	}
	return x.appendOutput(ev.data)
}

// finishStream stores the turn before its answer ends. An answer whose turn can't
// be stored must not look complete, since the next turn would refer to it.
func (x *exchange) finishStream() result {
	if !x.route.Conversation {
		return done
	}
	t := &turns.Turn{
		ID:        x.call.ID,
		Team:      x.teamName(),
		Ancestors: x.ancestors,
		Input:     x.input,
		Output:    x.output,
		Retention: x.route.Retention,
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(x.r.Context()), x.callerDeadline)
	defer cancel()
	if err := x.proxy.Turns.Keep(ctx, t); err != nil {
		x.record.kept = err.Error()
		x.record.reason = "the turn could not be kept"
		x.abort()
		return done
	}
	x.record.kept = "yes"
	return done
}

// eventTokens returns the number of tokens that each event counts for.
func (x *exchange) eventTokens() int {
	if x.service.Model == nil {
		return 0
	}
	return x.service.Model.EventTokens
}
