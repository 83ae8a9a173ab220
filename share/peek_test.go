package share_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/share"
)

// Guards against a look at a quota that takes a token, or tells otherwise than the
// request after it.
func TestPeekTakesNothing(t *testing.T) {
	const requests = 40
	for _, opens := range []bool{false, true} {
		q := share.NewQuota("team/t", 2, 10, 5*time.Second)
		place := func(string) (place, members int) { return 0, 1 }
		peeked, untouched := share.NewBuckets(place, 0), share.NewBuckets(place, 0)
		taken := 0
		for i := range requests {
			now := time.Minute + time.Duration(i)*50*time.Millisecond
			_, prospect := peeked.Peek(q, opens, now)
			for range 3 {
				_, again := peeked.Peek(q, opens, now)
				assert.Equal(t, again, prospect)
			}
			ok := peeked.Take(q, opens, now)
			assert.Equal(t, ok, prospect == share.HasToken)
			assert.Equal(t, ok, untouched.Take(q, opens, now))
			assert.Equal(t, peeked.Level(q, now), untouched.Level(q, now))
			if ok {
				taken++
			}
		}
		assert.Assert(t, taken > 0 && taken < requests, "%d of %d requests had a token", taken, requests)
		now := time.Minute + requests*50*time.Millisecond
		for peeked.Take(q, opens, now) {
		}
		_, prospect := peeked.Peek(q, opens, now)
		assert.Equal(t, prospect, share.NeedsLoan)
		peeked.SetExhausted(q, opens, now, now+time.Second)
		_, prospect = peeked.Peek(q, opens, now)
		assert.Equal(t, prospect, share.Exhausted)
	}
}
