package quota

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/fleet"
	"github.com/buckthorntide/buckthorntide/homes"
	"github.com/buckthorntide/buckthorntide/limit"
)

const (
	// ErrLimited means that the team has used up its rate and burst.
	ErrLimited = errors.ConstError("team is over its rate")
	// ErrNoAnswer means that no home replied in time.
	ErrNoAnswer = errors.ConstError("rate could not be checked")

	// maxWait is the maximum time that a call waits for a token while a home
	// recovers.
	maxWait = 10 * time.Second
)

type (
	// Client takes rate limit tokens from the teams' homes.
	Client struct {
		router *homes.Router
		call   homes.Call[limit.TakeRequest, limit.TakeReply]
	}

	// LimitedError reports when the team's next token is available.
	LimitedError struct {
		RetryAfter time.Duration
	}
)

// Error returns the text of ErrLimited, without the time.
func (e *LimitedError) Error() string { return ErrLimited.Error() }

// Is makes the error match ErrLimited.
func (e *LimitedError) Is(target error) bool { return target == error(ErrLimited) }

// NewClient returns a client; home serves the teams whose home this instance
// is.
func NewClient(router *homes.Router, home *Home) *Client {
	return &Client{
		router: router,
		call:   homes.Call[limit.TakeRequest, limit.TakeReply]{Method: Take, Local: home.take},
	}
}

// Take takes one token of the team. It returns nil, a LimitedError or an error
// that matches ErrNoAnswer; either error means that the call has not run.
func (c *Client) Take(ctx context.Context, team string, grant limit.Grant) error {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	q := &limit.TakeRequest{
		ID:      rand.Uint64(),
		Team:    team,
		Shard:   fleet.ShardOf(team),
		Grant:   grant,
		Tokens:  1,
		MaxWait: maxWait / 2,
	}
	reply, err := c.call.Send(ctx, c.router, uint8(q.Shard), q)
	if err != nil {
		return errors.WithType(err, ErrNoAnswer)
	}
	if reply.Verdict != limit.Granted {
		return &LimitedError{RetryAfter: reply.RetryAfter}
	}
	return nil
}
