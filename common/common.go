// Package common holds what every part of a process is handed at its start.
package common

import (
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"github.com/buckthorntide/buckthorntide/conf"
)

// Common is the small set of things that every part needs.
type Common struct {
	Log      hclog.Logger
	Clock    Clock
	Metrics  metrics.Registry
	Settings conf.Settings
}

// NewCommon returns a Common with the machine's clock and a metrics registry
// of its own.
func NewCommon(log hclog.Logger, settings conf.Settings) *Common {
	return &Common{
		Log:      log,
		Clock:    SystemClock{},
		Metrics:  metrics.NewRegistry(),
		Settings: settings,
	}
}

// Part returns a copy whose log lines carry the part's fixed prefix.
func (c *Common) Part(name string) *Common {
	p := *c
	p.Log = c.Log.Named(name)
	return &p
}
