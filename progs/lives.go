package progs

import (
	"context"
	"sync"
	"time"

	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/homes"
	"github.com/buckthorntide/buckthorntide/prog"
)

// endedTimeout bounds the question which programs have ended.
const endedTimeout = 2 * time.Second

// Lives asks the homes of programs which of them have ended.
type Lives struct {
	router *homes.Router
	call   homes.Call[EndedRequest, EndedReply]
}

// NewLives returns a Lives; home answers where this instance is the home.
func NewLives(router *homes.Router, home *Home) *Lives {
	return &Lives{
		router: router,
		call:   homes.Call[EndedRequest, EndedReply]{Method: Ended, Local: home.ended},
	}
}

// Ended returns the ended ones of the programs and those that no home answered
// for.
func (l *Lives) Ended(ctx context.Context, programs []string) (ended, unclear []string) {
	ctx, cancel := context.WithTimeout(ctx, endedTimeout)
	defer cancel()
	byShard := make(map[uint8][]string)
	for _, p := range programs {
		s := uint8(prog.ShardOf(p))
		byShard[s] = append(byShard[s], p)
	}
	var mu sync.Mutex
	asks := group.NewGroup(ctx)
	for shard, list := range byShard {
		asks.Go(func(ctx context.Context) {
			reply, err := l.call.Ask(ctx, l.router, shard, &EndedRequest{Programs: list})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unclear = append(unclear, list...)
				return
			}
			ended = append(ended, reply.Programs...)
		})
	}
	asks.Wait()
	asks.Close()
	return ended, unclear
}
