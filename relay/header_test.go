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
		{"plain fields go on", http.Header{"Accept": {"a/b"}}, http.Header{"Accept": {"a/b"}}},
		{"credentials stay", http.Header{"Authorization": {"Bearer x"}, "X-Api-Key": {"x"}, "Cookie": {"x"}}, http.Header{}},
		{"a copied key stays", http.Header{"X-Copy": {"is " + key}}, http.Header{}},
		{"a key among others stays", http.Header{"X-Copy": {"a", key}}, http.Header{}},
		{"a key in another case stays", http.Header{"X-Copy": {"BTK_ABCDEFGHIJKLMNOPQRSTUVWXYZ234567"}}, http.Header{}},
		{"an encoded key stays", http.Header{"Referer": {"http://x/?k=btk%5Fabcdefghijklmnopqrstuvwxyz234567"}}, http.Header{}},
		{"fields of one connection stay", http.Header{"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"}}, http.Header{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.DeepEqual(t, relay.CleanHeader(tt.in, key), tt.want)
		})
	}
}

func TestNoKeyIsNeverContained(t *testing.T) {
	assert.Assert(t, !relay.ContainsKey("anything", ""))
	assert.Assert(t, !relay.BodyContainsKey([]byte("anything"), ""))
}
