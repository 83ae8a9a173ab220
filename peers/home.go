package peers

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/budget"
	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/peer"
	"github.com/buckthorntide/buckthorntide/roster"
	"github.com/buckthorntide/buckthorntide/rows"
)

// handover is what an earlier home has to say once.
type handover struct {
	process  string
	leaving  bool
	listedAt time.Duration
}

// RequestProvisional requests a provisional allocation from the program's home. There is
// none while the home is unreachable, since two homes could allocate more than
// the budget.
func (m *Client) RequestProvisional(ctx context.Context, holder, program string, total, most int) (int, error) {
	q := &budget.ProvisionalRequest{Holder: holder, Program: program, Total: total, MaxTokens: most}
	reply, err := callHome(ctx, m, program, budget.GrantProvisional, q, m.serveAdvance)
	if err != nil {
		return 0, err
	}
	return reply.Tokens, nil
}

// EndProvisionals makes the program's home refuse provisional allocations from now
// on, and returns those so far.
func (m *Client) EndProvisionals(ctx context.Context, program string) (budget.Ended, error) {
	q := &budget.EndProvisionalsRequest{Program: program}
	ended, err := callHome(ctx, m, program, budget.EndProvisionals, q, m.serveEndAdvances)
	if err != nil {
		return budget.Ended{}, err
	}
	return *ended, nil
}

// IsHome reports whether this instance is the program's home.
func (m *Client) IsHome(program string) bool {
	return m.roster.First(program).Name == m.roster.Self().Name
}

// ReserveAtHome makes the reservation at the program's home, and returns the home's
// holder name.
func (m *Client) ReserveAtHome(ctx context.Context, q *budget.ReserveRequest, timeout time.Duration) (*budget.ReserveReply, string, error) {
	home := m.roster.First(q.Program)
	reply, err := call(ctx, m, budget.Reserve, home, q, timeout)
	if errors.Is(err, errEjected) {
		// Nothing was sent.
		return nil, "", err
	}
	return reply, home.HolderName(), err
}

// SettleAt ends a reservation at the process with the holder name, or does nothing
// if that has ended. It asks an ejected home too, since the program can't use the
// reserved tokens until then.
func (m *Client) SettleAt(ctx context.Context, home string, q *budget.SettleRequest) error {
	e, err := m.holder(home)
	if err != nil {
		return nil
	}
	_, err = callNow(ctx, m, budget.Settle, e, q, settleTimeout)
	return err
}

// HomeSince returns since when this instance has been the program's home, if it is and
// the store lists this instance.
func (m *Client) HomeSince(program string) (time.Duration, bool) { return m.roster.FirstSince(program) }

// WasHome reports whether this instance is the program's home or was until the given
// time ago.
func (m *Client) WasHome(program string, within time.Duration) bool {
	return m.roster.Listed() && (m.IsHome(program) || common.Uptime()-m.roster.ChangedAt() < within)
}

// EarlierHomes returns the listed processes that may have been the program's home before this
// one and have not handed over: that know that this one is, and have recorded what they
// granted; and up to when the others did. Each process is asked until it says so once; those
// that were listed after this one were never the home.
func (m *Client) EarlierHomes(ctx context.Context, program string) (open []string, recordedAt time.Duration) {
	for _, e := range m.roster.EarlierHomes(program) {
		at, done := m.handedOver.Load(m.handoverOf(e))
		if !done && m.askHandover(ctx, e) {
			at, done = m.handedOver.Load(m.handoverOf(e))
		}
		if !done {
			open = append(open, e.HolderName())
			continue
		}
		recordedAt = max(recordedAt, at.(time.Duration))
	}
	return open, recordedAt
}

// PossibleHomes returns the listed processes that may be or have been the program's home.
func (m *Client) PossibleHomes(program string) []string {
	homes := m.roster.PossibleHomes(program)
	processes := make([]string, 0, len(homes))
	for _, e := range homes {
		processes = append(processes, e.HolderName())
	}
	return processes
}

// EndAt makes the process refuse the program provisional allocations, and returns those so
// far.
func (m *Client) EndAt(ctx context.Context, process, program string) (map[string]int, error) {
	e, err := m.holder(process)
	if err != nil {
		return nil, err
	}
	reply, err := call(ctx, m, budget.EndAt, e, &budget.EndAtRequest{Process: process, Program: program}, callTimeout)
	if err != nil {
		return nil, err
	}
	if reply.Process != process {
		return nil, errHolderGone
	}
	return reply.Holders, nil
}

// Answers reports whether the process answers.
func (m *Client) Answers(ctx context.Context, process string) bool {
	e, err := m.holder(process)
	if err != nil {
		return false
	}
	reply, err := call(ctx, m, budget.Handover, e, &budget.HandoverRequest{Process: m.roster.Self().HolderName()}, callTimeout)
	return err == nil && reply.Process == process
}

// Standing reads the row of a listed process that seems to be gone, which may have been
// written again since the roster was read, or returns the one with which a process was lost.
func (m *Client) Standing(ctx context.Context, process string) (budget.Standing, error) {
	name, _, _ := strings.Cut(process, "#")
	if _, listed := m.holder(process); listed != nil {
		l, lost := m.roster.LostProcess(process)
		if !lost {
			return budget.Standing{}, errHolderGone
		}
		if !m.roster.WitnessesKnow(l) {
			return budget.Standing{}, errWitnessesGone
		}
		return StandingOf(l.Entry), nil
	}
	if !m.roster.SeemsGone(name, common.Uptime(), goneTime) {
		return budget.Standing{}, errSlow
	}
	e, err := readEntry(ctx, m.store, name)
	if err != nil {
		return budget.Standing{}, err
	}
	if e.HolderName() != process {
		return budget.Standing{}, errHolderGone
	}
	return StandingOf(e), nil
}

// StandingOf returns the standing of an entry's process.
func StandingOf(e roster.Entry) budget.Standing {
	return budget.Standing{Process: e.HolderName(), Epoch: e.Epoch, Witnesses: e.Witnesses}
}

// ProcessOf returns the listed process of an instance; empty if there is none.
func (m *Client) ProcessOf(instance string) string {
	e, ok := m.roster.Find(instance)
	if !ok {
		return ""
	}
	return e.HolderName()
}

// Engage makes an instance a witness of this process.
func (m *Client) Engage(ctx context.Context, instance string, q *budget.EngageRequest) (*budget.EngageReply, error) {
	return callWitness(ctx, m, instance, budget.Engage, q, m.ledger.Engage)
}

// Permit asks a witness to permit grants to a program.
func (m *Client) Permit(ctx context.Context, instance string, q *budget.PermitRequest) (*budget.PermitReply, error) {
	return callWitness(ctx, m, instance, budget.Permit, q, m.ledger.Permit)
}

// Revoke asks a witness to revoke a process' permission.
func (m *Client) Revoke(ctx context.Context, instance string, q *budget.RevokeRequest) (*budget.RevokeReply, error) {
	return callWitness(ctx, m, instance, budget.Revoke, q, m.ledger.Revoke)
}

// callWitness sends the request to the instance, which may be this one.
func callWitness[Q, R any](ctx context.Context, m *Client, instance string, method peer.Method[Q, R], q *Q, local func(q *Q) *R) (*R, error) {
	if instance == m.roster.Self().Name {
		return local(q), nil
	}
	e, ok := m.roster.Find(instance)
	if !ok {
		return nil, errors.Annotatef(errHolderGone, "witness %s", instance)
	}
	return call(ctx, m, method, e, q, callTimeout)
}

// AskHandover asks one of the instances that have not handed over to this one yet, and
// reports whether there was any: in an outage one of them may not answer.
func (m *Client) AskHandover(ctx context.Context) bool {
	open := slices.DeleteFunc(m.roster.Earlier(), func(e roster.Entry) bool {
		_, done := m.handedOver.Load(m.handoverOf(e))
		return done
	})
	if len(open) == 0 {
		m.forgetHandovers()
		return false
	}
	m.askHandover(ctx, open[rand.IntN(len(open))])
	return true
}

// forgetHandovers drops those of processes that are not listed any more.
func (m *Client) forgetHandovers() {
	m.handedOver.Range(func(key, _ any) bool {
		if _, err := m.holder(key.(handover).process); err != nil {
			m.handedOver.Delete(key)
		}
		return true
	})
}

// askHandover asks the instance whether it knows that this one is listed, and has recorded
// what it granted to programs that this one is the home of, and remembers up to when it did.
func (m *Client) askHandover(ctx context.Context, e roster.Entry) bool {
	key := m.handoverOf(e)
	reply, err := call(ctx, m, budget.Handover, e, &budget.HandoverRequest{Process: m.roster.Self().HolderName()}, callTimeout)
	if err != nil || !reply.Done || reply.Process != e.HolderName() {
		m.log.Debug("an earlier home may have grants that aren't recorded", "instance", e.Name, "error", err)
		return false
	}
	m.handedOver.Store(key, common.Uptime()-reply.RecordedFor)
	return true
}

// handoverOf returns what the instance hands over: more of it once it leaves, and anew each
// time that this one is listed.
func (m *Client) handoverOf(e roster.Entry) handover {
	return handover{process: e.HolderName(), leaving: e.Leaving, listedAt: m.roster.ListedAt()}
}

// serveHandover confirms a handover. An asker that the roster lacks may have been listed
// just now, so its row is read.
func (m *Client) serveHandover(ctx context.Context, q *budget.HandoverRequest, store rows.Store) (*budget.HandoverReply, error) {
	asker, err := m.holder(q.Process)
	if err != nil {
		name, _, _ := strings.Cut(q.Process, "#")
		var e roster.Entry
		if e, err = readEntry(ctx, store, name); err == nil {
			m.roster.Set(e)
			asker, err = m.holder(q.Process)
		}
		if err != nil {
			m.log.Debug("an asker's row could not be read", "instance", name, "error", err)
		}
	}
	reply := &budget.HandoverReply{Process: m.ledger.Holder()}
	if err == nil {
		reply.RecordedFor, reply.Done = m.ledger.RecordedFor(func(program string) bool { return m.roster.First(program).Name == asker.Name })
	}
	return reply, nil
}

// readEntry reads the row of an instance, which may be newer than the roster.
func readEntry(ctx context.Context, store rows.Store, name string) (roster.Entry, error) {
	row, err := roster.ReadRow(ctx, store, name)
	if err != nil {
		return roster.Entry{}, err
	}
	if row.Version == 0 {
		return roster.Entry{}, errHolderGone
	}
	return roster.Decode(row)
}

// Losses returns the lost processes that may have been the program's home.
func (m *Client) Losses(program string) []string { return m.roster.Losses(program) }

// callHome sends the request to the program's home, or calls local if this
// instance is the home.
func callHome[Q, R any](
	ctx context.Context, m *Client, program string, method peer.Method[Q, R], q *Q,
	local func(ctx context.Context, q *Q) (*R, error),
) (*R, error) {
	home := m.roster.First(program)
	if home.Name == m.roster.Self().Name {
		return local(ctx, q)
	}
	return call(ctx, m, method, home, q, callTimeout)
}

func (m *Client) serveAdvance(ctx context.Context, q *budget.ProvisionalRequest) (*budget.ProvisionalReply, error) {
	return &budget.ProvisionalReply{Tokens: m.ledger.GrantProvisional(ctx, q.Holder, q.Program, q.Total, q.MaxTokens, common.Uptime())}, nil
}

func (m *Client) serveEndAdvances(ctx context.Context, q *budget.EndProvisionalsRequest) (*budget.Ended, error) {
	ended, err := m.ledger.EndProvisionals(ctx, q.Program)
	if err != nil {
		return nil, err
	}
	return &ended, nil
}
