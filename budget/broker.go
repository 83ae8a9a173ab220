package budget

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/group"
)

const (
	// firstHomeWait is how long a program's home may take for a reservation at
	// first, and homeWait once it has answered and waits for the store itself.
	firstHomeWait = 30 * time.Millisecond
	homeWait      = storeTimeout + 50*time.Millisecond
	// homeMargin is the time for the way to the home and back.
	homeMargin = 20 * time.Millisecond
	// minSettleInterval and maxSettleInterval bound the pauses between two messages
	// that end a reservation; together they outlast the ejection of a home.
	minSettleInterval = 250 * time.Millisecond
	maxSettleInterval = 4 * time.Second
	// cancelWait is how long a turn waits until its reservation at a home that did not
	// answer is cancelled, before it is refused.
	cancelWait = 300 * time.Millisecond
	// drainInterval is the time between two checks of a drain for open work.
	drainInterval = 10 * time.Millisecond
)

type (
	// Homes calls the ledgers of other instances.
	Homes interface {
		// IsHome reports whether this instance is the program's home.
		IsHome(program string) bool
		// ReserveAtHome makes the reservation at the program's home, and returns the
		// home's holder name. An error means that it may have been made.
		ReserveAtHome(ctx context.Context, q *ReserveRequest, timeout time.Duration) (*ReserveReply, string, error)
		// SettleAt ends a reservation at the process with the holder name, or does
		// nothing if that has ended.
		SettleAt(ctx context.Context, home string, q *SettleRequest) error
	}

	// Broker makes reservations at the ledger of the program's home, so that one
	// instance has the program's allocations, whichever take its turns: else nearly
	// every turn in a large fleet would need a transaction. If the home can't be
	// reached, this instance's own ledger takes its place; the store keeps the sum
	// of both within the budget.
	Broker struct {
		log    hclog.Logger
		ledger *Ledger
		homes  Homes
		ids    atomic.Int64
		// settling counts the reservations whose end has not reached their home.
		settling atomic.Int64
		group    *group.Group
	}

	// Reservation is the budget of one turn in progress. It must be settled.
	Reservation struct {
		broker    *Broker
		program   string
		maxTokens int
		// home and id name a reservation at another instance.
		home string
		id   string
	}
)

// NewBroker returns a broker that falls back to the ledger; Close must be called.
func NewBroker(log hclog.Logger, ledger *Ledger, homes Homes) *Broker {
	return &Broker{log: log, ledger: ledger, homes: homes, group: group.NewGroup(context.Background())}
}

// Drain waits until all reservations that have been settled are settled at their
// homes too. It returns the number of those that are not when the context ends.
func (b *Broker) Drain(ctx context.Context) int {
	for b.settling.Load() > 0 && group.Sleep(ctx, drainInterval) {
	}
	return int(b.settling.Load())
}

// Close cancels messages in flight and waits for them.
func (b *Broker) Close() { b.group.Close() }

// Reserve reserves the maximum tokens of a turn. ErrSpent and ErrUnavailable mean
// that nothing was reserved.
func (b *Broker) Reserve(ctx context.Context, program string, total, maxTokens int) (*Reservation, error) {
	var cancelled <-chan struct{}
	if !b.homes.IsHome(program) {
		r, atHome, err := b.reserveAtHome(ctx, program, total, maxTokens)
		if r != nil || err != nil {
			return r, err
		}
		cancelled = atHome
	}
	err := b.ledger.Reserve(ctx, program, total, maxTokens, common.Uptime())
	if errors.Is(err, ErrSpent) && cancelled != nil {
		// The home may hold the tokens for this turn.
		if !waitFor(ctx, cancelled, cancelWait) {
			return nil, errors.Annotate(ErrUnavailable, "the program's home does not answer")
		}
		err = b.ledger.Reserve(ctx, program, total, maxTokens, common.Uptime())
	}
	if err != nil {
		return nil, err
	}
	return &Reservation{broker: b, program: program, maxTokens: maxTokens}, nil
}

// waitFor reports whether the channel is closed in time.
func waitFor(ctx context.Context, done <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// reserveAtHome returns neither a reservation nor an error if the home can't be
// reached. If it may have made the reservation nevertheless, the channel is closed
// when that is cancelled. While the home waits for the store, it is asked again.
func (b *Broker) reserveAtHome(
	ctx context.Context, program string, total, maxTokens int,
) (r *Reservation, cancelled <-chan struct{}, err error) {
	q := &ReserveRequest{
		ID:        b.ledger.Holder() + "/" + strconv.FormatInt(b.ids.Add(1), 10),
		Program:   program,
		Total:     total,
		MaxTokens: maxTokens,
		Wait:      firstHomeWait,
	}
	until := common.Uptime() + b.ledger.maxStoreWait()
	for {
		reply, home, err := b.homes.ReserveAtHome(ctx, q, q.Wait+homeMargin)
		if err != nil {
			if home == "" {
				return nil, nil, nil
			}
			return nil, b.settle(home, &SettleRequest{ID: q.ID}), nil
		}
		switch reply.Outcome {
		case Reserved:
			return &Reservation{broker: b, program: program, maxTokens: maxTokens, home: home, id: q.ID}, nil, nil
		case Spent:
			return nil, nil, ErrSpent
		case Waiting:
			if ctx.Err() == nil && common.Uptime() < until {
				q.Wait = homeWait
				continue
			}
		}
		return nil, nil, errors.Annotate(ErrUnavailable, "at the program's home")
	}
}

// settle ends a reservation at another instance, and tries again while that can't be
// reached: a reservation that isn't ended counts as spent. The channel is closed when
// the other instance has ended it.
func (b *Broker) settle(home string, q *SettleRequest) <-chan struct{} {
	settled := make(chan struct{})
	b.settling.Add(1)
	started := b.group.Go(func(ctx context.Context) {
		defer b.settling.Add(-1)
		var err error
		for interval := minSettleInterval; interval <= maxSettleInterval; interval *= 2 {
			if err = b.homes.SettleAt(ctx, home, q); err == nil {
				close(settled)
				return
			}
			if !group.Sleep(ctx, interval) {
				break
			}
		}
		b.logUnsettled(home, err)
	})
	if !started {
		b.settling.Add(-1)
		b.logUnsettled(home, context.Canceled)
	}
	return settled
}

func (b *Broker) logUnsettled(home string, err error) {
	b.log.Info("reservation was not settled at the program's home; its tokens count as spent", "home", home, "error", err)
}

// Settle ends the reservation and counts the tokens that the turn handed out.
func (r *Reservation) Settle(tokens int) {
	if r.home == "" {
		r.broker.ledger.Settle(r.program, r.maxTokens, tokens)
		return
	}
	r.broker.settle(r.home, &SettleRequest{ID: r.id, Tokens: tokens})
}

// ReserveFor makes a reservation for another instance, which settles it. It waits
// for the store as long as the request allows.
func (l *Ledger) ReserveFor(ctx context.Context, q *ReserveRequest) *ReserveReply {
	now := common.Uptime()
	for _, r := range l.desk.expire(now) {
		l.Settle(r.program, r.maxTokens, r.maxTokens)
	}
	waiting, cancel := context.WithTimeout(ctx, q.Wait)
	defer cancel()
	err := l.Reserve(waiting, q.Program, q.Total, q.MaxTokens, now)
	switch {
	case err == nil && l.desk.add(q.ID, reserved{program: q.Program, maxTokens: q.MaxTokens, at: now}):
		return &ReserveReply{Outcome: Reserved}
	case err == nil:
		l.Settle(q.Program, q.MaxTokens, 0)
		return &ReserveReply{Outcome: Unavailable}
	case errors.Is(err, ErrSpent):
		return &ReserveReply{Outcome: Spent}
	case waiting.Err() != nil:
		return &ReserveReply{Outcome: Waiting}
	default:
		return &ReserveReply{Outcome: Unavailable}
	}
}

// SettleFor ends a reservation of another instance.
func (l *Ledger) SettleFor(q *SettleRequest) {
	if r, ok := l.desk.end(q.ID, common.Uptime()); ok {
		l.Settle(r.program, r.maxTokens, q.Tokens)
	}
}
