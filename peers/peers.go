// Package peers calls the peers, which are the other instances, and serves
// their calls.
package peers

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/buckthorntide/buckthorntide/budget"
	"github.com/buckthorntide/buckthorntide/bypass"
	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/crash"
	"github.com/buckthorntide/buckthorntide/peer"
	"github.com/buckthorntide/buckthorntide/resume"
	"github.com/buckthorntide/buckthorntide/roster"
	"github.com/buckthorntide/buckthorntide/rows"
	"github.com/buckthorntide/buckthorntide/share"
	"github.com/buckthorntide/buckthorntide/turns"
	"github.com/buckthorntide/buckthorntide/watch"
)

const (
	// callTimeout bounds a call that a request waits for; a round trip between
	// failure domains takes about 3 ms.
	callTimeout = 40 * time.Millisecond
	// lendTimeout bounds a call for quota tokens, several of which may follow one
	// another.
	lendTimeout = 20 * time.Millisecond
	// settleTimeout bounds a message that no request waits for.
	settleTimeout = 250 * time.Millisecond
	// transferTimeout bounds a call that transfers turns or whole tables.
	transferTimeout = 120 * time.Millisecond
	// maxUpdateSources is the maximum number of peers that News calls.
	maxUpdateSources = 2
	// maxFallbackPeers is the maximum number of peers that a store call is sent
	// to.
	maxFallbackPeers = 3
	// fallbackTimeout bounds such a call; it includes the store's time.
	fallbackTimeout = 400 * time.Millisecond
	// goneTime is how long a process must not have answered before others go on without it. One
	// that is only slow still has the tokens that it holds.
	goneTime = time.Second
	// maxConcurrentTells bounds the concurrent messages to all peers.
	maxConcurrentTells = 16

	// errEjected means that the peer is ejected after a call without a reply.
	errEjected = errors.ConstError("instance did not answer just now")
	// errHolderGone means that the process that held an allocation has ended.
	errHolderGone = errors.ConstError("holder has ended")
	// errWitnessesGone means that too few witnesses of a lost process still know of it.
	errWitnessesGone = errors.ConstError("witnesses have ended")
	// errSlow means that a process that does not answer may only be slow.
	errSlow = errors.ConstError("instance may only be slow")
	// errStopping refuses a reservation during a planned stop, so that the asker's own
	// ledger makes it.
	errStopping = errors.ConstError("instance is stopping")
)

// Client calls the peers on the roster and serves their calls. It is safe for
// concurrent use.
type Client struct {
	log    hclog.Logger
	roster *roster.Roster
	conns  *peer.Conns
	// seeds are asked for updates while no other peer is known.
	seeds []roster.Entry
	// ledger is this instance's budget ledger, for programs assigned to it.
	ledger *budget.Ledger
	// store is used to read rows that must not be out of date.
	store rows.Store
	// handedOver has each handover that was confirmed.
	handedOver sync.Map
}

// NewClient returns a client of the peers on the roster. The seeds are addresses
// (IP:port) of instances from which one that knows no other learns of them; they
// may be out of date.
func NewClient(log hclog.Logger, r *roster.Roster, conns *peer.Conns, seeds []string) *Client {
	m := &Client{log: log, roster: r, conns: conns}
	for _, address := range seeds {
		if address != r.Self().Address {
			m.seeds = append(m.seeds, roster.Entry{Name: "seed " + address, Address: address})
		}
	}
	return m
}

// Instances returns how many instances are known, including this one.
func (m *Client) Instances() int { return m.roster.Len() }

// Serve sets this instance's ledger, which itself calls the peers, and the store. It must be
// called before the first call to a peer.
func (m *Client) Serve(ledger *budget.Ledger, store rows.Store) { m.ledger, m.store = ledger, store }

// Release makes a holder give up the tokens of a program's allocation that it
// doesn't need, and returns their number.
func (m *Client) Release(ctx context.Context, holder, program string) (int, error) {
	e, err := m.holder(holder)
	if err != nil {
		return 0, err
	}
	reply, err := call(ctx, m, budget.Release, e, &budget.ReleaseRequest{Program: program}, callTimeout)
	if errors.Is(err, peer.ErrFailed) {
		return 0, errors.WithType(err, budget.ErrInTransit)
	}
	if err != nil {
		return 0, err
	}
	if reply.Holder != holder {
		return 0, errHolderGone
	}
	return reply.Freed, nil
}

// holder returns the entry of the process with the holder name.
func (m *Client) holder(name string) (roster.Entry, error) {
	instance, _, _ := strings.Cut(name, "#")
	e, ok := m.roster.Find(instance)
	if !ok || e.HolderName() != name {
		return roster.Entry{}, errHolderGone
	}
	return e, nil
}

// Holders returns how many peers hold a share of the quota.
func (m *Client) Holders(q share.Quota) int { return len(m.holders(q)) }

// Lend asks one of the peers that hold a share of the quota, by its rank among
// them.
func (m *Client) Lend(ctx context.Context, holder int, q share.Quota, a share.Ask) (share.Loan, bool) {
	holders := m.holders(q)
	if holder >= len(holders) {
		// The roster has just changed.
		return share.Loan{}, false
	}
	loan, err := call(ctx, m, share.Lend, holders[holder], &share.LendRequest{Quota: q, Ask: a}, lendTimeout)
	if err != nil {
		return share.Loan{}, false
	}
	return *loan, true
}

func (m *Client) holders(q share.Quota) []roster.Entry {
	leaders := m.roster.Leaders(q.Name, q.Holders(m.roster.Len()))
	self := m.roster.Self().Name
	i := slices.IndexFunc(leaders, func(e roster.Entry) bool { return e.Name == self })
	if i < 0 {
		return leaders
	}
	return slices.Concat(leaders[:i], leaders[i+1:])
}

// CommitViaPeer commits a transaction via a peer.
func (m *Client) CommitViaPeer(ctx context.Context, txn rows.Txn) (int64, error) {
	page, err := viaPeers(ctx, m, bypass.Commit, &bypass.CommitRequest{Txn: txn})
	return page.Version, err
}

// RangeViaPeer reads rows via a peer.
func (m *Client) RangeViaPeer(ctx context.Context, q rows.Query) (rows.Page, error) {
	return viaPeers(ctx, m, bypass.Range, &bypass.RangeRequest{Query: q})
}

// viaPeers sends a store call to a few peers, one after the other, until the
// store replies to one of them.
func viaPeers[Q any](ctx context.Context, m *Client, method peer.Method[Q, bypass.Reply], q *Q) (rows.Page, error) {
	result := rows.ErrNotDone
	for _, e := range m.Any(maxFallbackPeers) {
		reply, err := call(ctx, m, method, e, q, fallbackTimeout)
		if err != nil {
			result = rows.ErrUnknown
			continue
		}
		page, err := reply.Result()
		if err == nil || errors.Is(err, rows.ErrConflict) {
			return page, err
		}
		if errors.Is(err, rows.ErrUnknown) {
			result = rows.ErrUnknown
		}
	}
	return rows.Page{}, result
}

// Find requests a turn from all peers; it returns nil if none replies with it.
func (m *Client) Find(ctx context.Context, id string) *turns.Turn {
	var mu sync.Mutex
	var found *turns.Turn
	var wg sync.WaitGroup
	for _, e := range m.roster.Others() {
		wg.Go(func() {
			reply, err := call(ctx, m, turns.Find, e, &turns.FindRequest{ID: id}, transferTimeout)
			if err != nil || reply.Turn == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			found = reply.Turn
		})
	}
	wg.Wait()
	return found
}

// StreamOrigin asks the process for the stream with the key; ok is false if it doesn't know
// it.
func (m *Client) StreamOrigin(ctx context.Context, process, key string) (origin resume.Origin, ok bool, err error) {
	e, err := m.holder(process)
	if err != nil {
		return resume.Origin{}, false, err
	}
	reply, err := call(ctx, m, resume.AskOrigin, e, &resume.OriginRequest{Key: key}, callTimeout)
	if err != nil {
		return resume.Origin{}, false, err
	}
	if reply.Process != process {
		return resume.Origin{}, false, errHolderGone
	}
	return reply.Origin, reply.Known, nil
}

// TellCrash passes the report to all peers, each of them once.
func (m *Client) TellCrash(ctx context.Context, r crash.Report) {
	var told errgroup.Group
	told.SetLimit(maxConcurrentTells)
	for _, e := range m.roster.Others() {
		told.Go(func() error {
			if _, err := call(ctx, m, crash.Tell, e, &r, callTimeout); err != nil {
				m.log.Debug("crash report did not reach a peer", "instance", e.Name, "error", err)
			}
			return nil
		})
	}
	_ = told.Wait()
}

// Updates requests updates from two peers, or from the seeds while no peer is
// known, and returns the freshest reply.
func (m *Client) Updates(ctx context.Context, known watch.Positions) (watch.Updates, bool) {
	sources := m.Any(maxUpdateSources)
	if len(sources) == 0 {
		sources = m.seeds
	}
	var best watch.Updates
	found := false
	for _, e := range sources {
		reply, err := call(ctx, m, FetchUpdates, e, &UpdatesRequest{Known: known}, transferTimeout)
		if err != nil {
			continue
		}
		fresher := reply.Updates.Known && (!best.Known || reply.Updates.Age < best.Age)
		if !found || fresher {
			best, found = reply.Updates, true
		}
	}
	return best, found
}

// Any returns up to n random peers that are not ejected.
func (m *Client) Any(n int) []roster.Entry {
	var found []roster.Entry
	others := m.roster.Others()
	now := common.Uptime()
	for _, i := range rand.Perm(len(others)) {
		if len(found) == n {
			break
		}
		if !m.roster.Ejected(others[i].Name, now) {
			found = append(found, others[i])
		}
	}
	return found
}

// call sends one request and records in the roster whether the peer replied.
func call[Q, R any](ctx context.Context, m *Client, method peer.Method[Q, R], e roster.Entry, q *Q, timeout time.Duration) (*R, error) {
	if m.roster.Ejected(e.Name, common.Uptime()) {
		return nil, errEjected
	}
	return callNow(ctx, m, method, e, q, timeout)
}

// callNow is a call that is also made while the peer is ejected.
func callNow[Q, R any](ctx context.Context, m *Client, method peer.Method[Q, R], e roster.Entry, q *Q, timeout time.Duration) (*R, error) {
	conn, err := m.conns.To(e.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := method.Call(callCtx, conn, q)
	switch {
	case err == nil, errors.Is(err, peer.ErrFailed):
		m.roster.MarkReachable(e.Name)
	case ctx.Err() == nil:
		m.roster.MarkFailed(e.Name, common.Uptime())
		m.log.Debug("peer did not reply; ejecting it", "instance", e.Name, "method", method.Name, "error", err)
	}
	return reply, err
}
