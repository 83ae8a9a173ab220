package trial

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/stand"
)

// TestEngineCrashesMidAnswer crashes the engine once the caller has the first
// chunk: the answer goes on from another engine, whole and with nothing twice.
func TestEngineCrashesMidAnswer(t *testing.T) {
	c := newCluster(t, options{instances: 2, engines: 2, engine: stand.EngineConfig{DecodeTokensPerSecond: 20}})
	key := c.issueKey("fes").Key
	client := c.client(0, key)
	defer client.Close()
	program, err := client.OpenProgram(t.Context(), "")
	assert.NilError(t, err)
	body := `{"model":"` + model + `","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Go on"}]}`
	q, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
		"http://"+c.instances[0].address+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	q.Header.Set("Authorization", "Bearer "+key)
	q.Header.Set("Program-Id", program)
	resp, err := http.DefaultClient.Do(q)
	assert.NilError(t, err)
	defer resp.Body.Close()
	text, done := "", false
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if done = data == "[DONE]"; done {
			break
		}
		if text == "" {
			c.crashBusyEngine()
		}
		text += contentOf(t, data)
	}
	assert.Assert(t, done, "the answer broke off after %q", text)
	said := []stand.Message{{Role: "user", Content: "Go on"}}
	assert.Equal(t, text, stand.AnswerText(program, said, 12))
	assert.Equal(t, c.engineRuns(), int64(2), "the second engine ran the call, too")
}

// crashBusyEngine crashes every engine that has begun a call.
func (c *cluster) crashBusyEngine() {
	for _, e := range c.engines {
		if e.Stats().Runs > 0 {
			e.SetFaults(stand.EngineFaults{Crash: true})
		}
	}
}

func contentOf(t *testing.T, data string) string {
	t.Helper()
	var chunk struct {
		Choices []struct {
			Delta stand.Message `json:"delta"`
		} `json:"choices"`
	}
	assert.NilError(t, json.Unmarshal([]byte(data), &chunk), data)
	if len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}
