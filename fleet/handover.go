package fleet

import (
	"slices"
	"time"
)

// startHandovers gives up the shards that have authority here although another
// instance is their home, with one handover per new home.
func (f *Fleet) startHandovers(now time.Time) []Handover {
	var out []Handover
	for _, s := range f.delegations.heldShards().Shards() {
		home := f.membership.home(s)
		if home == f.config.Self.Name || home == "" || f.delegations.Authority(s, now).Slots == 0 {
			continue
		}
		at := slices.IndexFunc(out, func(h Handover) bool { return h.To.Name == home })
		if at < 0 {
			at = len(out)
			out = append(out, Handover{ID: f.rng.Uint64() | 1, To: f.membership.byName[home].instance})
		}
		out[at].Shards.Set(s)
	}
	for _, h := range out {
		f.startHandover(h, now)
	}
	return out
}

// startHandover gives up the shards of a handover and queues its release for the
// slot holders.
func (f *Fleet) startHandover(h Handover, now time.Time) {
	f.handovers = append(f.handovers, activeHandover{
		release:     Release{Handover: h.ID, To: h.To.Name, Shards: h.Shards},
		acked:       f.delegations.Acked(),
		resendUntil: now.Add(promiseDuration(f.delegationTTL())),
	})
	f.delegations.Release(h.Shards, f.nextID+1, now)
}

// releasesFor returns the releases to send to one holder. Shards that are
// assigned to this instance again are left out.
func (f *Fleet) releasesFor(holder string, now time.Time) []Release {
	f.dropExpiredHandovers(now)
	own := f.membership.own
	var releases []Release
	for _, h := range f.handovers {
		r := h.release
		r.Acked = h.acked[holder]
		for i := range r.Shards {
			r.Shards[i] &^= own[i]
		}
		if !r.Shards.Empty() {
			releases = append(releases, r)
		}
	}
	return releases
}

func (f *Fleet) dropExpiredHandovers(now time.Time) {
	f.handovers = slices.DeleteFunc(f.handovers, func(h activeHandover) bool {
		return !now.Before(h.resendUntil)
	})
}
