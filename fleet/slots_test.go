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

// seatNode drives one instance's Seats against the table.
type slotNode struct {
	*LeaseSlots
	table *rowTable
	dead  bool
}

func newSlotNodes(rt *rowTable, n, domains int) []*slotNode {
	nodes := make([]*slotNode, 0, n)
	for i := range n {
		c := Config{SlotTTL: 90 * time.Second, Epoch: uint64(i + 1)}
		c.Self.Name = fmt.Sprintf("i%03d", i)
		c.Self.FailureDomain = fmt.Sprint(i % domains)
		nodes = append(nodes, &slotNode{LeaseSlots: NewLeaseSlots(c), table: rt})
	}
	return nodes
}

func (n *slotNode) step(plan slotPlan, now time.Time) {
	if n.ReadDue(now) {
		n.RowsRead(n.table.read(SeatPrefix), n.table.read(SessionPrefix), 2*time.Second, now)
	}
	if txn := n.Next(plan, now.Add(testTTL), now); txn != nil {
		version, err := n.table.commit(*txn)
		n.Committed(txn.RequestID, version, err, now)
	}
}

// planFor shares the seats out over those that are up.
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

// held returns each live node's usable seats and their sum.
func usableSlots(nodes []*slotNode, at time.Duration) (per []int, sum int) {
	for _, n := range nodes {
		k := len(n.Usable(time.Unix(0, 0).Add(at)))
		if n.dead {
			k = 0
		}
		per = append(per, k)
		sum += k
	}
	return per, sum
}

func TestSeatsAreShared(t *testing.T) {
	tests := []struct{ instances, domains, most int }{
		{1, 1, 16}, {2, 1, 8}, {3, 3, 6}, {12, 3, 2}, {11, 4, 2}, {40, 4, 1},
	}
	for _, test := range tests {
		nodes := newSlotNodes(newRowTable(), test.instances, test.domains)
		runSlots(nodes, 0, 30*time.Second)
		per, sum := usableSlots(nodes, 30*time.Second)
		byDomain := make([]int, test.domains)
		for i, k := range per {
			assert.Assert(t, k <= test.most, "%v", per)
			byDomain[i%test.domains] += k
		}
		assert.Equal(t, sum, SeatCount, "%v", per)
		for _, k := range byDomain {
			assert.Assert(t, k <= (SeatCount+test.domains-1)/test.domains, "%v", byDomain)
		}
	}
}

func TestSeatsSurviveDeathAndNewcomer(t *testing.T) {
	nodes := newSlotNodes(newRowTable(), 4, 2)
	runSlots(nodes[:3], 0, 30*time.Second)
	runSlots(nodes, 30*time.Second, 40*time.Second)
	per, sum := usableSlots(nodes, 70*time.Second)
	assert.Equal(t, sum, SeatCount)
	assert.Equal(t, per[3], 4, "the newcomer got no seats: %v", per)
	nodes[0].dead = true
	runSlots(nodes, 70*time.Second, 85*time.Second)
	_, sum = usableSlots(nodes, 155*time.Second)
	assert.Equal(t, sum, SeatCount-4, "seats of a dead session moved early")
	runSlots(nodes, 155*time.Second, 30*time.Second)
	per, sum = usableSlots(nodes, 185*time.Second)
	assert.Equal(t, sum, SeatCount, "%v", per)
}

func TestSeatsAreReleasedAtDrain(t *testing.T) {
	nodes := newSlotNodes(newRowTable(), 3, 3)
	runSlots(nodes, 0, 30*time.Second)
	nodes[0].Drain()
	for at := 30 * time.Second; at < 60*time.Second; at += time.Second {
		runSlots(nodes, at, time.Second)
		_, sum := usableSlots(nodes, at+time.Second)
		assert.Assert(t, sum >= ExclusiveSeats, "a drain cost the majority")
	}
	per, sum := usableSlots(nodes, 60*time.Second)
	assert.Equal(t, sum, SeatCount)
	assert.Equal(t, per[0], 0)
	assert.Assert(t, nodes[0].Released())
}

// TestPausedHolderStops checks the holder's own clock: a holder that wakes uses
// no seat, and its next renewal fails once it was fenced.
func TestPausedHolderStops(t *testing.T) {
	nodes := newSlotNodes(newRowTable(), 2, 1)
	runSlots(nodes, 0, 30*time.Second)
	nodes[0].dead = true
	runSlots(nodes, 30*time.Second, 130*time.Second)
	nodes[0].dead = false
	wakes := time.Unix(0, 0).Add(160 * time.Second)
	assert.Equal(t, len(nodes[0].Usable(wakes)), 0)
	assert.Equal(t, len(nodes[1].Usable(wakes)), SeatCount)
	nodes[0].step(planFor(nodes, nodes[1].Holders()), wakes)
	assert.Equal(t, nodes[0].registered && nodes[0].session.Epoch == 1 && len(nodes[0].owned()) > 0, false)
}

// TestWritesPerSecond checks the table service's load at the letter's size.
func TestWritesPerSecond(t *testing.T) {
	rt := newRowTable()
	nodes := newSlotNodes(rt, 340, 4)
	runSlots(nodes, 0, 10*time.Second)
	before := rt.writes
	runSlots(nodes, 10*time.Second, 30*time.Second)
	perSecond := float64(rt.writes-before) / 30
	t.Logf("340 instances: %.2f writes a second", perSecond)
	assert.Assert(t, perSecond <= SeatCount*renewalsPerTTL/90.0*1.1)
}
