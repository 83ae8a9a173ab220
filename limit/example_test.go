package limit_test

import (
	"fmt"
	"time"

	"github.com/buckthorntide/buckthorntide/fleet"
	"github.com/buckthorntide/buckthorntide/limit"
)

// A home with a majority of the lease slots has the whole grant. Its buckets
// start empty, so the first request waits.
func ExampleBuckets() {
	now := time.Unix(0, 0)
	b := limit.NewBuckets()
	r := limit.TakeRequest{ID: 1, Team: "t", Grant: limit.Grant{RatePerSecond: 10, Burst: 5}, Tokens: 1, MaxWait: time.Second}
	b.SetAuthority(0, fleet.Authority{Slots: 9, Exclusive: true, Until: now.Add(time.Minute), Since: now}, now)
	fmt.Println(b.Take(r, now).Verdict == limit.Waiting)
	for _, reply := range b.Tick(now.Add(200 * time.Millisecond)) {
		fmt.Println(reply.ID, reply.Verdict == limit.Granted)
	}
	// Output:
	// true
	// 1 true
}
