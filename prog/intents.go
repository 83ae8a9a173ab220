package prog

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/store"
)

const (
	minIntentPollInterval = 100 * time.Millisecond // doubles with each read of the row
	maxIntentPollInterval = time.Second

	maxIntentPollDoublings = 4
)

type (
	// Intents runs calls at most once. It is safe for concurrent use.
	Intents struct {
		common    *common.Common
		table     store.Table
		objects   store.Objects
		committer Committer
		self      Dispatcher
		isLive    func(Dispatcher) bool

		mu         sync.Mutex
		claimCount int64
		pending    []*settler
	}

	// IntentsOptions are the dependencies of an Intents.
	IntentsOptions struct {
		Common    *common.Common
		Table     store.Table
		Objects   store.Objects
		Committer Committer
		Self      Dispatcher
		// Live reports whether a dispatcher is believed to be running. A wrong
		// answer costs time or results in an unknown outcome, never in a
		// second dispatch.
		Live func(Dispatcher) bool
	}
)

// NewIntents returns an Intents. Its owner calls Sweep periodically, such as
// every second.
func NewIntents(o IntentsOptions) *Intents {
	return &Intents{
		common:    o.Common.Part("calls"),
		table:     o.Table,
		objects:   o.Objects,
		committer: o.Committer,
		self:      o.Self,
		isLive:    o.Live,
	}
}

// Claim requests the right to dispatch a call. It returns before the request's
// deadline or when the context ends.
func (i *Intents) Claim(ctx context.Context, r ClaimRequest) *ClaimReply {
	c := &claimer{request: r, self: i.self, claimID: i.newClaimID(), isLive: i.isLive}
	step := c.plan(0)
	for step.reply == nil {
		step = i.runClaimStep(ctx, c, step)
	}
	if c.mayHaveRow {
		row := c.plannedRow()
		row.State = IntentNotRun
		s, _ := newSettler(Claim{RowKey: c.key(), Row: row}, row)
		i.retryLater(s)
	}
	if step.reply.object != nil {
		return i.replayObject(ctx, step.reply.object)
	}
	return step.reply
}

// Settle records the answer of a dispatched call.
func (i *Intents) Settle(ctx context.Context, c *Claim, answer CallAnswer) (kept bool) {
	row := c.Row
	row.State = IntentDone
	if len(answer.Body) <= maxInlineBytes {
		row.Answer = &answer
		return i.settle(ctx, c, row)
	}
	body := mustEncode(&answer)
	row.ObjectDigest = digestOf(body)
	row.Object = c.RowKey + "-" + row.ObjectDigest
	return i.settle(ctx, c, row, Object{Name: row.Object, Body: body})
}

// SettleNotRun records that the call was not dispatched: not a byte of it was
// written to an upstream. A resend may then claim it.
func (i *Intents) SettleNotRun(ctx context.Context, c *Claim) (kept bool) {
	row := c.Row
	row.State = IntentNotRun
	return i.settle(ctx, c, row)
}

// SettleUnknown records that the call was dispatched and its answer was not
// received.
func (i *Intents) SettleUnknown(ctx context.Context, c *Claim) (kept bool) {
	row := c.Row
	row.State = IntentUnknown
	return i.settle(ctx, c, row)
}

// Sweep retries the settlements that are not in the store yet.
func (i *Intents) Sweep(ctx context.Context) {
	i.mu.Lock()
	pending := i.pending
	i.pending = nil
	i.mu.Unlock()
	for _, s := range pending {
		if !i.runSettlement(ctx, s, settleStep{read: true}) {
			i.retryLater(s)
		}
	}
}

// Pending returns the number of settlements that are not in the store yet.
func (i *Intents) Pending() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.pending)
}

func (i *Intents) runClaimStep(ctx context.Context, c *claimer, step claimStep) claimStep {
	switch {
	case step.commit != nil:
		version, err := i.committer.Commit(ctx, *step.commit)
		return c.committed(version, err, i.now(ctx, c))
	case step.wait:
		i.pause(ctx, c)
	}
	row, err := i.table.Get(ctx, c.key())
	return c.read(row, err, i.now(ctx, c))
}

// now returns the time, or the deadline if the caller has disconnected.
func (i *Intents) now(ctx context.Context, c *claimer) time.Time {
	if ctx.Err() != nil {
		return c.request.Deadline
	}
	return i.common.Clock.Now()
}

// pause waits before the next read of a row, longer each time.
func (i *Intents) pause(ctx context.Context, c *claimer) {
	pause := min(maxIntentPollInterval, minIntentPollInterval<<min(c.polls, maxIntentPollDoublings))
	c.polls++
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}

func (i *Intents) settle(ctx context.Context, c *Claim, row IntentRow, objects ...Object) bool {
	s, step := newSettler(*c, row)
	s.objects = objects
	if i.runSettlement(ctx, s, step) {
		return true
	}
	i.retryLater(s)
	return false
}

// runSettlement performs the steps of a settlement and reports whether it is
// done; otherwise the store has failed.
func (i *Intents) runSettlement(ctx context.Context, s *settler, step settleStep) bool {
	if !i.putObjects(ctx, s) {
		return false
	}
	for {
		switch {
		case step.commit != nil:
			_, err := i.committer.Commit(ctx, *step.commit)
			step = s.committed(err)
		case step.read:
			step = s.read(i.table.Get(ctx, s.claim.RowKey))
		default:
			return !step.wait
		}
	}
}

// putObjects writes the objects that the row refers to.
func (i *Intents) putObjects(ctx context.Context, s *settler) bool {
	for _, o := range s.objects {
		if err := i.objects.PutObject(ctx, o.Name, o.Body); err != nil {
			i.common.Log.Warn("cannot store the answer object; retrying later", "key", s.claim.RowKey, "error", err)
			return false
		}
	}
	s.objects = nil
	return true
}

func (i *Intents) retryLater(s *settler) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.pending = append(i.pending, s)
}

func (i *Intents) newClaimID() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.claimCount++
	return i.self.Instance + "/" + i.self.Epoch + "/c" + strconv.FormatInt(i.claimCount, 36)
}

func (i *Intents) replayObject(ctx context.Context, ref *objectRef) *ClaimReply {
	refusal := &Refusal{Reason: ReasonStore, RunState: Ran, Retryable: true}
	body, err := i.objects.GetObject(ctx, ref.name)
	if errors.Is(err, store.ErrNotFound) {
		refusal = &Refusal{Reason: ReasonDamaged, RunState: Ran}
	}
	if err != nil {
		return &ClaimReply{Refusal: refusal}
	}
	answer, err := decodeAnswer(body, ref.digest)
	if err != nil {
		return &ClaimReply{Refusal: &Refusal{Reason: ReasonDamaged, RunState: Ran}}
	}
	return &ClaimReply{Replay: answer}
}
