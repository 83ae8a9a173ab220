package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/buckthorntide/buckthorntide/calls"
)

// runStateHeader holds the run state of a call; every refusal sets it.
const runStateHeader = "Run-State"

type refusalBody struct {
	Error *calls.Refusal `json:"error"`
}

func writeRefusal(w http.ResponseWriter, r *calls.Refusal) {
	header := w.Header()
	header.Set(runStateHeader, string(r.RunState))
	if r.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	writeJSON(w, r.Status, refusalBody{Error: r})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the caller disconnected: nobody to report it to.
	_ = json.NewEncoder(w).Encode(v)
}
