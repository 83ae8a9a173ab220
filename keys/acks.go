package keys

// Acks counts the instances that know a change. Once a majority does, every
// instance that is fresh one timeout later knows it too, also one that is cut
// off from the table service and from the rest: it is fresh only while it hears
// a majority that knows nothing newer than itself.
type Acks struct {
	revision  int64
	instances int
	known     map[string]struct{}
}

// NewAcks starts to count for a revision in a fleet of so many instances.
func NewAcks(revision int64, instances int) *Acks {
	return &Acks{revision: revision, instances: instances, known: make(map[string]struct{})}
}

// Hear takes an instance's Keys.Revision; this instance's own counts too.
func (a *Acks) Hear(instance string, revision int64) {
	if revision >= a.revision {
		a.known[instance] = struct{}{}
	}
}

// Done says that a majority knows the change.
func (a *Acks) Done() bool { return 2*len(a.known) > a.instances }

// QuorumPeers returns Freshness.Peers for a fleet of so many instances.
func QuorumPeers(instances int) int { return max(instances/2, 1) }
