package entry

import (
	"encoding/json"
	"net/http"

	"github.com/buckthorntide/buckthorntide/calls"
)

type (
	openRequest struct {
		Parent string `json:"parent"`
	}

	openResponse struct {
		Program string `json:"program"`
		Kept    bool   `json:"kept"`
	}

	closeResponse struct {
		Kept bool `json:"kept"`
	}
)

func (s *Server) openProgram(w http.ResponseWriter, q *http.Request, caller calls.Caller) {
	var body openRequest
	raw, refusal := s.readBody(q)
	if refusal == nil && len(raw) > 0 && json.Unmarshal(raw, &body) != nil {
		refusal = newBadRequestRefusal()
	}
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	reply, refusal := s.opener.Open(q.Context(), caller, body.Parent, q.Header.Get(idempotencyHeader))
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	writeJSON(w, http.StatusCreated, openResponse{Program: reply.Program, Kept: reply.Kept})
}

func (s *Server) closeProgram(w http.ResponseWriter, q *http.Request, caller calls.Caller) {
	reply, refusal := s.opener.Close(q.Context(), caller, q.PathValue("program"))
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	writeJSON(w, http.StatusOK, closeResponse{Kept: reply.Kept})
}

func newBadRequestRefusal() *calls.Refusal {
	return calls.NewRefusal(http.StatusBadRequest, "badRequest", "the body can't be understood; see docs/CALLERS.md")
}
