package stand

import "time"

type (
	// EngineRunRecord is one call as an engine began to run it.
	EngineRunRecord struct {
		Engine    string
		RequestID string
		Program   string
		Messages  []Message
		At        time.Time
	}

	// ServiceRunRecord is one call as a plain service ran it.
	ServiceRunRecord struct {
		Service string
		Path    string
		// Name is the idempotency key or request id that came with the call.
		Name string
		Body string
		At   time.Time
	}
)

// observed hands the record to the observer, if there is one.
func observed[T any](observe func(T), record T) {
	if observe != nil {
		observe(record)
	}
}
