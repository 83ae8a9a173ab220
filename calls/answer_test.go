package calls

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/route"
)

// TestAnswerAssembly checks that text, tool call fragments and usage are merged
// over chunks, and that a chunk that can't be parsed is ignored.
func TestAnswerAssembly(t *testing.T) {
	chunks := []string{
		`{"choices":[{"delta":{"content":"One "}}]}`,
		`{"choices":[{"delta":{"content":"moment","tool_calls":[{"index":0,"id":"a","type":"function","function":{"name":"reserve","arguments":"{\"s"}}]}}]}`,
		`{"choices":[{"delta":{"tool_calls":[{"index":0,"function":{"arguments":"lot\":9}"}}]}}]}`,
		`not understood`,
		`{"choices":[{"delta":{},"finish_reason":"tool_calls"}],"usage":{"prompt_tokens":7,"completion_tokens":5,"prompt_tokens_details":{"cached_tokens":3}}}`,
	}
	var a Answer
	for _, c := range chunks {
		a.Add([]byte(c))
	}
	want := `{"role":"assistant","content":"One moment","tool_calls":[{"index":0,"id":"a","type":"function","function":{"name":"reserve","arguments":"{\"slot\":9}"}}]}`
	assert.Equal(t, string(a.Message().Body), want)
	assert.Equal(t, a.Finish, "tool_calls")
	assert.Equal(t, a.Usage.PromptTokens, int64(7))
	assert.Equal(t, a.Usage.cachedTokens(), 3)
}

func TestParseChatRequest(t *testing.T) {
	tests := []struct {
		name string
		body string
		ok   bool
	}{
		{"whole", `{"model":"m","messages":[{"role":"user","content":"x"}],"temperature":0}`, true},
		{"no messages", `{"model":"m","messages":[]}`, false},
		{"no model", `{"messages":[{"role":"user"}]}`, false},
		{"negative max_tokens", `{"model":"m","messages":[{"role":"user"}],"max_tokens":-1}`, false},
		{"invalid JSON", `{`, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q, err := ParseChatRequest([]byte(tt.body))
			assert.Equal(t, err == nil, tt.ok, "%v", err)
			if tt.ok {
				body, err := q.EngineBody(nil, 5)
				assert.NilError(t, err)
				assert.Equal(t, string(body), `{"max_tokens":5,"messages":[{"role":"user","content":"x"}],"model":"m","stream":true,"stream_options":{"include_usage":true},"temperature":0}`)
			}
		})
	}
}

// TestStaleDecisions guards against acting on a decision that a controller made
// before it learned that the latest attempt had ended.
func TestStaleDecisions(t *testing.T) {
	var history attemptHistory
	history.add(route.Report{Attempt: 2, Outcome: route.OutcomeUnreachable})
	assert.Assert(t, !history.mayHaveRun)
	history.add(route.Report{Attempt: 3, Outcome: route.OutcomeCrashed})
	assert.Assert(t, history.mayHaveRun)
	tests := []struct {
		name  string
		in    route.Decision
		stale bool
	}{
		{"assignment of the ended attempt", route.Decision{Assign: &route.Assign{Attempt: 3}}, true},
		{"assignment of the next attempt", route.Decision{Assign: &route.Assign{Attempt: 4}}, false},
		{"refusal that counts fewer attempts", route.Decision{Refuse: &route.Refuse{Attempts: 2}}, true},
		{"refusal that counts all attempts", route.Decision{Refuse: &route.Refuse{Attempts: 3}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { assert.Equal(t, history.isStale(tt.in), tt.stale) })
	}
}
