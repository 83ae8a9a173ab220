package orders

import (
	"context"

	"github.com/buckthorntide/buckthorntide/engine"
)

// Engines is what the runner asks of model engines; *engine.Client is one.
type Engines interface {
	// Serving returns what an engine serves.
	Serving(ctx context.Context, t engine.Target) (engine.Serving, error)
	// Order gives an engine an order, or returns engine.ErrOldFence.
	Order(ctx context.Context, t engine.Target, order engine.Order) error
}
