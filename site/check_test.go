package site_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/site"
)

func validConfig() *site.Config {
	return &site.Config{
		Version:  3,
		Services: []site.Service{{Name: "s"}, {Name: "m", Model: &site.Model{Slots: 8, EventTokens: 2}}},
		Routes: []site.Route{
			{Name: "web", Host: "h", Prefix: "/", Timeout: time.Second, Targets: []site.Target{{Service: "s", Weight: 1}}},
			{Name: "chat", Host: "h", Prefix: "/chat/", Timeout: time.Second, Conversation: true, Retention: time.Minute, Targets: []site.Target{{Service: "m", Weight: 1}}},
		},
		Teams: []site.Team{{Name: "fes", Keys: []string{"k1"}, Rate: 10, Burst: 5}, {Name: "atlas", Keys: []string{"k2"}}},
	}
}

func TestCheck(t *testing.T) {
	tests := []struct {
		name   string
		change func(c *site.Config)
		want   []site.Problem
	}{
		{"sound", func(*site.Config) {}, nil},
		{"no version", func(c *site.Config) { c.Version = 0 }, []site.Problem{{"the configuration", "its version must be above zero"}}},
		{"unknown service", func(c *site.Config) { c.Routes[0].Targets[0].Service = "x" }, []site.Problem{{"route web", `there is no service "x"`}}},
		{"no target with a weight", func(c *site.Config) { c.Routes[0].Targets[0].Weight = 0 }, []site.Problem{{"route web", "no service gets its requests"}}},
		{"duplicate host and prefix", func(c *site.Config) { c.Routes[1].Prefix = "/" }, []site.Problem{{"route chat", "it has the host and prefix of route web"}}},
		{"conversation without retention", func(c *site.Config) { c.Routes[1].Retention = 0 }, []site.Problem{{"route chat", "turns must be kept for a time above zero"}}},
		{"no timeout and no slash", func(c *site.Config) { c.Routes[0].Timeout, c.Routes[0].Prefix = 0, "x" }, []site.Problem{
			{"route web", `the prefix "x" must begin with a slash`}, {"route web", "the timeout must be above zero"},
		}},
		{"duplicate key", func(c *site.Config) { c.Teams[1].Keys[0] = "k1" }, []site.Problem{{"team atlas", "a key is held by team fes too"}}},
		{"negative quota", func(c *site.Config) { c.Teams[0].Burst = -1 }, []site.Problem{{"team fes", "the quota must not be negative"}}},
		{"events without tokens", func(c *site.Config) { c.Services[1].Model.EventTokens = 0 }, []site.Problem{{"service m", "an event must count for a token at the least"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := validConfig()
			tt.change(c)
			assert.DeepEqual(t, site.Check(c), tt.want)
		})
	}
}
