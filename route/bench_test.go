package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/buckthorntide/buckthorntide/engine"
	"github.com/buckthorntide/buckthorntide/route"
)

// BenchmarkCall measures one Submit with its assignment and its Done, with all
// slots taken and a queue of the given length.
func BenchmarkCall(b *testing.B) {
	for _, engines := range []int{50, 200, 600} {
		for _, queue := range []int{100, 1000, 5000} {
			b.Run(fmt.Sprintf("engines=%d/queue=%d", engines, queue), func(b *testing.B) {
				benchmarkCall(b, engines, queue)
			})
		}
	}
}

func benchmarkCall(b *testing.B, engines, queue int) {
	limits := route.DefaultLimits()
	limits.MaxQueued = 1 << 30
	p := route.NewPool(limits, engine.NewCacheIndex(1<<17))
	p.Configure(smallService(engines, 8, 8), nil, epoch)
	programs := engines * 8 * 4
	now := epoch
	var running []route.Decision
	submit := func(i int) {
		c := call(fmt.Sprintf("c%d", i), fmt.Sprintf("t%d", i%50))
		c.Program, c.PromptTokens = fmt.Sprintf("p%d", i%programs), 5000
		c.Fingerprint = uint64(i + 1)
		running = assigned(running, p.Submit(c, now))
	}
	next := 0
	for ; next < engines*8+queue; next++ {
		submit(next)
	}
	head := 0
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		now = now.Add(time.Millisecond)
		submit(next)
		next++
		d := running[head]
		head++
		running = assigned(running, p.Done(reportOf(&d, route.OutcomeCompleted), now))
	}
}

func assigned(running, decisions []route.Decision) []route.Decision {
	for _, d := range decisions {
		if d.Kind == route.KindAssign {
			running = append(running, d)
		}
	}
	return running
}

// BenchmarkTick measures a tick with all slots taken and a full queue.
func BenchmarkTick(b *testing.B) {
	for _, engines := range []int{50, 200, 600} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			p := warmPool(route.DefaultLimits(), engines, 8)
			for i := range engines*8 + 1000 {
				p.Submit(call(fmt.Sprintf("c%d", i), fmt.Sprintf("t%d", i%50)), epoch)
			}
			b.ResetTimer()
			for range b.N {
				p.Tick(epoch)
			}
		})
	}
}
