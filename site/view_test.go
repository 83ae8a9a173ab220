package site_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/site"
)

func TestRoute(t *testing.T) {
	v := site.NewView(&site.Config{Version: 1, Routes: []site.Route{
		{Name: "all", Host: "h", Prefix: "/"},
		{Name: "chat", Host: "h", Prefix: "/chat/"},
		{Name: "old chat", Host: "h", Prefix: "/chat/old/"},
		{Name: "other", Host: "other", Prefix: "/only/"},
	}}, nil, nil)
	tests := []struct {
		name string
		host string
		path string
		want string
	}{
		{"longest of several prefixes", "h", "/chat/old/1", "old chat"},
		{"longer prefix differs", "h", "/chat/new", "chat"},
		{"path shorter than the longer prefix", "h", "/chat", "all"},
		{"host with a port", "h:8080", "/chat/1", "chat"},
		{"prefix of another host", "h", "/only/1", "all"},
		{"no matching prefix", "other", "/", ""},
		{"unknown host", "nobody", "/", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got := ""
			if r := v.Route(tt.host, tt.path); r != nil {
				got = r.Name
			}
			assert.Equal(t, got, tt.want)
		})
	}
}

func TestWithUpstreamsKeepsTheConfiguration(t *testing.T) {
	before := site.NewView(&site.Config{
		Version: 7,
		Teams:   []site.Team{{Name: "fes", Keys: []string{"old", "new"}}},
	}, []*site.Upstream{{ID: "i-2", Service: "s"}, {ID: "i-1", Service: "s"}}, nil)
	after := before.WithUpstreams([]*site.Upstream{{ID: "i-3", Service: "s"}}, map[string]bool{"a": true})
	assert.Equal(t, after.Version, int64(7))
	assert.Equal(t, after.TeamOfKey("new").Name, "fes")
	assert.Assert(t, after.TeamOfKey("lost") == nil)
	assert.Assert(t, after.DomainExcluded("a") && !before.DomainExcluded("a"))
	assert.Equal(t, len(after.Pool("s")), 1)
	assert.Equal(t, before.Pool("s")[0].ID, "i-1")
	assert.Equal(t, before.Pool("s")[1].ID, "i-2")
}
