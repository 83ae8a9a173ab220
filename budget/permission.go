package budget

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
)

// permissionWait is how long a grant waits for the witnesses. The holder that asked for it
// waits little longer.
const permissionWait = 25 * time.Millisecond

type (
	// permission is what this process' witnesses permit it to grant without the store, as
	// the home of programs.
	permission struct {
		mu sync.Mutex
		// epoch numbers the registrations of this process, each of which names its
		// witnesses. It is 0 while there are none.
		epoch int64
		// period numbers the times after each of which the store had all grants. asked is
		// set once a witness was asked in this one.
		period    int64
		asked     bool
		witnesses map[string]*engagement
		// given are the witnesses that permitted grants to each program in this period.
		given map[string]map[string]bool
	}

	// engagement is one witness.
	engagement struct {
		// process is the incarnation that was engaged, empty if none was; period is the last
		// one that it was told of.
		process string
		period  int64
		// since is when it was engaged. A program whose permission an earlier incarnation
		// revoked is listed as heavy a record delay later at most.
		since time.Duration
	}

	// Standing is what others know of a process that may be the home of programs.
	Standing struct {
		// Process is its holder name.
		Process string
		// Epoch numbers its registrations, and Witnesses are the instances that the last
		// one names.
		Epoch     int64
		Witnesses []string
	}
)

// permitQuorum returns how many of the witnesses must permit a grant, and revokeQuorum how
// many must have revoked the permission so that it wasn't and won't be used: each two such
// sets have a witness in common.
func permitQuorum(witnesses int) int { return (witnesses + 1) / 2 }

func revokeQuorum(witnesses int) int { return witnesses - permitQuorum(witnesses) + 1 }

// instanceOf returns the instance's name in a holder name.
func instanceOf(process string) string {
	name, _, _ := strings.Cut(process, "#")
	return name
}

// begin sets the witnesses of a new registration, and revokes all earlier permission.
func (p *permission) begin(epoch int64, names []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.epoch, p.given, p.asked = epoch, make(map[string]map[string]bool), false
	p.witnesses = make(map[string]*engagement, len(names))
	for _, name := range names {
		p.witnesses[name] = &engagement{}
	}
}

// renew begins a new period once all grants are recorded, and returns the requests to those
// witnesses that don't know of it or have been replaced, by name. The current process of a
// witness is empty if it isn't listed.
func (p *permission) renew(holder string, current func(name string) string, recorded func() bool) map[string]*EngageRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := make(map[string]*EngageRequest)
	for name, e := range p.witnesses {
		if process := current(name); process != "" && (process != e.process || p.asked || e.period != p.period) {
			open[name] = &EngageRequest{Witness: process, Process: holder, Epoch: p.epoch}
		}
	}
	if len(open) == 0 || !recorded() {
		return nil
	}
	if p.asked {
		p.period++
		p.asked = false
		clear(p.given)
	}
	for name, q := range open {
		q.Period = p.period
		if e := p.witnesses[name]; e.process != q.Witness {
			e.process = ""
		}
	}
	return open
}

// engaged records that a witness is engaged.
func (p *permission) engaged(name string, q *EngageRequest, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.witnesses[name]
	if !ok || q.Epoch != p.epoch {
		return
	}
	if e.process != q.Witness {
		e.process, e.since = q.Witness, now
	}
	e.period = max(e.period, q.Period)
}

// ask returns the requests to the witnesses that may still permit grants to the program, by
// name, or none if enough have. Those that were engaged later than the given time don't
// count.
func (p *permission) ask(holder, program string, engagedBy time.Duration) map[string]*PermitRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	open := make(map[string]*PermitRequest)
	if p.permitted(program, engagedBy) {
		return open
	}
	for name, e := range p.witnesses {
		if e.process != "" && e.since <= engagedBy && !p.given[program][name] {
			p.asked = true
			open[name] = &PermitRequest{Process: holder, Epoch: p.epoch, Period: p.period, Program: program}
		}
	}
	return open
}

// give records the reply of a witness, and reports whether there are enough.
func (p *permission) give(name string, q *PermitRequest, reply *PermitReply, engagedBy time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	e, ok := p.witnesses[name]
	if ok && reply.Permitted && q.Epoch == p.epoch && q.Period == p.period && e.process == reply.Witness {
		if p.given[q.Program] == nil {
			p.given[q.Program] = make(map[string]bool)
		}
		p.given[q.Program][name] = true
	}
	return p.permitted(q.Program, engagedBy)
}

// permitted reports whether enough witnesses that were engaged by the given time permit
// grants to the program. The caller holds the lock.
func (p *permission) permitted(program string, engagedBy time.Duration) bool {
	count := 0
	for name := range p.given[program] {
		if e := p.witnesses[name]; e.process != "" && e.since <= engagedBy {
			count++
		}
	}
	return p.epoch != 0 && len(p.witnesses) > 0 && count >= permitQuorum(len(p.witnesses))
}

// use makes a grant to the program if it is permitted, and returns its tokens. No new period
// begins meanwhile.
func (p *permission) use(program string, engagedBy time.Duration, grant func() int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.permitted(program, engagedBy) {
		return 0
	}
	return grant()
}

// SuspendPermission revokes this process' permission before its row on the roster is written.
func (l *Ledger) SuspendPermission() { l.permission.begin(0, nil) }

// Registered sets the witnesses that the process' row names since the given epoch.
func (l *Ledger) Registered(ctx context.Context, epoch int64, witnesses []string) {
	l.permission.begin(epoch, witnesses)
	l.engageWitnesses(ctx)
}

// engageWitnesses engages witnesses that are new or have started again, and tells all once
// the store has what they permitted. It does nothing while the store is down.
func (l *Ledger) engageWitnesses(ctx context.Context) {
	if l.draining.Load() || l.config.StoreDown() {
		return
	}
	var engaging errgroup.Group
	for name, q := range l.permission.renew(l.holder, l.peers.ProcessOf, l.Recorded) {
		engaging.Go(func() error {
			reply, err := l.peers.Engage(ctx, name, q)
			if err != nil || !reply.Engaged {
				l.log.Debug("witness not engaged", "witness", name, "epoch", q.Epoch, "period", q.Period, "error", err)
				return nil
			}
			l.permission.engaged(name, q, l.config.Now())
			l.log.Debug("witness engaged", "witness", q.Witness, "epoch", q.Epoch, "period", q.Period)
			return nil
		})
	}
	_ = engaging.Wait()
}

// askPermission asks the witnesses to permit grants to the program, until enough have. A
// reply that comes later than permissionWait counts for the next turn.
func (l *Ledger) askPermission(ctx context.Context, program string, engagedBy time.Duration) {
	open := l.permission.ask(l.holder, program, engagedBy)
	if len(open) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, permissionWait)
	defer cancel()
	enough := make(chan bool, len(open))
	for name, q := range open {
		started := l.group.Go(func(ctx context.Context) {
			reply, err := l.peers.Permit(ctx, name, q)
			if err != nil {
				l.log.Debug("witness did not answer", "witness", name, "program", program, "error", err)
				enough <- false
				return
			}
			enough <- l.permission.give(name, q, reply, engagedBy)
		})
		if !started {
			return
		}
	}
	for range open {
		select {
		case done := <-enough:
			if done {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// Engage makes this instance a witness of another process.
func (l *Ledger) Engage(q *EngageRequest) *EngageReply {
	return &EngageReply{Engaged: q.Witness == l.holder && l.witness.engage(q)}
}

// Permit permits another process to grant tokens to a program without the store, if that
// seems to be down for all instances.
func (l *Ledger) Permit(q *PermitRequest) *PermitReply {
	return &PermitReply{Witness: l.holder, Permitted: l.config.StoreDown() && l.witness.permit(q)}
}

// Revoke revokes another process' permission, unless this instance has given it.
func (l *Ledger) Revoke(q *RevokeRequest) *RevokeReply { return l.witness.revoke(q) }

// RevokeAll revokes a process' permission to grant anything. It reports whether the process
// has not used that since the store had all of its grants, and won't use it before it
// registers again; and whether a witness is known to have given it.
func (l *Ledger) RevokeAll(ctx context.Context, s Standing) (unused, permitted bool) {
	return l.revokeAt(ctx, s, "")
}

// revokeAt asks the process' witnesses to revoke its permission to grant tokens to the
// program, or to any if it is empty.
func (l *Ledger) revokeAt(ctx context.Context, s Standing, program string) (unused, permitted bool) {
	if len(s.Witnesses) == 0 {
		return false, false
	}
	q := &RevokeRequest{Process: s.Process, Epoch: s.Epoch, Program: program}
	replies := make(chan *RevokeReply, len(s.Witnesses))
	for _, name := range s.Witnesses {
		started := l.group.Go(func(ctx context.Context) {
			reply, err := l.peers.Revoke(ctx, name, q)
			if err != nil {
				reply = &RevokeReply{}
			}
			replies <- reply
		})
		if !started {
			return false, false
		}
	}
	revoked := 0
	for range s.Witnesses {
		select {
		case reply := <-replies:
			permitted = permitted || reply.Permitted
			if reply.Revoked {
				revoked++
			}
		case <-ctx.Done():
			return false, permitted
		}
		if revoked >= revokeQuorum(len(s.Witnesses)) {
			break
		}
	}
	unused = revoked >= revokeQuorum(len(s.Witnesses))
	l.count("budget.revoked", "budget.notRevoked", unused)
	l.log.Info("asked the witnesses of a home that doesn't answer to revoke its permission", "home", s.Process, "epoch", s.Epoch,
		"program", program, "witnesses", slices.Sorted(slices.Values(s.Witnesses)), "revoked", revoked, "permitted", permitted, "unused", unused)
	return unused, permitted
}

// count counts one of two outcomes.
func (l *Ledger) count(yes, no string, outcome bool) {
	name := yes
	if !outcome {
		name = no
	}
	metrics.GetOrRegisterCounter(name, l.config.Metrics).Inc(1)
}
