package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/fleet"
	"github.com/buckthorntide/buckthorntide/store"
)

func ExampleBitmap() {
	b := fleet.BitmapOf(3, 200)
	b.Clear(3)
	fmt.Println(b.Has(200), b.Has(3), b.Len())
	// Output: true false 1
}

// A fleet of one instance registers a session, claims all lease slots and
// delegates them to itself.
func ExampleFleet() {
	now := time.Unix(0, 0)
	c := fleet.NewConfig(conf.DefaultSettings(), 7)
	f := fleet.NewFleet(c, now, rand.New(rand.NewPCG(1, 1)))
	f.ApplyInstances([]store.Instance{c.Self}, now)
	var rows []store.Row
	for version := int64(1); version < 20; version++ {
		now = now.Add(200 * time.Millisecond)
		a := f.Tick(now)
		if a.ReadRows {
			f.RowsRead(rows, nil, now)
		}
		if a.Commit != nil {
			f.Committed(a.Commit.RequestID, version, nil, now)
		}
	}
	a := f.View().Authority(fleet.ShardOf("team"), now)
	fmt.Println(len(f.View().Slots), a.Slots, a.Exclusive, f.View().Isolated(now))
	// Output: 16 16 true false
}
