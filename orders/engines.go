package orders

import (
	"context"

	"github.com/buckthorntide/buckthorntide/engine"
)

// Engines is the runner's client of the model engines, implemented by
// *engine.Client.
type Engines interface {
	// Serving returns the models that an engine serves and its fencing number.
	Serving(ctx context.Context, t engine.Target) (engine.Serving, error)
	// Order sends an order to an engine; it returns engine.ErrStaleFence if the
	// engine refuses its fencing number as old.
	Order(ctx context.Context, t engine.Target, order engine.Order) error
}
