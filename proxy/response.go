package proxy

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/buckthorntide/buckthorntide/pick"
	"github.com/buckthorntide/buckthorntide/site"
)

// relayResponse forwards a non-streaming answer.
func (x *exchange) relayResponse(u *site.Upstream, d *delivery, resp *http.Response) result {
	expected := resp.ContentLength
	if resp.Body == http.NoBody {
		expected = 0
	}
	body, err := x.readReserved(resp.Body, expected, maxBufferedAnswer)
	// An answer that the memory doesn't suffice for is relayed as a large one.
	whole := err == nil && len(body) < maxBufferedAnswer
	if err != nil && !lacksMemory(err) {
		x.held.Release(cap(body))
		x.noteFailure(u, err, x.deadline(), true)
		x.addTrail(u, "broke off: "+x.failureCause(err))
		return mayHaveRun
	}
	x.noteWhole(u, statusOutcome(resp.StatusCode))
	x.addTrail(u, resp.Status)
	answer := &response{status: resp.StatusCode, header: resp.Header, body: body}
	if resp.StatusCode >= http.StatusInternalServerError && x.repeatable() {
		if whole {
			d.failure, answer = answer, d.failure
		}
		if answer != nil {
			x.held.Release(cap(answer.body))
		}
		return failedAnswer
	}
	if !whole {
		return x.relayLargeResponse(answer, resp)
	}
	x.writeResponse(answer)
	return done
}

// statusOutcome maps the status of a complete answer to the outcome reported to
// the picker.
func statusOutcome(status int) pick.Outcome {
	if status >= http.StatusInternalServerError {
		return pick.Failed
	}
	return pick.Answered
}

// writeResponse sends an upstream's buffered answer to the caller.
func (x *exchange) writeResponse(answer *response) {
	x.proxy.Codec.WriteAnswer(x.w.Header(), answer.header)
	if x.call.Method != http.MethodHead && bodyAllowed(answer.status) {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(answer.body)))
	}
	x.writeHead(answer.status)
	if _, err := x.w.Write(answer.body); err != nil {
		x.record.reason = "the caller was gone: " + err.Error()
	}
}

// relayLargeResponse forwards an answer that is too large to be buffered.
func (x *exchange) relayLargeResponse(answer *response, resp *http.Response) result {
	x.proxy.Codec.WriteAnswer(x.w.Header(), answer.header)
	x.writeHead(answer.status)
	_, err := x.w.Write(answer.body)
	if err == nil {
		_, err = io.Copy(x.w, resp.Body)
	}
	if err != nil {
		x.record.reason = "a long answer broke off: " + err.Error()
		x.abort()
	}
	return done
}

// writeHead sends the status and the header fields set so far.
func (x *exchange) writeHead(status int) {
	x.record.status = status
	x.askToReconnect()
	x.record.firstByte = time.Since(x.start)
	x.w.WriteHeader(status)
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
