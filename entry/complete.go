package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/buckthorntide/buckthorntide/calls"
	"github.com/buckthorntide/buckthorntide/relay"
)

const (
	programHeader      = "Program-Id"
	idempotencyHeader  = "Idempotency-Key"
	expectedTurnHeader = "Expected-Turn"
	timeoutHeader      = "Call-Timeout"

	// defaultTimeout applies when the Call-Timeout header is missing or invalid.
	defaultTimeout = 120 * time.Second
	// maxTimeout is the longest timeout that a caller may request.
	maxTimeout = time.Hour
)

func (s *Server) complete(w http.ResponseWriter, q *http.Request, caller calls.Caller) {
	call, refusal := s.parseModelCall(q, caller)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	if !call.Request.Stream {
		sink := &jsonSink{writer: w, model: call.Request.Model, id: call.Attempt}
		if refusal := s.modelExecutor.Complete(q.Context(), call, sink); refusal != nil {
			writeRefusal(w, refusal)
		}
		return
	}
	sink := newEventSink(w)
	refusal = s.modelExecutor.Complete(q.Context(), call, sink)
	switch {
	case refusal == nil:
	case sink.headersWritten:
		sink.writeError(refusal)
	default:
		writeRefusal(w, refusal)
	}
}

func (s *Server) parseModelCall(q *http.Request, caller calls.Caller) (calls.ModelCall, *calls.Refusal) {
	body, refusal := s.readBody(q)
	if refusal != nil {
		return calls.ModelCall{}, refusal
	}
	if relay.BodyContainsKey(body, caller.Key) {
		return calls.ModelCall{}, calls.NewRefusal(http.StatusBadRequest, "keyInRequest", "the key may stand in the Authorization header only")
	}
	request, err := calls.ParseChatRequest(body)
	if err != nil {
		return calls.ModelCall{}, newBadRequestRefusal()
	}
	turn, err := optionalInt(q.Header.Get(expectedTurnHeader))
	if err != nil {
		return calls.ModelCall{}, newBadRequestRefusal()
	}
	return calls.ModelCall{
		Caller:       caller,
		Program:      q.Header.Get(programHeader),
		CallID:       callID(q.Header),
		Attempt:      uuid.NewString(),
		ExpectedTurn: turn,
		Request:      request,
		Digest:       hexDigest(body),
		Deadline:     s.common.Clock.Now().Add(timeoutFromHeader(q.Header)),
	}, nil
}

func callID(header http.Header) string {
	if id := header.Get(idempotencyHeader); id != "" {
		return id
	}
	return uuid.NewString()
}

func hexDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func timeoutFromHeader(header http.Header) time.Duration {
	d, err := time.ParseDuration(header.Get(timeoutHeader))
	if err != nil || d <= 0 {
		return defaultTimeout
	}
	return min(d, maxTimeout)
}

func optionalInt(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.Atoi(text)
}
