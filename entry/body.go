package entry

import (
	"io"
	"net/http"

	"github.com/buckthorntide/buckthorntide/calls"
)

// readBody reads a request's body.
func (s *Server) readBody(q *http.Request) ([]byte, *calls.Refusal) {
	body, err := io.ReadAll(q.Body)
	switch {
	case err == nil:
		return body, nil
	case s.requests.Err() != nil:
		return nil, calls.RefuseStopping()
	default:
		return nil, newBadRequestRefusal()
	}
}
