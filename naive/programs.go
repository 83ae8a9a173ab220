package naive

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/stand"
	"github.com/buckthorntide/buckthorntide/store"
)

const rowPrefix = "naive/program/"

type (
	// history is a program's row.
	history struct {
		Team     string          `json:"team"`
		Messages []stand.Message `json:"messages"`
	}

	openAnswer struct {
		Program string `json:"program"`
	}
)

func (i *Instance) open(w http.ResponseWriter, r *http.Request, team string) {
	program := store.NewRequestID()
	if err := i.save(r.Context(), program, history{Team: team}, 0); err != nil {
		refuse(w, http.StatusServiceUnavailable, "store", stateNotRun)
		return
	}
	writeJSON(w, http.StatusCreated, openAnswer{Program: program})
}

// end leaves the program's cache to the engines.
func (i *Instance) end(w http.ResponseWriter, r *http.Request, _ string) {
	_, version, err := i.load(r.Context(), r.PathValue("program"))
	if err == nil {
		key := rowPrefix + r.PathValue("program")
		_, err = i.table.Commit(r.Context(), store.Txn{
			RequestID:  store.NewRequestID(),
			Conditions: []store.Condition{{Key: key, Version: version}},
			Writes:     []store.Write{{Key: key, Delete: true}},
		})
	}
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, "store", stateNotRun)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (i *Instance) load(ctx context.Context, program string) (history, int64, error) {
	var h history
	row, err := i.table.Get(ctx, rowPrefix+program)
	if err != nil {
		return h, 0, err
	}
	return h, row.Version, errors.Trace(json.Unmarshal(row.Value, &h))
}

func (i *Instance) save(ctx context.Context, program string, h history, version int64) error {
	value, err := json.Marshal(h)
	if err != nil {
		return err
	}
	key := rowPrefix + program
	_, err = i.table.Commit(ctx, store.Txn{
		RequestID:  store.NewRequestID(),
		Conditions: []store.Condition{{Key: key, Version: version}},
		Writes:     []store.Write{{Key: key, Value: value}},
	})
	return err
}
