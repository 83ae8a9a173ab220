package boot_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/boot"
)

const key = "k-73c1f0secret"

func runExplain(t *testing.T, args ...string) (status int, out, errs string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	status = boot.NewApp(&stdout, &stderr, func(string) string { return "" }).Run(append([]string{"explain"}, args...))
	assert.Assert(t, !strings.Contains(stdout.String()+stderr.String(), key), "the output holds the key")
	return status, stdout.String(), stderr.String()
}

// Guards against invalid arguments that look like an answer or like an instance that is
// not there, and against a misplaced key in the error.
func TestExplainBadInput(t *testing.T) {
	valid := []string{"-at", "127.0.0.1:1", "-host", "h", "-path", "/x"}
	tests := []struct {
		name string
		args []string
		want string
	}{
		{"no arguments", nil, "-at is missing"},
		{"no port", []string{"-at", "127.0.0.1", "-host", "h", "-path", "/x"}, "-at is not host:port"},
		{"bad port", []string{"-at", "127.0.0.1:x", "-host", "h", "-path", "/x"}, "-at is not host:port"},
		{"bad address", []string{"-at", "a b:1", "-host", "h", "-path", "/x"}, "-at is not host:port"},
		{"no host", []string{"-at", "127.0.0.1:1", "-path", "/x"}, "-host is missing"},
		{"no path", []string{"-at", "127.0.0.1:1", "-host", "h"}, "-path must start with /"},
		{"bad method", append(valid, "-method", "GE T"), "-method is not an HTTP method"},
		{"key and team", append(valid, "-key", key, "-team", "team"), "-key or -team"},
		{"key with a line break", append(valid, "-key", key+"\n"), "control character"},
		{"no body", append(valid, "-body", filepath.Join(t.TempDir(), "none")), "-body"},
		{"unknown flag", append(valid, "-"+key), "argument 7 is no flag"},
		{"value of a switch", append(valid, "-json="+key), "argument 7 is no flag"},
		{"key without its flag", append(valid, key), "1 unexpected arguments"},
		{"flag without value", append(valid, "-key"), "argument 7 is no flag"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, out, errs := runExplain(t, tt.args...)
			assert.Equal(t, status, 2, errs)
			assert.Equal(t, out, "")
			assert.Assert(t, strings.Contains(errs, tt.want), errs)
		})
	}
}

// Guards against an instance that doesn't answer being taken for one that does, or for
// invalid input.
func TestExplainWithoutInstance(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := l.Addr().String()
	assert.NilError(t, l.Close())
	answer := func(status int, body string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Location", "http://"+closed)
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body)
		}))
		t.Cleanup(server.Close)
		return server.Listener.Addr().String()
	}
	tests := []struct {
		name   string
		at     string
		status int
		want   string
	}{
		{"nothing listens", closed, 1, "does not answer"},
		{"instance without explanations", answer(http.StatusNotFound, ""), 1, "status 404"},
		{"redirect", answer(http.StatusFound, ""), 1, "status 302"},
		{"no explanation", answer(http.StatusOK, "<html>"), 1, "the answer of"},
		{"invalid question", answer(http.StatusBadRequest, "the parameter path must start with /"), 2, "the parameter path"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, out, errs := runExplain(t, "-at", tt.at, "-host", "h", "-path", "/x", "-key", key)
			assert.Equal(t, status, tt.status, errs)
			assert.Equal(t, out, "")
			assert.Assert(t, strings.Contains(errs, tt.want), errs)
		})
	}
}

// Guards against a key in the URL, and against arguments that are lost on the way.
func TestExplainSendsTheRequest(t *testing.T) {
	var got *http.Request
	var gotBody []byte
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r
		gotBody, _ = io.ReadAll(r.Body)
		_, _ = io.WriteString(w, `{"service": "m", "upstreams": [{"id": "i-1", "state": "ready", "ejectedForMs": 7, "excludedBy": ["ejected", "version"]}]}`)
	}))
	defer server.Close()
	file := filepath.Join(t.TempDir(), "body")
	assert.NilError(t, os.WriteFile(file, []byte("in"), 0o600))
	status, out, errs := runExplain(t, "-at", server.Listener.Addr().String(), "-host", "h", "-path", "/x?a=b&c", "-key", key,
		"-program", "p&q", "-object", "o", "-id", "r", "-body", file)
	assert.Equal(t, status, 0, errs)
	assert.Equal(t, got.Header.Get("Authorization"), "Bearer "+key)
	assert.Assert(t, !strings.Contains(got.RequestURI, key))
	assert.Equal(t, string(gotBody), "in")
	for name, want := range map[string]string{
		"host": "h", "path": "/x?a=b&c", "method": "POST", "program": "p&q", "object": "o", "id": "r", "team": "",
	} {
		assert.Equal(t, got.URL.Query().Get(name), want)
	}
	assert.Assert(t, strings.Contains(out, "ejected for 7 ms; version"), out)
}
