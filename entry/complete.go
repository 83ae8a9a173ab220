package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/buckthorntide/buckthorntide/calls"
	"github.com/buckthorntide/buckthorntide/relay"
)

const (
	programHeader     = "Program-Id"
	idempotencyHeader = "Idempotency-Key"
	expectTurnHeader  = "Expected-Turn"
	timeoutHeader     = "Call-Timeout"

	// defaultTimeout bounds a call where neither caller nor text says more.
	defaultTimeout = 120 * time.Second
	// maxTimeout is the longest timeout that a caller may ask for.
	maxTimeout = time.Hour
)

func (s *Server) complete(w http.ResponseWriter, q *http.Request, caller calls.Caller) {
	call, refusal := s.modelCall(q, caller)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	if !call.Request.Stream {
		sink := &wholeSink{writer: w, model: call.Request.Model, id: call.Attempt}
		if refusal := s.model.Complete(q.Context(), call, sink); refusal != nil {
			writeRefusal(w, refusal)
		}
		return
	}
	sink := newEventSink(w)
	refusal = s.model.Complete(q.Context(), call, sink)
	switch {
	case refusal == nil:
	case sink.begun:
		sink.refuse(refusal)
	default:
		writeRefusal(w, refusal)
	}
}

func (s *Server) modelCall(q *http.Request, caller calls.Caller) (calls.ModelCall, *calls.Refusal) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return calls.ModelCall{}, badRequest()
	}
	if relay.BodyContainsKey(body, caller.Key) {
		return calls.ModelCall{}, calls.NewRefusal(http.StatusBadRequest, "keyInRequest", "the key may stand in the Authorization header only")
	}
	request, err := calls.ParseChatRequest(body)
	if err != nil {
		return calls.ModelCall{}, badRequest()
	}
	turn, err := optionalInt(q.Header.Get(expectTurnHeader))
	if err != nil {
		return calls.ModelCall{}, badRequest()
	}
	return calls.ModelCall{
		Caller:       caller,
		Program:      q.Header.Get(programHeader),
		CallID:       callID(q.Header),
		Attempt:      uuid.NewString(),
		ExpectedTurn: turn,
		Request:      request,
		Digest:       digestOf(body),
		Deadline:     s.common.Clock.Now().Add(timeoutOf(q.Header)),
	}, nil
}

func callID(header http.Header) string {
	if id := header.Get(idempotencyHeader); id != "" {
		return id
	}
	return uuid.NewString()
}

func digestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func timeoutOf(header http.Header) time.Duration {
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
