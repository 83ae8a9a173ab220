package naive

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/stand"
	"github.com/buckthorntide/buckthorntide/store"
)

const (
	programHeader = "Program-Id"
	eventPrefix   = "data: "
	eventEnd      = "data: [DONE]"

	errBroken = errors.ConstError("engine broke off")
)

func (i *Instance) chat(w http.ResponseWriter, r *http.Request, team string) {
	var request stand.ChatRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&request); err != nil {
		refuse(w, http.StatusBadRequest, "badRequest", stateNotRun)
		return
	}
	program := r.Header.Get(programHeader)
	h, version, err := i.load(r.Context(), program)
	if err != nil || h.Team != team {
		refuse(w, http.StatusServiceUnavailable, "store", stateNotRun)
		return
	}
	wantsStream := request.Stream
	h.Messages = append(h.Messages, request.Messages...)
	request.Messages = h.Messages
	request.Stream = true
	answer, err := i.ask(r.Context(), program, request, w, wantsStream)
	if err != nil {
		i.refuseChat(w, wantsStream)
		return
	}
	h.Messages = append(h.Messages, stand.Message{Role: "assistant", Content: answer})
	saved := i.save(r.Context(), program, h, version) == nil
	i.finishChat(w, answer, wantsStream, saved)
}

func (i *Instance) refuseChat(w http.ResponseWriter, streamed bool) {
	if streamed && w.Header().Get("Content-Type") != "" {
		panic(http.ErrAbortHandler)
	}
	refuse(w, http.StatusBadGateway, "upstreamFailed", stateUnknown)
}

func (i *Instance) finishChat(w http.ResponseWriter, answer string, streamed, saved bool) {
	switch {
	case !saved && streamed:
		panic(http.ErrAbortHandler)
	case !saved:
		refuse(w, http.StatusServiceUnavailable, "store", "ran")
	case streamed:
		_, _ = w.Write([]byte(eventEnd + "\n\n"))
	default:
		message := &stand.Message{Role: "assistant", Content: answer}
		writeJSON(w, http.StatusOK, stand.ChatReply{Choices: []stand.ChatChoice{{Message: message}}})
	}
}

// ask tries the engines in turn until one gives the whole answer; once chunks
// have gone out there is no second try.
func (i *Instance) ask(
	ctx context.Context, program string, request stand.ChatRequest, w http.ResponseWriter, stream bool,
) (string, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return "", err
	}
	upstreams := i.upstreams(conf.KindModel, "")
	for range upstreams {
		response, err := i.post(ctx, i.pick(upstreams), program, body)
		if err != nil {
			continue
		}
		answer, began, err := relayAnswer(response, w, stream)
		if err == nil || began {
			return answer, err
		}
	}
	return "", errBroken
}

func (i *Instance) post(ctx context.Context, address, program string, body []byte) (*http.Response, error) {
	url := "http://" + address + "/v1/chat/completions"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set(stand.HeaderProgram, program)
	r.Header.Set(stand.HeaderCallID, store.NewRequestID())
	return i.client.Do(r)
}

// relayAnswer passes the events on, if they are asked for, and joins the text.
func relayAnswer(response *http.Response, w http.ResponseWriter, stream bool) (answer string, began bool, err error) {
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return "", false, errBroken
	}
	var text strings.Builder
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, 1<<20)
	flusher := http.NewResponseController(w)
	for scanner.Scan() {
		line := scanner.Text()
		if line == eventEnd {
			return text.String(), began, nil
		}
		data, ok := strings.CutPrefix(line, eventPrefix)
		if !ok {
			continue
		}
		var reply stand.ChatReply
		if json.Unmarshal([]byte(data), &reply) == nil && len(reply.Choices) > 0 && reply.Choices[0].Delta != nil {
			text.WriteString(reply.Choices[0].Delta.Content)
		}
		if stream {
			began = true
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = w.Write([]byte(line + "\n\n"))
			_ = flusher.Flush()
		}
	}
	return "", began, errBroken
}
