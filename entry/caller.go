package entry

import (
	"context"
	"net/http"
	"strings"

	"github.com/buckthorntide/buckthorntide/calls"
	"github.com/buckthorntide/buckthorntide/relay"
)

const (
	bearerPrefix = "Bearer "
	apiKeyHeader = "X-Api-Key"
)

type callerHandler func(w http.ResponseWriter, q *http.Request, caller calls.Caller)

// withCaller authenticates the request by its key and runs the handler for the
// key's team. The request's context is cancelled when the key is withdrawn.
func (s *Server) withCaller(next callerHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		caller, refusal := s.authenticate(q)
		if refusal != nil {
			writeRefusal(w, refusal)
			return
		}
		ctx, cancel := context.WithCancelCause(q.Context())
		defer cancel(nil)
		release, err := s.streams.Register(caller.KeyID, func() { cancel(calls.ErrKeyWithdrawn) })
		if err != nil {
			writeRefusal(w, newKeyRefusal("the key is unknown or withdrawn"))
			return
		}
		defer release()
		next(w, q.WithContext(ctx), caller)
	}
}

func (s *Server) authenticate(q *http.Request) (calls.Caller, *calls.Refusal) {
	if reason := s.health.RefusalReason(); reason != "" {
		return calls.Caller{}, calls.NewRefusal(http.StatusServiceUnavailable, "notReady", reason)
	}
	key := keyFromHeader(q.Header)
	if key == "" {
		return calls.Caller{}, newKeyRefusal("send the team's key as a bearer token")
	}
	if relay.ContainsKey(q.URL.String(), key) {
		return calls.Caller{}, calls.NewRefusal(http.StatusBadRequest, "keyInRequest", "the key may stand in the Authorization header only")
	}
	identity, err := s.keys.Check(key)
	if err != nil {
		return calls.Caller{}, newKeyRefusal("the key is unknown or withdrawn")
	}
	team, ok := s.texts.Text().Team(identity.Team)
	if !ok {
		return calls.Caller{}, newKeyRefusal("the key's team is not in the text")
	}
	return calls.Caller{Team: team, KeyID: identity.KeyID, Key: key}, nil
}

func keyFromHeader(header http.Header) string {
	if token, ok := strings.CutPrefix(header.Get("Authorization"), bearerPrefix); ok {
		return strings.TrimSpace(token)
	}
	return header.Get(apiKeyHeader)
}

func newKeyRefusal(message string) *calls.Refusal {
	return calls.NewRefusal(http.StatusUnauthorized, "unauthorised", message)
}
