package stand_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/buckthorntide/buckthorntide/group"
	"github.com/buckthorntide/buckthorntide/stand"
)

const (
	poisonMark = "POISON"
	fast       = 1e6
)

func startEngine(t *testing.T, config stand.EngineConfig) *stand.Engine {
	if config.DecodeTokensPerSecond == 0 {
		config.DecodeTokensPerSecond = fast
	}
	config.PrefillTokensPerSecond = fast
	config.Poison = poisonMark
	e := stand.NewEngine(config, "127.0.0.1:0")
	assert.NilError(t, e.Start())
	t.Cleanup(e.Close)
	return e
}

func chatRequest(t *testing.T, e *stand.Engine, id, program string, chat stand.ChatRequest) *http.Request {
	body, err := json.Marshal(chat)
	assert.NilError(t, err)
	request, err := http.NewRequest(http.MethodPost, "http://"+e.Address()+"/v1/chat/completions", bytes.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set(stand.HeaderCallID, id)
	request.Header.Set(stand.HeaderProgram, program)
	return request
}

func send(t *testing.T, request *http.Request) (status int, body string) {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(read)
}

func chat(t *testing.T, e *stand.Engine, id, program string, messages ...stand.Message) string {
	status, body := send(t, chatRequest(t, e, id, program, stand.ChatRequest{Messages: messages}))
	if status == 0 {
		return ""
	}
	assert.Equal(t, status, http.StatusOK, body)
	var reply stand.ChatReply
	assert.NilError(t, json.Unmarshal([]byte(body), &reply))
	return reply.Choices[0].Message.Content
}

func call(t *testing.T, method, address, path, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	assert.NilError(t, err)
	return send(t, request)
}

// streamed joins the content of a stream's chunks and says whether it ended.
func streamed(body string) (text string, chunks int, done bool) {
	scanner := bufio.NewScanner(strings.NewReader(body))
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, chunks, true
		}
		var reply stand.ChatReply
		if json.Unmarshal([]byte(data), &reply) == nil && reply.Choices[0].FinishReason == nil {
			text += reply.Choices[0].Delta.Content
			chunks++
		}
	}
	return text, chunks, false
}

func user(content string) stand.Message { return stand.Message{Role: "user", Content: content} }

func ExampleAnswerText() {
	messages := []stand.Message{user("size an obi")}
	fmt.Println(stand.AnswerText("p1", messages, 4))
	fmt.Println(stand.AnswerText("p2", messages, 4))
	// Output:
	// digest:6d95c748ede88c6d messages:1 w02 w03
	// digest:c97cb609083d0d8c messages:1 w02 w03
}

func TestEngineAnswersTheSameStreamedAndWhole(t *testing.T) {
	e := startEngine(t, stand.EngineConfig{})
	messages := []stand.Message{user("hello")}
	want := stand.AnswerText("p", messages, 0)
	assert.Equal(t, chat(t, e, "r1", "p", messages...), want)
	_, body := send(t, chatRequest(t, e, "r2", "p", stand.ChatRequest{Messages: messages, Stream: true}))
	text, _, done := streamed(body)
	assert.Assert(t, done)
	assert.Equal(t, text, want)
}

func TestEngineCountsCacheHitsAndRecomputedTokens(t *testing.T) {
	held := stand.NewHeldPrefixes()
	first := startEngine(t, stand.EngineConfig{Held: held})
	second := startEngine(t, stand.EngineConfig{Held: held})
	question := user(strings.Repeat("a", 400))
	answer := chat(t, first, "r1", "p", question)
	messages := []stand.Message{question, {Role: "assistant", Content: answer}, user(strings.Repeat("b", 40))}
	chat(t, first, "r2", "p", messages...)
	chat(t, second, "r3", "p", messages...)

	held1 := 100 + messages[1].Tokens()
	stats := first.Stats()
	assert.Equal(t, stats.CacheHitTokens, int64(held1))
	assert.Equal(t, stats.PrefillTokens, int64(100+10))
	assert.Equal(t, stats.RecomputedTokens, int64(0))
	assert.Equal(t, second.Stats().RecomputedTokens, int64(held1+10))
}

func TestEngineMovesACachedPrefix(t *testing.T) {
	held := stand.NewHeldPrefixes()
	first := startEngine(t, stand.EngineConfig{Held: held})
	second := startEngine(t, stand.EngineConfig{Held: held})
	chat(t, first, "r1", "p", user("hello"))
	status, blob := call(t, http.MethodPost, first.Address(), "/v1/cache/p/export", "")
	assert.Equal(t, status, http.StatusOK)
	status, _ = call(t, http.MethodPost, second.Address(), "/v1/cache/p/import", blob)
	assert.Equal(t, status, http.StatusNoContent)
	chat(t, second, "r2", "p", user("hello"))
	assert.Equal(t, second.Stats().RecomputedTokens, int64(0))
	status, _ = call(t, http.MethodDelete, first.Address(), "/v1/cache/p", "")
	assert.Equal(t, status, http.StatusNoContent)
	assert.Equal(t, len(first.Cache()), 0)
	assert.Equal(t, first.Stats().CacheTokens, 0)
}

func TestEngineEvictsTheLeastRecentlyUsedPrefix(t *testing.T) {
	e := startEngine(t, stand.EngineConfig{CacheTokens: 250})
	for i, program := range []string{"p1", "p2", "p1", "p3"} {
		chat(t, e, fmt.Sprint("r", i), program, user(strings.Repeat("a", 320)))
	}
	entries := e.Cache()
	assert.Equal(t, len(entries), 2)
	assert.Equal(t, entries[0].Program, "p1")
	assert.Equal(t, entries[1].Program, "p3")
	assert.Equal(t, e.Stats().Evictions, int64(1))
	_, body := call(t, http.MethodGet, e.Address(), "/v1/cache/events?after=0", "")
	assert.Assert(t, strings.Contains(body, `"kind":"evicted","program":"p2"`), body)
}

func TestEngineCrashesOnPoisonAndTakesBystandersAlong(t *testing.T) {
	e := startEngine(t, stand.EngineConfig{DecodeTokensPerSecond: 0.1, RestartDelay: time.Nanosecond})
	g := group.NewGroup(context.Background())
	defer g.Close()
	bystander := make(chan string, 1)
	request := chatRequest(t, e, "r1", "p1", stand.ChatRequest{Messages: []stand.Message{user("hello")}})
	g.Go(func(context.Context) {
		_, body := send(t, request)
		bystander <- body
	})
	awaitRuns(t, e, 1)
	assert.Equal(t, chat(t, e, "r2", "p2", user(poisonMark)), "")
	assert.Equal(t, <-bystander, "")
	stats := e.Stats()
	assert.Equal(t, stats.Poisonings, int64(1))
	assert.Equal(t, stats.ColdStarts, int64(1))
	assert.Equal(t, len(e.Cache()), 0)
}

func awaitRuns(t *testing.T, e *stand.Engine, runs int64) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if e.Stats().Runs >= runs {
			return poll.Success()
		}
		return poll.Continue("runs: %d", e.Stats().Runs)
	}, poll.WithDelay(time.Millisecond))
}

func TestEngineCountsColdOverloads(t *testing.T) {
	e := startEngine(t, stand.EngineConfig{StartCold: true, ColdSlots: 1, DecodeTokensPerSecond: 0.1})
	g := group.NewGroup(context.Background())
	defer g.Close()
	for i := range 2 {
		request := chatRequest(t, e, fmt.Sprint("r", i), "p", stand.ChatRequest{Messages: []stand.Message{user("x")}})
		g.Go(func(ctx context.Context) { send(t, request.WithContext(ctx)) })
	}
	awaitRuns(t, e, 2)
	assert.Equal(t, e.Stats().ColdOverloads, int64(1))
	assert.Equal(t, e.Stats().MaxInFlightCold, int64(2))
}

func TestEngineWarmsUpByCompletedCalls(t *testing.T) {
	e := startEngine(t, stand.EngineConfig{StartCold: true, ColdSlots: 1, Slots: 3})
	for i := range 4 {
		chat(t, e, fmt.Sprint("r", i), "p", user("x"))
	}
	stats := e.Stats()
	assert.Equal(t, stats.ColdOverloads, int64(0))
	assert.Equal(t, stats.MaxInFlightCold, int64(1))
}

func TestEngineResumesACutStream(t *testing.T) {
	e := startEngine(t, stand.EngineConfig{ResumeGrace: time.Minute})
	e.SetFaults(stand.EngineFaults{CutStreamNext: 1})
	messages := []stand.Message{user("hello")}
	request := chatRequest(t, e, "r1", "p", stand.ChatRequest{Messages: messages, Stream: true, MaxTokens: 20})
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	part, err := io.ReadAll(response.Body)
	response.Body.Close()
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	before, chunks, done := streamed(string(part))
	assert.Assert(t, !done)
	_, rest := call(t, http.MethodGet, e.Address(), fmt.Sprintf("/v1/requests/r1/stream?from=%d", chunks), "")
	after, _, done := streamed(rest)
	assert.Assert(t, done)
	assert.Equal(t, before+after, stand.AnswerText("p", messages, 20))
	assert.Equal(t, e.Stats().Runs, int64(1))
}

func TestEngineCancels(t *testing.T) {
	cases := []struct {
		name   string
		cancel func(t *testing.T, e *stand.Engine, leave context.CancelFunc)
	}{
		{name: "on request", cancel: func(t *testing.T, e *stand.Engine, _ context.CancelFunc) {
			status, _ := call(t, http.MethodDelete, e.Address(), "/v1/requests/r1", "")
			assert.Equal(t, status, http.StatusNoContent)
		}},
		{name: "when the client has left", cancel: func(_ *testing.T, _ *stand.Engine, leave context.CancelFunc) { leave() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := startEngine(t, stand.EngineConfig{DecodeTokensPerSecond: 0.1, ResumeGrace: time.Millisecond})
			g := group.NewGroup(context.Background())
			defer g.Close()
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			request := chatRequest(t, e, "r1", "p", stand.ChatRequest{Messages: []stand.Message{user("x")}, Stream: true})
			g.Go(func(context.Context) { send(t, request.WithContext(ctx)) })
			awaitRuns(t, e, 1)
			c.cancel(t, e, leave)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if e.Stats().Cancelled == 1 {
					return poll.Success()
				}
				return poll.Continue("not cancelled")
			}, poll.WithDelay(time.Millisecond))
		})
	}
}

func TestEngineCountsLeakedKeysAndDoubleRuns(t *testing.T) {
	e := startEngine(t, stand.EngineConfig{})
	chat(t, e, "r1", "p", user("my key is btk_123"))
	request := chatRequest(t, e, "r1", "p", stand.ChatRequest{Messages: []stand.Message{user("x")}})
	request.Header.Set("X-Copied", "Bearer btk_123")
	send(t, request)
	stats := e.Stats()
	assert.Equal(t, stats.LeakedKeys, int64(2))
	assert.Equal(t, stats.DoubleRuns, int64(1))
}

func TestEngineOrders(t *testing.T) {
	cases := []struct {
		name   string
		checks bool
		status int
		stale  int64
		role   string
	}{
		{name: "refuses an old fence", checks: true, status: http.StatusConflict, role: "decode"},
		{name: "ignores fences", status: http.StatusOK, stale: 1, role: "prefill"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := startEngine(t, stand.EngineConfig{ChecksFence: c.checks})
			status, _ := call(t, http.MethodPost, e.Address(), "/v1/orders", `{"kind":"setRole","target":"decode","fence":2}`)
			assert.Equal(t, status, http.StatusOK)
			status, body := call(t, http.MethodPost, e.Address(), "/v1/orders", `{"kind":"setRole","target":"prefill","fence":1}`)
			assert.Equal(t, status, c.status)
			assert.Assert(t, strings.Contains(body, `"role":"`+c.role+`"`), body)
			assert.Equal(t, e.Stats().StaleOrders, c.stale)
		})
	}
}

func TestEngineTurnsColdUnannounced(t *testing.T) {
	e := startEngine(t, stand.EngineConfig{})
	chat(t, e, "r1", "p", user("x"))
	status, _ := call(t, http.MethodPost, e.Address(), "/faults", `{"turnCold":true}`)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, len(e.Cache()), 0)
	chat(t, e, "r2", "p", user("x"))
	assert.Equal(t, e.Stats().MaxInFlightCold, int64(1))
}

func TestEngineLoadTellsOnlyOfStarts(t *testing.T) {
	load := func(e *stand.Engine) stand.EngineLoad {
		_, body := call(t, http.MethodGet, e.Address(), "/v1/load", "")
		var report stand.EngineLoad
		assert.NilError(t, json.Unmarshal([]byte(body), &report))
		return report
	}
	e := startEngine(t, stand.EngineConfig{RestartDelay: time.Nanosecond})
	before := load(e)
	assert.Assert(t, !before.Coldish)
	e.SetFaults(stand.EngineFaults{TurnCold: true})
	assert.Equal(t, load(e).Epoch, before.Epoch)
	assert.Assert(t, !load(e).Coldish)
	e.SetFaults(stand.EngineFaults{Crash: true})
	assert.Assert(t, load(e).Epoch != before.Epoch)
	assert.Assert(t, load(e).Coldish)
}
