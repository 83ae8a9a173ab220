// Package common holds the dependencies and helpers that the parts of a process
// share.
package common

import (
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/buckthorntide/buckthorntide/conf"
)

// Common is the set of dependencies that every part of a process receives.
type Common struct {
	Log      hclog.Logger
	Clock    Clock
	Metrics  metrics.Registry
	Settings conf.Settings
}

// NewCommon returns a Common with the system clock and a new metrics registry.
func NewCommon(log hclog.Logger, settings conf.Settings) *Common {
	return &Common{
		Log:      log,
		Clock:    SystemClock{},
		Metrics:  metrics.NewRegistry(),
		Settings: settings,
	}
}

// Part returns a copy whose logger has the part's name as prefix.
func (c *Common) Part(name string) *Common {
	part := *c
	part.Log = c.Log.Named(name)
	return &part
}
