package keys

// Acks counts the instances that have applied a change. One freshness timeout
// after a majority has, every fresh instance has applied it too, even one that was
// partitioned from the table service and other instances: it is fresh only while
// it reaches a majority of which none has a newer revision.
type Acks struct {
	revision     int64
	instances    int
	acknowledged map[string]struct{}
}

// NewAcks returns an empty count for a revision in a fleet of the given size.
func NewAcks(revision int64, instances int) *Acks {
	return &Acks{revision: revision, instances: instances, acknowledged: make(map[string]struct{})}
}

// Observe records the Keys.Revision that an instance reported; this instance's own
// counts too.
func (a *Acks) Observe(instance string, revision int64) {
	if revision >= a.revision {
		a.acknowledged[instance] = struct{}{}
	}
}

// Done reports whether a majority has applied the change.
func (a *Acks) Done() bool { return 2*len(a.acknowledged) > a.instances }

// QuorumPeers returns Freshness.Peers for a fleet of the given size.
func QuorumPeers(instances int) int { return max(instances/2, 1) }
