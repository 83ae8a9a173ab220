package entry

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/buckthorntide/buckthorntide/calls"
)

type (
	openBody struct {
		Parent string `json:"parent"`
	}

	openAnswer struct {
		Program string `json:"program"`
		Kept    bool   `json:"kept"`
	}

	closeAnswer struct {
		Kept bool `json:"kept"`
	}
)

func (s *Server) openProgram(w http.ResponseWriter, q *http.Request, caller calls.Caller) {
	var body openBody
	raw, err := io.ReadAll(q.Body)
	if err == nil && len(raw) > 0 {
		err = json.Unmarshal(raw, &body)
	}
	if err != nil {
		writeRefusal(w, badRequest())
		return
	}
	reply, refusal := s.opener.Open(q.Context(), caller, body.Parent, q.Header.Get(idempotencyHeader))
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	writeJSON(w, http.StatusCreated, openAnswer{Program: reply.Program, Kept: reply.Kept})
}

func (s *Server) closeProgram(w http.ResponseWriter, q *http.Request, caller calls.Caller) {
	reply, refusal := s.opener.Close(q.Context(), caller, q.PathValue("program"))
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	writeJSON(w, http.StatusOK, closeAnswer{Kept: reply.Kept})
}

func badRequest() *calls.Refusal {
	return calls.NewRefusal(http.StatusBadRequest, "badRequest", "the body can't be understood; see docs/CALLERS.md")
}
