package place_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/place"
)

const (
	// maxMoves is the allowed multiple of the least possible number of moves.
	maxMoves = 1.2
	// maxDeviation is the allowed difference between an upstream's share of the
	// callers and that of its size.
	maxDeviation = 0.05
	// maxPasses bounds how often all callers are placed until none moves.
	maxPasses = 50
	// maxUnsettled is how many callers may still move in the last pass: where an
	// upstream is at its limit, the order of arrivals decides about a few.
	maxUnsettled = 0.001
	// limitInterval is how many callers are placed with the same limit.
	limitInterval = 10
	// changes is how many upstreams are added, removed and resized.
	changes = 4
)

type (
	upstream struct {
		name  string
		size  float64
		count int
	}

	// pool holds upstreams and where each caller is placed.
	pool struct {
		upstreams []*upstream
		placed    []string
		// callersPerSize is the number of callers that fill a size of 1.
		callersPerSize float64
	}
)

func newPool(callers, n int, meanFill float64, size func(i int) float64) *pool {
	p := &pool{placed: make([]string, callers)}
	for i := range n {
		p.upstreams = append(p.upstreams, &upstream{name: fmt.Sprintf("i-%d", i), size: size(i)})
	}
	p.callersPerSize = float64(callers) / (p.totalSize() * meanFill)
	p.settle()
	return p
}

// settle places all callers again and again until they stay, as programs come back
// after pauses, and returns the moves of the first pass.
func (p *pool) settle() (first int, settled bool) {
	preferred := p.preferred()
	first = p.placeAll(preferred)
	for range maxPasses {
		if float64(p.placeAll(preferred)) <= maxUnsettled*float64(len(p.placed)) {
			return first, true
		}
	}
	return first, false
}

// preferred returns the index of each caller's upstream where none is full.
func (p *pool) preferred() []int {
	preferred := make([]int, len(p.placed))
	for caller := range preferred {
		preferred[caller] = p.choose(caller, math.Inf(1))
	}
	return preferred
}

func (p *pool) choose(caller int, limit float64) int {
	return place.Choose(p.upstreams, fmt.Sprintf("caller-%d", caller), func(u *upstream) (place.Member, bool) {
		return place.Member{Name: u.name, Size: u.size}, p.fill(u) <= limit
	})
}

// diverted counts the callers that are not at their preferred upstream.
func (p *pool) diverted() (n int) {
	for caller, i := range p.preferred() {
		if p.upstreams[i].name != p.placed[caller] {
			n++
		}
	}
	return n
}

// movesFrom counts the callers that are at another upstream than in the other pool.
func (p *pool) movesFrom(before *pool) (moves int) {
	for caller, name := range p.placed {
		if name != before.placed[caller] {
			moves++
		}
	}
	return moves
}

func (p *pool) clone() *pool {
	c := &pool{placed: slices.Clone(p.placed), callersPerSize: p.callersPerSize}
	for _, u := range p.upstreams {
		copied := *u
		c.upstreams = append(c.upstreams, &copied)
	}
	return c
}

func (p *pool) totalSize() float64 {
	sum := 0.0
	for _, u := range p.upstreams {
		sum += u.size
	}
	return sum
}

func (p *pool) fill(u *upstream) float64 { return float64(u.count) / (u.size * p.callersPerSize) }

// placeAll places each caller once more and returns how many of them moved.
func (p *pool) placeAll(preferred []int) (moves int) {
	byName := make(map[string]*upstream)
	for _, u := range p.upstreams {
		byName[u.name] = u
	}
	limit := 0.0
	for caller, before := range p.placed {
		// The mean fill changes little with one caller.
		if caller%limitInterval == 0 {
			limit = place.FillLimit(p.upstreams, p.fill)
		}
		if u, ok := byName[before]; ok {
			u.count--
		}
		u := p.upstreams[preferred[caller]]
		if p.fill(u) > limit {
			u = p.upstreams[p.choose(caller, limit)]
		}
		u.count++
		if u.name != before {
			p.placed[caller] = u.name
			moves++
		}
	}
	return moves
}

// deviation returns the part of the callers that would have to move for the
// shares to be those of the sizes, and the largest difference of one share.
func (p *pool) deviation() (sum, largest float64) {
	total := p.totalSize()
	for _, u := range p.upstreams {
		difference := math.Abs(float64(u.count)/float64(len(p.placed)) - u.size/total)
		sum += difference / 2
		largest = max(largest, difference)
	}
	return sum, largest
}

// leastMoves returns the expected number of callers that have to move for the
// shares to follow the sizes of the other pool.
func (p *pool) leastMoves(after *pool) float64 {
	share := func(p *pool) map[string]float64 {
		shares := make(map[string]float64)
		for _, u := range p.upstreams {
			shares[u.name] = u.size / p.totalSize()
		}
		return shares
	}
	before, sum := share(p), 0.0
	for name, s := range share(after) {
		sum += max(0, s-before[name])
	}
	return float64(len(p.placed)) * sum
}

// Unweighted hashing gave each upstream the same share, whatever its size, and
// hashing modulo the number of upstreams would move nearly all callers at each
// change.
func TestFewCallersMoveAndSharesFollowSizes(t *testing.T) {
	pools := []struct {
		name string
		size func(i int) float64
		// small leaves out 100 upstreams, which take the race detector long.
		small bool
	}{
		{name: "equal", size: func(int) float64 { return 12 }},
		{name: "uneven", size: func(i int) float64 { return []float64{4, 8, 12, 32}[i%4] }},
		{name: "paced", size: func(i int) float64 { return 12 / math.Exp2(float64(i%5-2)/2) }, small: true},
	}
	scales := []struct {
		callers, upstreams int
		fills              []float64
		// together is set if all changes of a kind are made at once.
		together bool
		// maxSum bounds the part of the callers that would have to move for exact
		// shares.
		maxSum float64
	}{
		{callers: 3000, upstreams: 3, fills: []float64{0.4, 0.8}, maxSum: maxDeviation},
		{callers: 3000, upstreams: 12, fills: []float64{0.4, 0.8}, maxSum: maxDeviation},
		{callers: 10_000, upstreams: 100, fills: []float64{0.8}, together: true, maxSum: maxDeviation},
		{callers: 2000, upstreams: 100, fills: []float64{0.8}, together: true, maxSum: maxDeviation},
	}
	kinds := []struct {
		name   string
		change func(p *pool, i int)
		// joins is set if an upstream is added or removed, where the first pass after
		// the change is bounded too.
		joins bool
	}{
		{name: "added", joins: true, change: func(p *pool, i int) {
			p.upstreams = append(p.upstreams, &upstream{name: fmt.Sprintf("new-%d", i), size: p.upstreams[i].size})
		}},
		{name: "removed", joins: true, change: func(p *pool, i int) { p.upstreams = slices.Delete(p.upstreams, i, i+1) }},
		{name: "doubled", change: func(p *pool, i int) { p.upstreams[i].size *= 2 }},
		{name: "halved", change: func(p *pool, i int) { p.upstreams[i].size /= 2 }},
	}
	for _, kind := range pools {
		for _, scale := range scales {
			if kind.small && scale.upstreams >= 100 {
				continue
			}
			for _, meanFill := range scale.fills {
				n := scale.upstreams
				t.Run(fmt.Sprintf("%s/%d at %d/fill %.1f", kind.name, scale.callers, n, meanFill), func(t *testing.T) {
					before := newPool(scale.callers, n, meanFill, kind.size)
					sum, largest := before.deviation()
					t.Logf("shares deviate by %.3f, the largest by %.3f; %d callers avoid an upstream over its limit",
						sum, largest, before.diverted())
					assert.Check(t, sum <= scale.maxSum && largest <= maxDeviation)
					for _, k := range kinds {
						moves, first, least := 0, 0, 0.0
						step := 1
						if scale.together {
							step = changes
						}
						for from := 0; from < min(n, changes); from += step {
							after := before.clone()
							// From the last, so that a removal leaves the others' indices.
							for i := from + step - 1; i >= from; i-- {
								k.change(after, i)
							}
							least += before.leastMoves(after)
							once, settled := after.settle()
							assert.Check(t, settled, "%s: callers go on moving", k.name)
							first += once
							moves += after.movesFrom(before)
							sum, largest := after.deviation()
							assert.Check(t, sum <= scale.maxSum && largest <= maxDeviation,
								"%s: shares deviate by %.3f, the largest by %.3f", k.name, sum, largest)
						}
						t.Logf("%s: %d moves, least %.0f, ratio %.3f; ratio of the first pass %.3f",
							k.name, moves, least, float64(moves)/least, float64(first)/least)
						assert.Check(t, float64(moves) <= maxMoves*least, "%s: settled", k.name)
						if k.joins {
							assert.Check(t, float64(first) <= maxMoves*least, "%s: first pass", k.name)
						}
					}
				})
			}
		}
	}
}

// Deployments with equal upstreams must keep their placement when weights are
// introduced: each move costs a cached prompt.
func TestEqualSizesAreOrderedAsWithoutSizes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 4000 {
		names := make([]string, 1+random.IntN(40))
		for i := range names {
			names[i] = fmt.Sprintf("%x", random.Uint64())
		}
		size := []float64{1, 12, 7.3, 1e6, 12 / math.Sqrt2}[random.IntN(5)]
		name := fmt.Sprintf("%x", random.Uint64())
		slices.SortFunc(names, func(a, b string) int {
			if common.RendezvousScore(a, name) > common.RendezvousScore(b, name) {
				return -1
			}
			return 1
		})
		// The whole order: each is chosen once those before it are excluded.
		shuffled := slices.Clone(names)
		random.Shuffle(len(names), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		excluded := make(map[string]bool)
		for _, want := range names[:min(3, len(names))] {
			i := place.Choose(shuffled, name, func(n string) (place.Member, bool) {
				return place.Member{Name: n, Size: size}, !excluded[n]
			})
			assert.Equal(t, shuffled[i], want)
			excluded[want] = true
		}
	}
}

func TestNoEligibleMember(t *testing.T) {
	i := place.Choose([]string{"a", "b"}, "name", func(n string) (place.Member, bool) { return place.Member{Name: n, Size: 1}, false })
	assert.Equal(t, i, -1)
}
