package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/store"
)

// settleStep is the time between two ticks of a testFleet.
const settleStep = 500 * time.Millisecond

var benchSizes = []int{12, 100, 340}

// testFleet runs instances without message delay or loss, on one clock and one
// table.
type testFleet struct {
	fleets        []*Fleet
	byName        map[string]*Fleet
	table         *rowTable
	now           time.Time
	wireBytes     int
	exchangeCount int
}

func newTestFleet(n int) *testFleet {
	w := &testFleet{table: newRowTable(), now: time.Unix(0, 0), byName: make(map[string]*Fleet)}
	list := make([]store.Instance, 0, n)
	for i := range n {
		list = append(list, store.Instance{
			Name: fmt.Sprintf("10.1.%d.%d:8080", i/200, i%200), Address: fmt.Sprintf("10.1.%d.%d:8082", i/200, i%200),
			FailureDomain: string(rune('a' + i%4)),
		})
	}
	for i, in := range list {
		c := NewConfig(conf.DefaultSettings(), uint64(i+1)<<40)
		c.Self = in
		f := NewFleet(c, w.now, rand.New(rand.NewPCG(uint64(i), 1)))
		f.ApplyInstances(list, w.now)
		w.fleets = append(w.fleets, f)
		w.byName[in.Name] = f
	}
	return w
}

func (w *testFleet) step(d time.Duration) {
	w.now = w.now.Add(d)
	for _, f := range w.fleets {
		w.apply(f, f.Tick(w.now))
	}
}

func (w *testFleet) apply(f *Fleet, a Actions) {
	for _, x := range a.Exchanges {
		reply := w.byName[x.Peer.Name].HandlePull(x.Request, w.now)
		f.Received(x.Peer.Name, reply, w.now)
		w.wireBytes += x.Request.WireBytes() + reply.WireBytes()
		w.exchangeCount++
	}
	if a.ReadRows {
		f.RowsRead(w.table.read(LeaseSlotPrefix), w.table.read(SessionPrefix), w.now)
	}
	if a.Commit != nil {
		version, err := w.table.commit(*a.Commit)
		f.Committed(a.Commit.RequestID, version, err, w.now)
	}
}

// settledFleet returns a fleet whose slots and delegations no longer change.
func settledFleet(n int) *testFleet {
	w := newTestFleet(n)
	for range 60 {
		w.step(settleStep)
	}
	return w
}

// TestEveryShardHasExclusiveHome checks that in settled fleets of all sizes each
// shard's home is delegated all slots.
func TestEveryShardHasExclusiveHome(t *testing.T) {
	for _, n := range []int{1, 2, 3, 12, 17, 60} {
		w := settledFleet(n)
		for s := range ShardCount {
			home, ok := w.fleets[0].View().Home(Shard(s))
			assert.Assert(t, ok)
			a := w.byName[home.Name].View().Authority(Shard(s), w.now)
			assert.Equal(t, a.Slots, LeaseSlotCount, "%d instances, shard %d", n, s)
		}
	}
}

// TestWireBytes checks that WireBytes is within 10% of the encoded size.
func TestWireBytes(t *testing.T) {
	w := settledFleet(12)
	f := w.fleets[0]
	r := f.newRequest("", w.now)
	reply := w.fleets[1].HandlePull(r, w.now)
	raw, err := cbor.Marshal(r)
	assert.NilError(t, err)
	checkNear(t, r.WireBytes(), len(raw))
	raw, err = cbor.Marshal(reply)
	assert.NilError(t, err)
	checkNear(t, reply.WireBytes(), len(raw))
}

func checkNear(t *testing.T, counted, encoded int) {
	t.Helper()
	onWire := encoded + frameBytes + packetBytes
	near := counted >= onWire*9/10 && counted <= onWire*11/10
	assert.Check(t, near, "counted %d, encoded %d", counted, onWire)
}

// TestTrafficBudget checks that control traffic, in and out, averages at most
// 4 KB/s per instance in the largest fleet. Slot holders have more, which the
// log shows.
func TestTrafficBudget(t *testing.T) {
	const budget = 4096
	tests := []struct {
		instances int
		maxBytes  int64
	}{{12, 0}, {340, budget}}
	for _, test := range tests {
		w := settledFleet(test.instances)
		before := w.traffic()
		const seconds = 21
		for range seconds * time.Second / settleStep {
			w.step(settleStep)
		}
		var sum, busiest int64
		for i, total := range w.traffic() {
			bytes := (total - before[i]) / seconds
			sum += bytes
			busiest = max(busiest, bytes)
		}
		mean := sum / int64(test.instances)
		t.Logf("%d instances: %d B/s on the average, %d B/s at the busiest", test.instances, mean, busiest)
		assert.Check(t, test.maxBytes == 0 || mean <= test.maxBytes)
	}
}

// traffic returns the bytes that each instance sent and received so far.
func (w *testFleet) traffic() []int64 {
	totals := make([]int64, 0, len(w.fleets))
	for _, f := range w.fleets {
		totals = append(totals, f.Traffic().BytesSent+f.Traffic().BytesReceived)
	}
	return totals
}

func BenchmarkHomes(b *testing.B) {
	for _, n := range benchSizes {
		members := testMembers(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				rendezvous(members)
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range benchSizes {
		w := settledFleet(n)
		f := w.fleets[0]
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				w.now = w.now.Add(time.Microsecond)
				w.apply(f, f.Tick(w.now))
			}
		})
	}
}

func BenchmarkExchange(b *testing.B) {
	for _, n := range benchSizes {
		w := settledFleet(n)
		home, holder := w.fleets[0], w.fleets[0]
		for _, f := range w.fleets[1:] {
			if len(f.View().Slots) > 0 {
				holder = f
			}
		}
		m := home.membership.byName[holder.config.Self.Name]
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			bytes := 0
			for b.Loop() {
				w.now = w.now.Add(time.Microsecond)
				x := home.startExchange(m, w.now)
				reply := holder.HandlePull(x.Request, w.now)
				home.Received(holder.config.Self.Name, reply, w.now)
				bytes = x.Request.WireBytes() + reply.WireBytes()
			}
			b.ReportMetric(float64(bytes), "B/exchange")
		})
	}
}
