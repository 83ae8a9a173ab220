package boot

import (
	"context"
	"time"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/engine"
	"github.com/buckthorntide/buckthorntide/limit"
	"github.com/buckthorntide/buckthorntide/prog"
)

// releaseTimeout bounds the freeing of one program's cache at one engine.
const releaseTimeout = 5 * time.Second

// textFollower brings the parts into line with a new text.
type textFollower struct{ node *Node }

// SetText is called on the control thread.
func (f textFollower) SetText(old, text *conf.Text, now time.Time) {
	f.node.member.SetDomainsOut(text.DomainsOut, now)
	f.node.pools.SetText(text, now)
	f.node.orders.SetText(text, now)
	for _, t := range text.Teams {
		before, ok := old.Team(t.Name)
		if ok && grantOf(before) != grantOf(t) {
			f.node.quota.SetGrant(t.Name, grantOf(before), grantOf(t), now)
		}
	}
}

func grantOf(t conf.Team) limit.Grant {
	return limit.Grant{RatePerSecond: t.RatePerSecond, Burst: t.Burst}
}

// release frees the caches of a program that no longer needs them.
func (n *Node) release(r prog.Release) {
	for _, name := range r.Engines {
		upstream, service, ok := n.spread.Text().Upstream(name)
		if !ok || service.Kind != conf.KindModel {
			continue
		}
		target := engine.Target{Address: upstream.Address, Credential: service.Credential}
		n.group.Go(func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
			defer cancel()
			if err := n.engines.ReleaseCache(ctx, target, r.Program); err != nil {
				n.common.Log.Debug("A cache was not released.", "upstream", name, "error", err)
			}
		})
	}
}
