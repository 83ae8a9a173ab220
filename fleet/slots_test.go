package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/store"
)

// rowTable is a table service without faults.
type rowTable struct {
	rows   map[string]store.Row
	writes int64
}

func newRowTable() *rowTable { return &rowTable{rows: make(map[string]store.Row)} }

func (rt *rowTable) commit(txn store.Txn) (int64, error) {
	for _, c := range txn.Conditions {
		if rt.rows[c.Key].Version != c.Version {
			return 0, store.ErrConflict
		}
	}
	rt.writes++
	for _, w := range txn.Writes {
		delete(rt.rows, w.Key)
		if !w.Delete {
			rt.rows[w.Key] = store.Row{Key: w.Key, Value: w.Value, Version: rt.writes}
		}
	}
	return rt.writes, nil
}

func (rt *rowTable) read(prefix string) []store.Row {
	var rows []store.Row
	for key, row := range rt.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	return rows
}

// slotNode runs the LeaseSlots of one instance against the table.
type slotNode struct {
	*LeaseSlots
	table *rowTable
	dead  bool
}

func newSlotNodes(table *rowTable, n, domains int) []*slotNode {
	nodes := make([]*slotNode, 0, n)
	for i := range n {
		c := Config{SlotTTL: 90 * time.Second, Epoch: uint64(i + 1)}
		c.Self.Name = fmt.Sprintf("i%03d", i)
		c.Self.FailureDomain = fmt.Sprint(i % domains)
		nodes = append(nodes, &slotNode{LeaseSlots: NewLeaseSlots(c), table: table})
	}
	return nodes
}

func (n *slotNode) step(plan slotPlan, now time.Time) {
	if n.ReadDue(now) {
		n.RowsRead(n.table.read(LeaseSlotPrefix), n.table.read(SessionPrefix), 2*time.Second, now)
	}
	if txn := n.Next(plan, now.Add(testTTL), now); txn != nil {
		version, err := n.table.commit(*txn)
		n.Committed(txn.RequestID, version, err, now)
	}
}

// planFor returns the slot plan for the nodes that are up.
func planFor(nodes []*slotNode, holders map[string]int) slotPlan {
	candidates := make([]candidate, 0, len(nodes))
	for _, o := range nodes {
		if !o.dead && !o.draining {
			name := o.config.Self.Name
			candidates = append(candidates, candidate{
				name: name, domain: o.config.Self.FailureDomain, hash: hashName(name), held: holders[name],
			})
		}
	}
	return planSlots(candidates)
}

func runSlots(nodes []*slotNode, from, length time.Duration) {
	for at := from; at < from+length; at += 500 * time.Millisecond {
		plan := planFor(nodes, nodes[len(nodes)-1].Holders())
		for _, n := range nodes {
			if !n.dead {
				n.step(plan, time.Unix(0, 0).Add(at))
			}
		}
	}
}

// usableSlots returns the number of usable slots of each node and their sum.
func usableSlots(nodes []*slotNode, at time.Duration) (perNode []int, sum int) {
	for _, n := range nodes {
		k := len(n.Usable(time.Unix(0, 0).Add(at)))
		if n.dead {
			k = 0
		}
		perNode = append(perNode, k)
		sum += k
	}
	return perNode, sum
}

// TestSlotsAreDistributed checks the limits per instance and failure domain.
func TestSlotsAreDistributed(t *testing.T) {
	tests := []struct{ instances, domains, maxSlots int }{
		{1, 1, 16}, {2, 1, 8}, {3, 3, 6}, {12, 3, 2}, {11, 4, 2}, {40, 4, 1},
	}
	for _, test := range tests {
		nodes := newSlotNodes(newRowTable(), test.instances, test.domains)
		runSlots(nodes, 0, 30*time.Second)
		perNode, sum := usableSlots(nodes, 30*time.Second)
		byDomain := make([]int, test.domains)
		for i, k := range perNode {
			assert.Assert(t, k <= test.maxSlots, "%v", perNode)
			byDomain[i%test.domains] += k
		}
		assert.Equal(t, sum, LeaseSlotCount, "%v", perNode)
		for _, k := range byDomain {
			assert.Assert(t, k <= (LeaseSlotCount+test.domains-1)/test.domains, "%v", byDomain)
		}
	}
}

// TestSlotsMoveOnJoinAndCrash checks that a new instance gets its share, and
// that the slots of a crashed one move once its session has expired, not
// before.
func TestSlotsMoveOnJoinAndCrash(t *testing.T) {
	nodes := newSlotNodes(newRowTable(), 4, 2)
	runSlots(nodes[:3], 0, 30*time.Second)
	runSlots(nodes, 30*time.Second, 40*time.Second)
	perNode, sum := usableSlots(nodes, 70*time.Second)
	assert.Equal(t, sum, LeaseSlotCount)
	assert.Equal(t, perNode[3], 4, "the new instance got no slots: %v", perNode)
	nodes[0].dead = true
	runSlots(nodes, 70*time.Second, 85*time.Second)
	_, sum = usableSlots(nodes, 155*time.Second)
	assert.Equal(t, sum, LeaseSlotCount-4, "slots moved before the session expired")
	runSlots(nodes, 155*time.Second, 30*time.Second)
	perNode, sum = usableSlots(nodes, 185*time.Second)
	assert.Equal(t, sum, LeaseSlotCount, "%v", perNode)
}

// TestSlotsAreReleasedAtDrain checks that a drain moves all slots to others and
// keeps a majority usable meanwhile.
func TestSlotsAreReleasedAtDrain(t *testing.T) {
	nodes := newSlotNodes(newRowTable(), 3, 3)
	runSlots(nodes, 0, 30*time.Second)
	nodes[0].Drain()
	for at := 30 * time.Second; at < 60*time.Second; at += time.Second {
		runSlots(nodes, at, time.Second)
		_, sum := usableSlots(nodes, at+time.Second)
		assert.Assert(t, sum >= MinExclusiveSlots, "less than a majority usable during a drain")
	}
	perNode, sum := usableSlots(nodes, 60*time.Second)
	assert.Equal(t, sum, LeaseSlotCount)
	assert.Equal(t, perNode[0], 0)
	assert.Assert(t, nodes[0].Released())
}

// TestPausedHolderStops checks that a holder which was paused for longer than
// its lease uses no slot when it resumes, and that its next renewal fails
// because the session was fenced.
func TestPausedHolderStops(t *testing.T) {
	nodes := newSlotNodes(newRowTable(), 2, 1)
	runSlots(nodes, 0, 30*time.Second)
	nodes[0].dead = true
	runSlots(nodes, 30*time.Second, 130*time.Second)
	nodes[0].dead = false
	resumed := time.Unix(0, 0).Add(160 * time.Second)
	assert.Equal(t, len(nodes[0].Usable(resumed)), 0)
	assert.Equal(t, len(nodes[1].Usable(resumed)), LeaseSlotCount)
	nodes[0].step(planFor(nodes, nodes[1].Holders()), resumed)
	assert.Equal(t, nodes[0].registered && nodes[0].session.Epoch == 1 && len(nodes[0].owned()) > 0, false)
}

// TestWritesPerSecond bounds the table writes of 340 instances.
func TestWritesPerSecond(t *testing.T) {
	table := newRowTable()
	nodes := newSlotNodes(table, 340, 4)
	runSlots(nodes, 0, 10*time.Second)
	before := table.writes
	runSlots(nodes, 10*time.Second, 30*time.Second)
	perSecond := float64(table.writes-before) / 30
	t.Logf("340 instances: %.2f writes a second", perSecond)
	assert.Assert(t, perSecond <= LeaseSlotCount*renewalsPerTTL/90.0*1.1)
}
