package pools

import (
	"context"
	"time"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/engine"
	"github.com/buckthorntide/buckthorntide/group"
)

// sweepInterval is the time between two sweeps of one service's engines.
const sweepInterval = time.Second

type (
	// ProgramStates finds out which programs have ended.
	ProgramStates interface {
		// Ended returns those of the programs that have ended, and those whose
		// home didn't reply.
		Ended(ctx context.Context, programs []string) (ended, unclear []string)
	}

	// sweepResult holds the replies of the engines and the homes in one sweep.
	sweepResult struct {
		reports []engine.CacheReport
		states  []engine.ProgramStatus
	}
)

// sweep releases the caches that the service's engines hold for ended programs.
// It covers programs whose home failed after ending them, before it could
// release the caches.
func (h *Home) sweep(s *service, now time.Time) {
	if s.config.Kind != conf.KindModel || s.sweeping || now.Before(s.nextSweep) {
		return
	}
	s.sweeping = true
	s.nextSweep = now.Add(sweepInterval)
	config := s.config
	h.group.Go(func(ctx context.Context) { h.sweepEngines(ctx, s, config) })
}

func (h *Home) sweepEngines(ctx context.Context, s *service, config conf.Service) {
	defer func() {
		_ = h.thread.Post(context.WithoutCancel(ctx), func(time.Time) { s.sweeping = false })
	}()
	result := sweepResult{reports: h.listCaches(ctx, config)}
	result.states = h.programStatuses(ctx, result.reports)
	var releases []engine.Release
	err := h.thread.Do(ctx, func(now time.Time) { releases = s.applySweep(result, now) })
	if err != nil {
		return
	}
	for _, r := range releases {
		h.releaseCache(ctx, s, config, r)
	}
}

// listCaches requests the complete cache list of every engine.
func (h *Home) listCaches(ctx context.Context, config conf.Service) []engine.CacheReport {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	queries := group.NewGroup(ctx)
	lists := make([]*engine.CacheReport, len(config.Upstreams))
	for i, u := range config.Upstreams {
		queries.Go(func(ctx context.Context) {
			list, err := h.engines.ListCache(ctx, engine.Target{Address: u.Address, Credential: config.Credential})
			if err == nil {
				lists[i] = &engine.CacheReport{Engine: u.Name, Capacity: u.CacheTokens, Entries: list.Entries}
			}
		})
	}
	queries.Wait()
	queries.Close()
	var reports []engine.CacheReport
	for _, l := range lists {
		if l != nil {
			reports = append(reports, *l)
		}
	}
	return reports
}

// programStatuses queries the homes of the programs that engines have cached.
func (h *Home) programStatuses(ctx context.Context, reports []engine.CacheReport) []engine.ProgramStatus {
	seen := make(map[string]engine.ProgramState)
	for _, r := range reports {
		for _, e := range r.Entries {
			seen[e.Program] = engine.ProgramLive
		}
	}
	programs := make([]string, 0, len(seen))
	for p := range seen {
		programs = append(programs, p)
	}
	ended, unclear := h.programs.Ended(ctx, programs)
	for _, p := range ended {
		seen[p] = engine.ProgramEnded
	}
	for _, p := range unclear {
		seen[p] = engine.ProgramUnconfirmed
	}
	out := make([]engine.ProgramStatus, 0, len(seen))
	for p, state := range seen {
		out = append(out, engine.ProgramStatus{Program: p, State: state})
	}
	return out
}

// applySweep processes the replies and returns the caches to release.
func (s *service) applySweep(result sweepResult, now time.Time) []engine.Release {
	for _, r := range result.reports {
		s.sweeper.ObserveCache(r)
	}
	for _, state := range result.states {
		s.sweeper.ObserveProgram(state, now)
	}
	return s.sweeper.Tick(now)
}

func (h *Home) releaseCache(ctx context.Context, s *service, config conf.Service, r engine.Release) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for _, u := range config.Upstreams {
		if u.Name != r.Engine {
			continue
		}
		target := engine.Target{Address: u.Address, Credential: config.Credential}
		if err := h.engines.ReleaseCache(ctx, target, r.Program); err != nil {
			h.common.Log.Debug("failed to release a program's cache", "upstream", u.Name, "error", err)
			return
		}
		_ = h.thread.Post(ctx, func(time.Time) { s.index.Release(r.Engine, r.Program) })
	}
}
