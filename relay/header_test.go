package relay_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/relay"
)

const key = "btk_abcdefghijklmnopqrstuvwxyz234567"

func TestCleanHeader(t *testing.T) {
	tests := []struct {
		name string
		in   http.Header
		want http.Header
	}{
		{"other fields are forwarded", http.Header{"Accept": {"a/b"}}, http.Header{"Accept": {"a/b"}}},
		{"credentials are dropped", http.Header{"Authorization": {"Bearer x"}, "X-Api-Key": {"x"}, "Cookie": {"x"}}, http.Header{}},
		{"a field with a copy of the key is dropped", http.Header{"X-Copy": {"is " + key}}, http.Header{}},
		{"a field with the key among its values is dropped", http.Header{"X-Copy": {"a", key}}, http.Header{}},
		{"the key in another letter case is dropped", http.Header{"X-Copy": {"BTK_ABCDEFGHIJKLMNOPQRSTUVWXYZ234567"}}, http.Header{}},
		{"the percent-encoded key is dropped", http.Header{"Referer": {"http://x/?k=btk%5Fabcdefghijklmnopqrstuvwxyz234567"}}, http.Header{}},
		{"hop-by-hop fields are dropped", http.Header{"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"}}, http.Header{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.DeepEqual(t, relay.CleanHeader(tt.in, key), tt.want)
		})
	}
}

func TestEmptyKeyIsNeverContained(t *testing.T) {
	assert.Assert(t, !relay.ContainsKey("anything", ""))
	assert.Assert(t, !relay.BodyContainsKey([]byte("anything"), ""))
}
