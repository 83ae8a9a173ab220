package boot

import "github.com/buckthorntide/buckthorntide/fleet"

const (
	reasonStarting = "the instance is starting"
	reasonNoText   = "no text is in force yet"
	reasonIsolated = "neither the platform nor a peer was heard"
	reasonDraining = "the instance is stopping"
	reasonNoHomes  = "the fleet has no homes yet"
	reasonOut      = "the instance's failure domain is taken out"
)

// Shut tells why no call may be taken, or returns an empty text.
func (n *Node) Shut() string {
	switch {
	case !n.started.Load():
		return reasonStarting
	case !n.spread.Ready():
		return reasonNoText
	case !n.spread.Fresh(), n.member.View().Isolated(n.common.Clock.Now()):
		return reasonIsolated
	default:
		return ""
	}
}

// NotReady tells why the balancer should send no calls, or returns an empty
// text.
func (n *Node) NotReady() string {
	if reason := n.Shut(); reason != "" {
		return reason
	}
	switch {
	case n.draining.Load():
		return reasonDraining
	case n.spread.Text().DomainOut(n.self.FailureDomain):
		return reasonOut
	case n.shardsWithHome() == 0:
		return reasonNoHomes
	default:
		return ""
	}
}

// Draining tells whether a planned stop is under way.
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
