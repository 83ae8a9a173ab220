package entry

import (
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/buckthorntide/buckthorntide/calls"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/relay"
)

// callService resolves the route before it authenticates the caller, since the
// route's configuration decides whether a key is required.
func (s *Server) callService(w http.ResponseWriter, q *http.Request) {
	service, ok := s.texts.Text().Service(q.PathValue("service"))
	path := "/" + q.PathValue("path")
	route, known := service.Route(path)
	if !ok || !known || service.Kind != conf.KindPlain {
		writeRefusal(w, newRouteRefusal())
		return
	}
	run := func(w http.ResponseWriter, q *http.Request, caller calls.Caller) {
		s.runService(w, q, caller, calls.PlainCall{Service: service, Route: route, Path: path})
	}
	if route.OpenToAll && keyFromHeader(q.Header) == "" {
		s.withoutKey(run)(w, q)
		return
	}
	s.withCaller(run)(w, q)
}

// withoutKey runs the handler for an anonymous caller, on routes open to all.
func (s *Server) withoutKey(next callerHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		if reason := s.health.RefusalReason(); reason != "" {
			writeRefusal(w, calls.NewRefusal(http.StatusServiceUnavailable, "notReady", reason))
			return
		}
		next(w, q, calls.Caller{})
	}
}

func (s *Server) runService(w http.ResponseWriter, q *http.Request, caller calls.Caller, call calls.PlainCall) {
	if caller.Team.Name != "" && !caller.MayCall(call.Service.Name) {
		writeRefusal(w, newRouteRefusal())
		return
	}
	call.Generated = q.Header.Get(idempotencyHeader) == ""
	body, refusal := s.readBody(q)
	if refusal != nil {
		writeRefusal(w, call.RefusedBeforeClaim(refusal))
		return
	}
	if relay.BodyContainsKey(body, caller.Key) {
		writeRefusal(w, calls.NewRefusal(http.StatusBadRequest, "keyInRequest", "the key may stand in the Authorization header only"))
		return
	}
	call.Caller = caller
	call.Program = q.Header.Get(programHeader)
	call.CallID = callID(q.Header)
	call.Attempt = uuid.NewString()
	call.Method = q.Method
	call.Query = q.URL.RawQuery
	call.Header = relay.CleanHeader(q.Header, caller.Key)
	call.Body = body
	call.Digest = hexDigest([]byte(q.Method + " " + call.Path + "?" + call.Query + "\n" + string(body)))
	call.Deadline = s.common.Clock.Now().Add(serviceTimeout(q.Header, call.Service))
	result, refusal := s.plainExecutor.Call(q.Context(), call)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	writePlainResult(w, result)
}

func serviceTimeout(header http.Header, service conf.Service) time.Duration {
	timeout := timeoutFromHeader(header)
	if service.TimeoutSeconds > 0 {
		timeout = min(timeout, time.Duration(service.TimeoutSeconds)*time.Second)
	}
	return timeout
}

func writePlainResult(w http.ResponseWriter, result calls.PlainResult) {
	header := w.Header()
	for name, values := range result.Answer.Header {
		header[name] = values
	}
	header.Set("Content-Length", strconv.Itoa(len(result.Answer.Body)))
	header.Set(runStateHeader, string(calls.Ran))
	if result.Turn > 0 {
		header.Set(turnHeader, strconv.Itoa(result.Turn))
	}
	if result.Replayed {
		header.Set(replayedHeader, "true")
	}
	w.WriteHeader(result.Answer.Status)
	_, _ = w.Write(result.Answer.Body)
}

func newRouteRefusal() *calls.Refusal {
	return calls.NewRefusal(http.StatusNotFound, "unknownRoute", "no such route for this team")
}
