package boot

import (
	"context"
	"time"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/engine"
	"github.com/buckthorntide/buckthorntide/limit"
	"github.com/buckthorntide/buckthorntide/prog"
)

// releaseTimeout bounds the request that frees one program's cache on one
// engine.
const releaseTimeout = 5 * time.Second

// textFollower applies a new configuration text to the other subsystems.
type textFollower struct{ node *Node }

// SetText applies the new text; it is called on the control thread.
func (f textFollower) SetText(old, text *conf.Text, now time.Time) {
	f.node.member.SetExcludedDomains(text.DomainsOut, now)
	f.node.pools.SetText(text, now)
	f.node.orders.SetText(text, now)
	for _, t := range text.Teams {
		previous, ok := old.Team(t.Name)
		if ok && grantOf(previous) != grantOf(t) {
			f.node.quota.SetGrant(t.Name, grantOf(previous), grantOf(t), now)
		}
	}
}

func grantOf(t conf.Team) limit.Grant {
	return limit.Grant{RatePerSecond: t.RatePerSecond, Burst: t.Burst}
}

// releaseCaches frees the program's prefix caches on the named engines.
func (n *Node) releaseCaches(r prog.Release) {
	for _, name := range r.Engines {
		upstream, service, ok := n.gossip.Text().Upstream(name)
		if !ok || service.Kind != conf.KindModel {
			continue
		}
		target := engine.Target{Address: upstream.Address, Credential: service.Credential}
		n.group.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
			defer cancel()
			if err := n.engines.ReleaseCache(ctx, target, r.Program); err != nil {
				n.common.Log.Debug("failed to release a program's cache", "upstream", name, "error", err)
			}
		})
	}
}
