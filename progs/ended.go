package progs

import (
	"context"
	"sync"
	"time"

	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/homes"
	"github.com/buckthorntide/buckthorntide/prog"
)

// endedTimeout bounds a query for ended programs.
const endedTimeout = 2 * time.Second

// EndedClient queries the homes of programs for the programs that have ended.
type EndedClient struct {
	router *homes.Router
	call   homes.Call[EndedRequest, EndedReply]
}

// NewEndedClient returns a client; home serves the programs whose home this instance
// is.
func NewEndedClient(router *homes.Router, home *Home) *EndedClient {
	return &EndedClient{
		router: router,
		call:   homes.Call[EndedRequest, EndedReply]{Method: Ended, Local: home.ended},
	}
}

// Ended returns the programs that have ended and those whose state is unknown
// because no home replied.
func (l *EndedClient) Ended(ctx context.Context, programs []string) (ended, unknown []string) {
	ctx, cancel := context.WithTimeout(ctx, endedTimeout)
	defer cancel()
	byShard := make(map[uint8][]string)
	for _, p := range programs {
		s := uint8(prog.ShardOf(p))
		byShard[s] = append(byShard[s], p)
	}
	var mu sync.Mutex
	requests := group.NewGroup(ctx)
	for shard, list := range byShard {
		requests.Go(func(ctx context.Context) {
			reply, err := l.call.Send(ctx, l.router, shard, &EndedRequest{Programs: list})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unknown = append(unknown, list...)
				return
			}
			ended = append(ended, reply.Programs...)
		})
	}
	requests.Wait()
	requests.Close()
	return ended, unknown
}
