package admin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/conf"
	"github.com/buckthorntide/buckthorntide/keys"
)

// fakeKeys knows one key and may have lost touch.
type fakeKeys struct{ fresh bool }

func (fakeKeys) Check(key string) (keys.Identity, error) {
	if key != "good" {
		return keys.Identity{}, keys.ErrUnknownKey
	}
	return keys.Identity{}, nil
}

func (k fakeKeys) Fresh(time.Time) bool { return k.fresh }

// TestGuard lets an instance that has lost touch be looked at and nothing else.
func TestGuard(t *testing.T) {
	tests := []struct {
		name   string
		key    string
		method string
		fresh  bool
		want   int
	}{
		{"reads", "good", http.MethodGet, true, http.StatusOK},
		{"writes", "good", http.MethodPost, true, http.StatusOK},
		{"reads out of touch", "good", http.MethodGet, false, http.StatusOK},
		{"writes out of touch", "good", http.MethodPost, false, http.StatusServiceUnavailable},
		{"withdraws out of touch", "good", http.MethodDelete, false, http.StatusServiceUnavailable},
		{"unknown key", "bad", http.MethodGet, true, http.StatusUnauthorized},
		{"no key", "", http.MethodGet, true, http.StatusUnauthorized},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &Server{
				common: common.NewCommon(hclog.NewNullLogger(), conf.DefaultSettings()),
				keys:   fakeKeys{fresh: tt.fresh},
			}
			handler := s.guard(func(context.Context, *http.Request) (any, error) { return struct{}{}, nil })
			q := httptest.NewRequest(tt.method, "/", nil)
			q.Header.Set("Authorization", "Bearer "+tt.key)
			w := httptest.NewRecorder()
			handler(w, q)
			assert.Equal(t, w.Code, tt.want)
		})
	}
}
