package fleet

import (
	"slices"
	"time"
)

// handOver gives up the shards that have authority here and a home elsewhere.
func (f *Fleet) startHandovers(now time.Time) []Handover {
	var out []Handover
	for _, s := range f.delegations.heldShards().Shards() {
		home := f.membership.home(s)
		if home == f.config.Self.Name || home == "" || f.delegations.Authority(s, now).Seats == 0 {
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

// begin gives the shards of a handover up and remembers to tell the holders.
func (f *Fleet) startHandover(h Handover, now time.Time) {
	f.handovers = append(f.handovers, activeHandover{
		release:     Release{Handover: h.ID, To: h.To.Name, Shards: h.Shards},
		acked:       f.delegations.Acked(),
		resendUntil: now.Add(promiseDuration(f.delegationTTL())),
	})
	f.delegations.Release(h.Shards, f.nextID+1, now)
}

// releases are the handovers as one holder must hear of them.
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
