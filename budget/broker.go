package budget

import (
	"context"
	"strconv"
	"strings"
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
	homeWait      = StoreTimeout + 50*time.Millisecond
	// homeMargin is the time for the way to the home and back.
	homeMargin = 20 * time.Millisecond
	// minSettleInterval and maxSettleInterval bound the pauses between two messages
	// that end a reservation; together they outlast the ejection of a home.
	minSettleInterval = 250 * time.Millisecond
	maxSettleInterval = 4 * time.Second
	// settleWait is how long a turn waits until its program's reservations have ended
	// at their homes, before it is refused.
	settleWait = 300 * time.Millisecond
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
		// settlements are the ends of reservations on their way to homes.
		settlements *settlements
		group       *group.Group
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
	return &Broker{log: log, ledger: ledger, homes: homes, settlements: newSettlements(), group: group.NewGroup(context.Background())}
}

// Drain waits until all reservations that have been settled are settled at their
// homes too. It returns the number of those that are not when the context ends.
func (b *Broker) Drain(ctx context.Context) int {
	for b.settlements.len() > 0 && group.Sleep(ctx, drainInterval) {
	}
	return b.settlements.len()
}

// Close cancels messages in flight and waits for them.
func (b *Broker) Close() { b.group.Close() }

// Reserve reserves the maximum tokens of a turn. ErrSpent and ErrUnavailable mean
// that nothing was reserved.
func (b *Broker) Reserve(ctx context.Context, program string, total, maxTokens int) (r *Reservation, err error) {
	if !b.homes.IsHome(program) {
		err = b.afterSettlements(ctx, program, func() (err error) {
			r, err = b.reserveAtHome(ctx, program, total, maxTokens)
			return err
		})
		if r != nil || err != nil {
			return r, err
		}
	}
	err = b.afterSettlements(ctx, program, func() error {
		return b.ledger.Reserve(ctx, program, total, maxTokens, common.Uptime())
	})
	if err != nil {
		return nil, err
	}
	return &Reservation{broker: b, program: program, maxTokens: maxTokens}, nil
}

// afterSettlements repeats a reservation that finds the budget spent, once all earlier
// reservations of the program have ended at their homes, which may hold the tokens
// until then.
func (b *Broker) afterSettlements(ctx context.Context, program string, reserve func() error) error {
	open := b.settlements.of(program)
	err := reserve()
	open = append(open, b.settlements.of(program)...)
	switch {
	case !errors.Is(err, ErrSpent) || len(open) == 0:
		return err
	case !awaitSettled(ctx, open, settleWait):
		return errors.Annotate(ErrUnavailable, "the program's home does not answer")
	default:
		return reserve()
	}
}

// reserveAtHome returns neither a reservation nor an error if the home can't be
// reached. While the home waits for the store, it is asked again.
func (b *Broker) reserveAtHome(ctx context.Context, program string, total, maxTokens int) (*Reservation, error) {
	q := &ReserveRequest{
		ID:        reservationID(b.ledger.Holder(), b.ids.Add(1)),
		Program:   program,
		Total:     total,
		MaxTokens: maxTokens,
		Wait:      firstHomeWait,
	}
	until := common.Uptime() + b.ledger.maxStoreWait()
	for {
		reply, home, err := b.homes.ReserveAtHome(ctx, q, q.Wait+homeMargin)
		if err != nil {
			if home != "" {
				// It may have made the reservation.
				b.settle(home, program, &SettleRequest{ID: q.ID})
			}
			return nil, nil
		}
		switch reply.Outcome {
		case Reserved:
			return &Reservation{broker: b, program: program, maxTokens: maxTokens, home: home, id: q.ID}, nil
		case Spent:
			return nil, ErrSpent
		case Waiting:
			if ctx.Err() == nil && common.Uptime() < until {
				q.Wait = homeWait
				continue
			}
		}
		return nil, errors.Annotate(ErrUnavailable, "at the program's home")
	}
}

// reservationID returns the unique name of a reservation, which askerOf takes apart.
func reservationID(holder string, number int64) string {
	return holder + "/" + strconv.FormatInt(number, 10)
}

// askerOf returns the holder name of the process that made a reservation, empty if its name
// has none.
func askerOf(id string) string { return id[:max(0, strings.LastIndexByte(id, '/'))] }

// settle ends a reservation at another instance, and tries again while that can't be
// reached: a reservation that isn't ended counts as spent.
func (b *Broker) settle(home, program string, q *SettleRequest) {
	n := b.settlements.begin(program)
	started := b.group.Go(func(ctx context.Context) {
		err := b.settleAt(ctx, home, q)
		b.settlements.end(program, n, err == nil)
		if err != nil {
			b.logUnsettled(home, err)
		}
	})
	if !started {
		b.settlements.end(program, n, false)
		b.logUnsettled(home, context.Canceled)
	}
}

func (b *Broker) settleAt(ctx context.Context, home string, q *SettleRequest) error {
	var err error
	for interval := minSettleInterval; interval <= maxSettleInterval; interval *= 2 {
		if err = b.homes.SettleAt(ctx, home, q); err == nil || !group.Sleep(ctx, interval) {
			return err
		}
	}
	return err
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
	r.broker.settle(r.home, r.program, &SettleRequest{ID: r.id, Tokens: tokens})
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
