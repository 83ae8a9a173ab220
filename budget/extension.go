package budget

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/peer"
	"github.com/buckthorntide/buckthorntide/rows"
)

// transitInterval is the time after which a holder whose tokens are in transit is asked
// again; a transaction takes about 10 ms.
const transitInterval = 25 * time.Millisecond

// extension is one attempt to reserve a further allocation.
type extension struct {
	program   string
	maxTokens int
	// endRequested is set once the home was asked to end provisional allocations;
	// ended is its reply, homeErr the error if it has none.
	endRequested bool
	ended        Ended
	homeErr      error
	// reclaimed is set once the other holders were asked; freed are the tokens that
	// they returned, holderLost is set if one of them was unreachable, or one that has
	// reserved tokens of this one; askersProbed once these were called. inTransit is set if
	// a holder has tokens in transit. outdated is set if one of them has less than
	// the row says, which is read again once, for tokens that were returned since.
	reclaimed    bool
	freed        map[string]int
	holderLost   bool
	askersProbed bool
	inTransit    bool
	outdated     bool
	reread       bool
	// unused tells of each registration whose witnesses were asked whether the home granted
	// nothing to the program.
	unused map[string]bool
}

// extend reserves a further allocation of the program's budget in the store.
//
// The tokens granted in the row, those that the home may grant provisionally and
// those that failed holders may not have spent must not exceed the budget by more
// than one turn. So a row that has granted much only grants more once the home has
// ended provisional allocations.
func (l *Ledger) extend(ctx context.Context, a *account, program string, total, maxTokens int) error {
	e := &extension{program: program, maxTokens: maxTokens, freed: make(map[string]int), unused: make(map[string]bool)}
	grant := 0
	fresh := a.row.Version == 0
	r, err := l.update(ctx, program, total, &a.row, func(r *record, version int64) error {
		l.applyPending(ctx, e, r, a)
		need := maxTokens - l.available(a)
		stale := !fresh
		fresh = true
		if stale && e.grantable(r) < need {
			return errStaleRow
		}
		if e.grantable(r) < need && !e.reclaimed && version != 0 {
			l.reclaim(ctx, e, r)
		}
		if e.grantable(r) < need && !e.holderLost && !e.askersProbed {
			e.askersProbed = true
			e.holderLost = l.askerLost(ctx, program)
		}
		if !r.Heavy && !e.endRequested && r.sum()+need > heavyPercent*r.Total/100 {
			l.endProvisionals(ctx, e, r)
		}
		if e.grantable(r) < need && e.inTransit && group.Sleep(ctx, transitInterval) {
			e.reclaimed, e.inTransit = false, false
			return errStaleRow
		}
		if e.grantable(r) < need && e.outdated && !e.reread {
			e.reread = true
			return errStaleRow
		}
		if e.grantable(r) < need {
			return l.refuse(e, r, need, version)
		}
		grant = max(need, min(e.grantable(r)/2, allocationTurns*maxTokens))
		r.Allocations[l.holder] += grant
		r.setSequence(l.holder, l.nextSequence())
		return nil
	})
	if err != nil {
		return err
	}
	l.addAllocation(a, grant, r.Provisionals[l.holder])
	return nil
}

// update applies the change to the program's row, retries it on conflicts and
// returns the written record. It starts from the row as last read and keeps that
// up to date. Any error of the change other than errStaleRow ends it.
//
// A transaction whose reply is lost may have taken effect although its repetition
// finds a row of another writer. A change that must not be made twice sets the
// holder's sequence number, by which it is recognized then.
func (l *Ledger) update(
	ctx context.Context, program string, total int, known *rows.Row, change func(r *record, version int64) error,
) (*record, error) {
	known.ID = rowID(program)
	for range maxTries {
		r, err := decode(*known, total)
		if err != nil {
			l.log.Error("cannot decode the program's budget row", "program", program, "error", err)
			// The next try reads it again.
			*known = rows.Row{ID: known.ID}
			return nil, errors.WithType(err, ErrUnavailable)
		}
		sequence := r.Sequences[l.holder]
		if err := change(r, known.Version); errors.Is(err, errStaleRow) {
			*known = rows.Row{ID: known.ID}
			continue
		} else if err != nil {
			return nil, err
		}
		written, err := l.write(ctx, *known, r)
		var conflict *rows.ConflictError
		switch {
		case err == nil:
			*known = written
			return r, nil
		case errors.As(err, &conflict):
			*known = conflict.Row(known.ID)
			if r.Sequences[l.holder] == sequence {
				continue
			}
			current, err := decode(*known, total)
			if err == nil && current.Sequences[l.holder] == r.Sequences[l.holder] {
				return current, nil
			}
		default:
			// If the write took effect after all, the allocation counts as spent.
			return nil, errors.WithType(err, ErrUnavailable)
		}
	}
	return nil, errors.Annotate(ErrUnavailable, "row changes too often")
}

// applyPending adds to the record what the row may lack: tokens that other holders
// returned, provisional allocations, and those of homes that were lost.
func (l *Ledger) applyPending(ctx context.Context, e *extension, r *record, a *account) {
	for holder, n := range e.freed {
		r.returnTokens(holder, n)
	}
	l.addGranted(e.program, r)
	l.mu.Lock()
	r.addProvisional(l.holder, a.provisional)
	l.mu.Unlock()
	l.addLosses(ctx, e, r, l.peers.Losses(e.program))
	l.applyEnded(ctx, e, r)
}

// addLosses counts what one of the lost homes may have granted, unless the row has all that
// each of them granted, by its own word or by that of its witnesses.
func (l *Ledger) addLosses(ctx context.Context, e *extension, r *record, homes []string) {
	if r.Heavy || r.countsLoss(homes) {
		return
	}
	for _, home := range homes {
		if !r.Closed[home] && !l.closedByWitnesses(ctx, e, r, home) {
			r.addLoss(home, maxProvisional(r.Total, e.maxTokens))
			return
		}
	}
}

// closedByWitnesses reports whether the row has all that the lost home granted, as its
// witnesses know, and records that for the home's registration: it may register again.
func (l *Ledger) closedByWitnesses(ctx context.Context, e *extension, r *record, home string) bool {
	s, err := l.peers.Standing(ctx, home)
	if err != nil {
		l.log.Debug("witnesses of a lost home are unknown", "home", home, "error", err)
		return false
	}
	registration := home + "@" + strconv.FormatInt(s.Epoch, 10)
	if r.Closed[registration] {
		return true
	}
	unused, asked := e.unused[registration]
	if !asked {
		unused, _ = l.revokeAt(ctx, s, e.program)
		e.unused[registration] = unused
	}
	if unused {
		r.close(registration)
	}
	return unused
}

// addGranted adds what this instance granted as the program's home. It grants no more once
// it has an allocation.
func (l *Ledger) addGranted(program string, r *record) {
	closed := l.allocated(program)
	for holder, n := range l.home.granted(program) {
		r.addProvisional(holder, n)
	}
	if closed {
		r.close(l.holder)
	}
}

// endProvisionals asks the program's home to end provisional allocations.
func (l *Ledger) endProvisionals(ctx context.Context, e *extension, r *record) {
	e.endRequested = true
	e.ended, e.homeErr = l.peers.EndProvisionals(ctx, e.program)
	if e.homeErr != nil && !errors.Is(e.homeErr, ErrUnavailable) && !errors.Is(e.homeErr, peer.ErrFailed) {
		l.log.Info("home does not answer; ending provisional allocations without it", "program", e.program, "error", e.homeErr)
		e.ended, e.homeErr = l.endWithoutHome(ctx, e.program)
	}
	if e.homeErr != nil {
		l.log.Info("home did not end provisional allocations; counting the maximum as granted",
			"program", e.program, "advance", maxProvisional(r.Total, e.maxTokens), "error", e.homeErr)
	}
	l.applyEnded(ctx, e, r)
}

// applyEnded marks the program as heavy if its home has ended provisional
// allocations.
func (l *Ledger) applyEnded(ctx context.Context, e *extension, r *record) {
	if !e.endRequested || e.homeErr != nil {
		return
	}
	l.addLosses(ctx, e, r, e.ended.Losses)
	r.Heavy = true
	for holder, n := range e.ended.Holders {
		r.addProvisional(holder, n)
	}
}

func (l *Ledger) refuse(e *extension, r *record, need int, version int64) error {
	if !r.Heavy && e.homeErr != nil && e.limit(r)-r.sum() >= need {
		return errors.WithType(e.homeErr, ErrUnavailable)
	}
	if e.inTransit {
		return errors.WithType(ErrInTransit, ErrUnavailable)
	}
	l.log.Info("refused turn: the budget is spent", "program", e.program, "total", r.Total,
		"granted", r.sum(), "returned", total(r.Returned), "needed", need, "rowVersion", version, "holderLost", e.holderLost,
		"heavy", r.Heavy, "lost", total(r.Lost))
	return ErrSpent
}

// write replaces the row by the record and returns the new row. It also lists the program
// as heavy once its room for provisional allocations is short.
func (l *Ledger) write(ctx context.Context, current rows.Row, r *record) (rows.Row, error) {
	newlyListed := r.list()
	r.Writer = l.holder + "/" + strconv.FormatInt(l.nextSequence(), 10)
	value, err := json.Marshal(r)
	if err != nil {
		return rows.Row{}, errors.Trace(err)
	}
	txn := rows.Txn{
		Expect: []rows.Expectation{{ID: current.ID, Version: current.Version}},
		Writes: []rows.Write{{ID: current.ID, Value: value}},
	}
	if newlyListed {
		txn.Writes = append(txn.Writes, rows.Write{
			ID:    rows.ID{Table: HeavyTable, Part: current.Part, Key: current.Key},
			Value: []byte(heavyMark),
		})
	}
	version, err := rows.CommitUntilKnown(ctx, l.store, txn)
	if err != nil {
		return rows.Row{}, err
	}
	return rows.Row{ID: current.ID, Value: value, Version: version}, nil
}

// reclaim asks the other holders to return unused tokens, and records whether the
// holder of an allocation was unreachable.
func (l *Ledger) reclaim(ctx context.Context, e *extension, r *record) {
	e.reclaimed = true
	for _, holder := range r.holders() {
		held := r.held(holder)
		if holder == l.holder || held <= 0 {
			continue
		}
		got, err := l.peers.Release(ctx, holder, e.program)
		if errors.Is(err, ErrInTransit) {
			e.inTransit = true
			continue
		}
		if err != nil {
			l.log.Info("budget holder unreachable; counting its reserved tokens as spent",
				"program", e.program, "holder", holder, "slice", r.Allocations[holder], "held", held, "error", err)
			e.holderLost = e.holderLost || r.Allocations[holder] > 0
			continue
		}
		freed := min(got, held)
		e.outdated = e.outdated || freed < held
		e.freed[holder] += freed
		r.returnTokens(holder, freed)
	}
}

// askerLost reports whether an instance doesn't answer that has reserved tokens of the
// program here. It most likely hands out fewer.
func (l *Ledger) askerLost(ctx context.Context, program string) bool {
	askers := l.desk.askers(program)
	lost := make(chan bool, len(askers))
	for _, asker := range askers {
		if !l.group.Go(func(ctx context.Context) { lost <- !l.peers.Answers(ctx, asker) }) {
			return false
		}
	}
	for range askers {
		select {
		case gone := <-lost:
			if gone {
				l.log.Info("an instance that reserved tokens of the program does not answer", "program", program, "askers", askers)
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// limit returns the maximum sum of the program's allocations, provisional ones
// included.
func (e *extension) limit(r *record) int {
	if e.holderLost || len(r.Lost) > 0 {
		// A failed holder most likely spent less than its allocation, and a lost home
		// granted less than the maximum, so one turn beyond the budget is allowed.
		return r.Total + e.maxTokens
	}
	return r.Total
}

// grantable returns the tokens that may still be granted.
func (e *extension) grantable(r *record) int {
	limit := e.limit(r)
	if !r.Heavy {
		// The home may still grant the maximum provisional allocation.
		limit = min(limit, r.Total+e.maxTokens-maxProvisional(r.Total, e.maxTokens))
	}
	return limit - r.sum()
}
