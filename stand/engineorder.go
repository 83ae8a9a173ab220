package stand

import (
	"net/http"
	"slices"
)

const (
	// OrderLoadModel loads a model's weights; the engine turns cold.
	OrderLoadModel OrderKind = "loadModel"
	// OrderLoadAdapter loads an adapter's weights.
	OrderLoadAdapter OrderKind = "loadAdapter"
	// OrderSetVersion loads another version of a model; the engine turns cold.
	OrderSetVersion OrderKind = "setVersion"
	// OrderSetRole changes the engine's role.
	OrderSetRole OrderKind = "setRole"
)

type (
	// OrderKind says what an order asks for.
	OrderKind string

	// Order tells an engine to change what it serves.
	Order struct {
		Kind   OrderKind `json:"kind"`
		Target string    `json:"target"`
		// Fence is the fencing number of whoever gives the order.
		Fence int64 `json:"fence"`
	}

	// OrderReply is an engine's state after an order.
	OrderReply struct {
		// Fence is the highest fencing number seen.
		Fence    int64    `json:"fence"`
		Models   []string `json:"models"`
		Adapters []string `json:"adapters"`
		Role     string   `json:"role"`
	}
)

func (e *Engine) serveOrders(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !readJSON(w, r, &order) {
		return
	}
	e.mu.Lock()
	done := e.obey(order)
	reply := e.serving
	reply.Models = slices.Clone(reply.Models)
	reply.Adapters = slices.Clone(reply.Adapters)
	e.mu.Unlock()
	if !done {
		writeJSON(w, http.StatusConflict, reply)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

func (e *Engine) serveServing(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	reply := e.serving
	reply.Models = slices.Clone(reply.Models)
	reply.Adapters = slices.Clone(reply.Adapters)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, reply)
}

// obey carries the order out unless the engine checks fences and it is old.
func (e *Engine) obey(order Order) bool {
	if order.Fence < e.serving.Fence {
		if e.config.ChecksFence {
			e.stats.FencedOrders++
			return false
		}
		e.stats.StaleOrders++
	}
	e.serving.Fence = max(e.serving.Fence, order.Fence)
	switch order.Kind {
	case OrderLoadModel, OrderSetVersion:
		e.stats.Loads++
		e.serving.Models = appendNew(e.serving.Models, order.Target)
		e.turnCold()
	case OrderLoadAdapter:
		e.stats.Loads++
		e.serving.Adapters = appendNew(e.serving.Adapters, order.Target)
	case OrderSetRole:
		e.serving.Role = order.Target
	}
	return true
}

func appendNew(list []string, name string) []string {
	if slices.Contains(list, name) {
		return list
	}
	return append(list, name)
}
