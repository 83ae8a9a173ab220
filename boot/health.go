package boot

import "github.com/buckthorntide/buckthorntide/fleet"

const (
	reasonStarting = "the instance is starting"
	reasonNoText   = "no text is in force yet"
	reasonIsolated = "neither the platform nor a peer was heard"
	reasonDraining = "the instance is stopping"
	reasonNoHomes  = "the fleet has no homes yet"
	reasonExcluded = "the instance's failure domain is taken out"
)

// RefusalReason returns the reason why the instance refuses calls, or an empty text.
func (n *Node) RefusalReason() string {
	switch {
	case !n.started.Load():
		return reasonStarting
	case !n.gossip.Ready():
		return reasonNoText
	case !n.gossip.Fresh(), n.member.View().Isolated(n.common.Clock.Now()):
		return reasonIsolated
	default:
		return ""
	}
}

// NotReadyReason returns the reason why the load balancer should send no calls, or an
// empty text.
func (n *Node) NotReadyReason() string {
	if reason := n.RefusalReason(); reason != "" {
		return reason
	}
	switch {
	case n.draining.Load():
		return reasonDraining
	case n.gossip.Text().DomainOut(n.self.FailureDomain):
		return reasonExcluded
	case n.shardsWithHome() == 0:
		return reasonNoHomes
	default:
		return ""
	}
}

// Draining reports whether a planned stop is in progress.
func (n *Node) Draining() bool { return n.draining.Load() }

func (n *Node) shardsWithHome() int {
	view := n.member.View()
	count := 0
	for s := range fleet.ShardCount {
		if _, ok := view.Home(fleet.Shard(s)); ok {
			count++
		}
	}
	return count
}
