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
	// ErrLimited says that the team has used up its rate and burst.
	ErrLimited = errors.ConstError("team is over its rate")
	// ErrNoAnswer says that no home answered in time.
	ErrNoAnswer = errors.ConstError("rate could not be checked")

	// maxWait is how long a call may wait for a token while a home recovers.
	maxWait = 10 * time.Second
)

type (
	// Client asks the teams' homes for tokens.
	Client struct {
		router *homes.Router
		call   homes.Call[limit.TakeRequest, limit.TakeReply]
	}

	// LimitedError says when the team's next token comes.
	LimitedError struct {
		RetryAfter time.Duration
	}
)

// Error returns the error as one line.
func (e *LimitedError) Error() string { return ErrLimited.Error() }

// Is makes the error match ErrLimited.
func (e *LimitedError) Is(target error) bool { return target == error(ErrLimited) }

// NewClient returns a client; home answers where this instance is the home.
func NewClient(router *homes.Router, home *Home) *Client {
	return &Client{
		router: router,
		call:   homes.Call[limit.TakeRequest, limit.TakeReply]{Method: Take, Local: home.take},
	}
}

// Take asks for one token of the team. It returns nil, a LimitedError or an
// error that is ErrNoAnswer; with both errors nothing has run.
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
	reply, err := c.call.Ask(ctx, c.router, uint8(q.Shard), q)
	if err != nil {
		return errors.WithType(err, ErrNoAnswer)
	}
	if reply.Verdict != limit.Granted {
		return &LimitedError{RetryAfter: reply.RetryAfter}
	}
	return nil
}
