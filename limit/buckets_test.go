package limit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/buckthorntide/buckthorntide/fleet"
)

var testGrant = Grant{RatePerSecond: 10, Burst: 20}

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func authority(slots int, since, until float64) fleet.Authority {
	return fleet.Authority{Slots: slots, Since: at(since), Until: at(until), Exclusive: slots >= fleet.MinExclusiveSlots}
}

func request(id uint64, tokens float64, wait time.Duration) TakeRequest {
	return TakeRequest{ID: id, Team: "t", Grant: testGrant, Tokens: tokens, MaxWait: wait}
}

// fullBuckets returns buckets of which shard 0 has full authority until 1000.
func fullBuckets() *Buckets {
	b := NewBuckets()
	b.SetAuthority(0, authority(16, 0, 1000), at(0))
	return b
}

// eagerBucket is a reference bucket that applies each change of its share at
// once.
type eagerBucket struct {
	grant Grant
	share int
	until time.Time
	level float64
	at    time.Time
}

func (e *eagerBucket) advance(now time.Time) {
	end := now
	if e.until.Before(end) {
		end = e.until
	}
	if end.After(e.at) {
		e.level = min(e.grant.cap(e.share), e.level+e.grant.refill(int64(e.share)*int64(end.Sub(e.at))))
	}
	if !now.Before(e.until) {
		e.share, e.level = 0, min(e.level, 0)
	}
	e.at = now
}

func (e *eagerBucket) setShare(share int, until, now time.Time) {
	e.advance(now)
	e.level = min(e.level, e.grant.cap(share))
	e.share, e.until = share, until
}

func (e *eagerBucket) take(now time.Time) bool {
	e.advance(now)
	if e.level < 1-levelTolerance {
		return false
	}
	e.level--
	return true
}

// TestLazyBucketsFollowEagerOnes checks that lazily updated buckets decide like
// buckets that are updated at each change.
func TestLazyBucketsFollowEagerOnes(t *testing.T) {
	t.Run("majority", func(t *testing.T) { rapid.Check(t, checkAgainstEager(Majority{})) })
	t.Run("proportional", func(t *testing.T) { rapid.Check(t, checkAgainstEager(Proportional{})) })
}

func checkAgainstEager[S Share](share S) func(*rapid.T) {
	return func(t *rapid.T) {
		b := NewSharedBuckets(share)
		teams := make([]*eagerBucket, 4)
		for i := range teams {
			teams[i] = &eagerBucket{grant: Grant{RatePerSecond: float64(1 + 3*i), Burst: float64(2 + 5*i)}, at: at(0)}
		}
		now, id := 0.0, uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += float64(rapid.IntRange(0, 400).Draw(t, "millis")) / 1000
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				a := authority(rapid.IntRange(0, 16).Draw(t, "seats"), 0, now+float64(rapid.IntRange(0, 5).Draw(t, "ttl")))
				b.SetAuthority(0, a, at(now))
				for _, e := range teams {
					e.setShare(share.Of(a.At(at(now)).Slots), a.Until, at(now))
				}
			case 1:
				b.Tick(at(now))
			default:
				i := rapid.IntRange(0, 3).Draw(t, "team")
				id++
				r := TakeRequest{ID: id, Team: fmt.Sprint(i), Grant: teams[i].grant, Tokens: 1}
				got := b.Take(r, at(now)).Verdict == Granted
				want := teams[i].take(at(now))
				near := math.Abs(teams[i].level-math.Round(teams[i].level)) < 1e-6
				if got != want && !near {
					t.Fatalf("at %v team %d: granted %v, want %v, level %v", now, i, got, want, teams[i].level)
				}
				if got != want {
					t.Skip("rounding")
				}
			}
		}
	}
}

// TestVerdicts checks a single verdict per state of the bucket and the
// authority.
func TestVerdicts(t *testing.T) {
	tests := []struct {
		name string
		do   func(b *Buckets) TakeReply
		want Verdict
	}{
		{"full bucket grants its burst", func(b *Buckets) TakeReply { return b.Take(request(1, 20, 0), at(100)) }, Granted},
		{"full bucket refuses more than its burst", func(b *Buckets) TakeReply { return b.Take(request(1, 21, time.Hour), at(100)) }, Refused},
		{"empty bucket refuses", func(b *Buckets) TakeReply {
			b.Take(request(1, 20, 0), at(100))
			return b.Take(request(2, 2, time.Hour), at(100))
		}, Refused},
		{"repeated request is not charged again", func(b *Buckets) TakeReply {
			b.Take(request(1, 20, 0), at(100))
			return b.Take(request(1, 20, 0), at(100))
		}, Granted},
		{"same id from another team is a new request", func(b *Buckets) TakeReply {
			b.Take(request(1, 20, 0), at(100))
			r := request(1, 21, 0)
			r.Team = "u"
			return b.Take(r, at(100))
		}, Refused},
		{"new authority lets a request wait", func(b *Buckets) TakeReply { return b.Take(request(1, 20, 3*time.Second), at(0)) }, Waiting},
		{"request is refused if it would wait past MaxWait", func(b *Buckets) TakeReply { return b.Take(request(1, 20, time.Second), at(0)) }, Refused},
		{"home with expired authority refuses", func(b *Buckets) TakeReply {
			return b.Take(request(1, 1, 0), at(1000))
		}, Refused},
		{"bucket is empty when authority returns", func(b *Buckets) TakeReply {
			b.SetAuthority(0, authority(16, 1001, 2000), at(1001))
			return b.Take(request(1, 1, 0), at(1001))
		}, Refused},
		{"minority of slots refuses", func(b *Buckets) TakeReply {
			b.SetAuthority(0, authority(7, 0, 2000), at(200))
			return b.Take(request(1, 1, 0), at(300))
		}, Refused},
		{"half of the slots grants half of the burst", func(b *Buckets) TakeReply {
			b.SetAuthority(0, authority(8, 0, 2000), at(200))
			return b.Take(request(1, 11, 0), at(300))
		}, Refused},
		{"larger grant does not raise the level", func(b *Buckets) TakeReply {
			larger := Grant{RatePerSecond: 10, Burst: 100}
			b.SetGrant(0, "t", testGrant, larger, at(100))
			r := request(1, 21, 0)
			r.Grant = larger
			return b.Take(r, at(100))
		}, Refused},
		{"smaller grant applies at once", func(b *Buckets) TakeReply {
			b.Take(request(1, 1, 0), at(100))
			r := request(2, 6, 0)
			r.Grant.Burst = 5
			return b.Take(r, at(101))
		}, Refused},
		{"smaller grant and back does not raise the level", func(b *Buckets) TakeReply {
			b.Take(request(1, 15, 0), at(100))
			r := request(2, 3, 0)
			r.Grant.Burst = 2
			b.Take(r, at(100))
			return b.Take(request(3, 3, 0), at(100))
		}, Refused},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { assert.Equal(t, test.do(fullBuckets()).Verdict, test.want) })
	}
}

// TestWaitersAreServedInTurn checks that waiters are granted in order of
// arrival, without those that were cancelled, and refused at their deadline.
func TestWaitersAreServedInTurn(t *testing.T) {
	b := fullBuckets()
	for id := uint64(1); id <= 4; id++ {
		assert.Equal(t, b.Take(request(id, 5, 3*time.Second), at(0)).Verdict, Waiting)
	}
	assert.Equal(t, b.Take(request(2, 5, 3*time.Second), at(0)).Until, at(3), "resent request lost its place in the queue")
	b.Cancel(0, "t", 2)
	assert.Equal(t, len(b.Tick(at(0.3))), 0)
	assert.DeepEqual(t, b.Tick(at(0.6)), []TakeReply{{ID: 1, Verdict: Granted}})
	assert.DeepEqual(t, b.Tick(at(1.1)), []TakeReply{{ID: 3, Verdict: Granted}})
	late := b.Tick(at(3))
	assert.Equal(t, len(late), 1)
	assert.Equal(t, late[0].Verdict, Refused, "request not refused at its deadline")
}

// handedAuthority marks slots of an authority as transferred by handover 77.
func handedAuthority(a fleet.Authority, slots int) fleet.Authority {
	a.Handover = 77
	a.HandedSlots = slots
	return a
}

// TestHandoverCarriesLevels checks that the levels reach the next home if all
// its slots were handed over, and never add up to more than one burst.
func TestHandoverCarriesLevels(t *testing.T) {
	// Exports the levels of a team that took 15 of 20 tokens and of one that took
	// none.
	export := func() Levels {
		from := fullBuckets()
		from.Take(request(1, 15, 0), at(100))
		l := from.Export(0, 77, at(100))
		assert.Equal(t, from.Take(request(2, 1, 0), at(100)).Verdict, Refused, "the old home still grants")
		return l
	}
	tests := []struct {
		name        string
		do          func(b *Buckets, l Levels)
		taken, idle float64
	}{
		{"straight", func(b *Buckets, l Levels) {
			b.SetAuthority(0, handedAuthority(authority(16, 100, 200), 16), at(100))
			b.Import(l, at(100))
		}, 5, 20},
		{"slots handed over one by one", func(b *Buckets, l Levels) {
			b.Import(l, at(100))
			for slots := 1; slots <= 16; slots++ {
				b.SetAuthority(0, handedAuthority(authority(slots, 100, 200), slots), at(100))
			}
		}, 5, 20},
		{"levels before slots", func(b *Buckets, l Levels) {
			b.Import(l, at(100))
			b.SetAuthority(0, handedAuthority(authority(16, 100, 200), 16), at(100))
		}, 5, 20},
		{"twice", func(b *Buckets, l Levels) {
			b.SetAuthority(0, handedAuthority(authority(16, 100, 200), 16), at(100))
			b.Import(l, at(100))
			b.Import(l, at(100))
		}, 5, 20},
		{"half of the slots not handed over", func(b *Buckets, l Levels) {
			b.SetAuthority(0, handedAuthority(authority(16, 100, 200), 8), at(100))
			b.Import(l, at(100))
		}, 0, 0},
		{"levels of another handover", func(b *Buckets, l Levels) {
			l.Handover = 78
			b.SetAuthority(0, handedAuthority(authority(16, 100, 200), 16), at(100))
			b.Import(l, at(100))
		}, 0, 0},
		{"authority interrupted", func(b *Buckets, l Levels) {
			b.SetAuthority(0, handedAuthority(authority(16, 90, 95), 16), at(90))
			b.SetAuthority(0, handedAuthority(authority(16, 100, 200), 16), at(100))
			b.Import(l, at(100))
		}, 0, 0},
		{"next home has already granted a burst", func(b *Buckets, l Levels) {
			b.SetAuthority(0, handedAuthority(authority(16, 90, 200), 16), at(90))
			b.Take(request(5, 20, 0), at(100))
			b.Import(l, at(100))
		}, 0, 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := NewBuckets()
			test.do(b, export())
			st := b.stateAt(0, at(100))
			taken := b.bucketFor(st, "t", testGrant).level
			assert.Assert(t, math.Abs(taken-test.taken) < 0.02, "%v", taken)
			idle := b.bucketFor(st, "u", testGrant).level
			assert.Assert(t, math.Abs(idle-test.idle) < 0.02, "%v", idle)
		})
	}
}

// TestExportMovesWaiters checks that waiters learn of a handover at the next
// tick.
func TestExportMovesWaiters(t *testing.T) {
	b := fullBuckets()
	b.Take(request(1, 5, 3*time.Second), at(0))
	b.Export(0, 77, at(0.1))
	assert.DeepEqual(t, b.Tick(at(0.1)), []TakeReply{{ID: 1, Verdict: Moved}})
}

// TestFullBucketsTakeNoMemory checks that buckets are dropped once they are
// full.
func TestFullBucketsTakeNoMemory(t *testing.T) {
	b := fullBuckets()
	for i := range 1000 {
		r := request(uint64(i), 1, 0)
		r.Team = fmt.Sprint(i)
		b.Take(r, at(100))
	}
	assert.Equal(t, b.Len(), 1000)
	for range 1000/bucketsPerSweep + 1 {
		b.Tick(at(101))
	}
	assert.Equal(t, b.Len(), 0)
}

// TestLevelsAreImportedOnce checks a handover from a home whose own buckets were
// still filling up.
func TestLevelsAreImportedOnce(t *testing.T) {
	from, to := NewBuckets(), NewBuckets()
	from.SetAuthority(0, authority(16, 99, 200), at(99))
	assert.Equal(t, from.Take(request(1, 5, 0), at(100)).Verdict, Granted)
	l := from.Export(0, 77, at(100))
	to.SetAuthority(0, handedAuthority(authority(16, 100, 200), 16), at(100))
	to.Import(l, at(100))
	to.Import(l, at(100))
	assert.Equal(t, to.Take(request(2, 4, 0), at(100)).Verdict, Granted)
	assert.Equal(t, to.Take(request(3, 2, 0), at(100)).Verdict, Refused)
	idle := request(4, 11, 0)
	idle.Team = "u"
	assert.Equal(t, to.Take(idle, at(100)).Verdict, Refused)
}

// TestFastClockStaysWithinRate checks that a home whose clock runs fast by 500
// parts per million does not exceed the rate.
func TestFastClockStaysWithinRate(t *testing.T) {
	const seconds = 1000
	b := NewBuckets()
	b.SetAuthority(0, authority(16, 0, 1e6), at(0))
	granted, id := 0.0, uint64(0)
	for tenth := range seconds * 10 {
		for {
			id++
			if b.Take(request(id, 0.5, 0), at(float64(tenth)/10*(1+500e-6))).Verdict != Granted {
				break
			}
			granted += 0.5
		}
	}
	maxTokens := testGrant.RatePerSecond * seconds
	assert.Assert(t, granted <= maxTokens, "%v", granted)
	assert.Assert(t, granted >= 0.99*maxTokens, "%v", granted)
}
