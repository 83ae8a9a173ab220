package front

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"

	"github.com/buckthorntide/buckthorntide/common"
	"github.com/buckthorntide/buckthorntide/pick"
	"github.com/buckthorntide/buckthorntide/resume"
	"github.com/buckthorntide/buckthorntide/roster"
	"github.com/buckthorntide/buckthorntide/site"
)

type (
	// Dump is a snapshot of the state of an instance.
	Dump struct {
		Instance roster.Entry `json:"instance"`
		// Witnesses are the instances that this one's row on the roster names.
		Witnesses []string `json:"witnesses"`
		// NotReady is why the balancer should send no new connections; empty means
		// ready.
		NotReady string `json:"notReady"`
		// ConfigVersion is 0 before the first configuration is known.
		ConfigVersion int64 `json:"configVersion"`
		// ConfigAgeMs is the maximum age of the known routes, keys and failure
		// domains; -1 before any are known.
		ConfigAgeMs int64 `json:"configAgeMs"`
		// StoreUnreachable is set while apparently no instance reaches the store.
		StoreUnreachable bool     `json:"storeAway"`
		ExcludedDomains  []string `json:"domainsOut"`
		// Versions are the software versions of each service at which streams may be
		// open.
		Versions map[string][]resume.Listed `json:"versions"`
		// Crashes is how many crashes of upstreams are known that had requests in flight.
		Crashes   int            `json:"crashes"`
		Upstreams []UpstreamDump `json:"upstreams"`
		Instances []InstanceDump `json:"instances"`
	}

	// UpstreamDump is one upstream as this instance sees it.
	UpstreamDump struct {
		ID            string `json:"id"`
		Service       string `json:"service"`
		Address       string `json:"address"`
		FailureDomain string `json:"failureDomain"`
		Version       string `json:"version"`
		Draining      bool   `json:"draining"`
		ColdForMs     int64  `json:"coldForMs"`
		pick.State
	}

	// InstanceDump is another instance on the roster.
	InstanceDump struct {
		roster.Entry
		// Ejected is set shortly after a call to the instance has failed.
		Ejected bool `json:"resting"`
	}
)

func (f *Front) serveDump(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(f.Dump()); err != nil {
		f.log.Warn("write of the state dump failed", "error", err)
	}
}

// Dump returns a snapshot of the current state.
func (f *Front) Dump() Dump {
	now := common.Uptime()
	view := f.watcher.View()
	d := Dump{
		Instance:         f.roster.Self(),
		NotReady:         f.notReady(),
		ConfigVersion:    view.Version,
		ConfigAgeMs:      -1,
		StoreUnreachable: f.watcher.StoreDown(),
		ExcludedDomains:  slices.Sorted(maps.Keys(view.ExcludedDomains())),
		Versions:         f.streams.Dump(),
		Crashes:          f.crashes.Known(),
		Witnesses:        []string{},
		Upstreams:        []UpstreamDump{},
		Instances:        []InstanceDump{},
	}
	if names := f.witnesses.Load(); names != nil {
		d.Witnesses = append(d.Witnesses, *names...)
	}
	if age, known := f.watcher.Age(now); known {
		d.ConfigAgeMs = age.Milliseconds()
	}
	for _, u := range view.Upstreams() {
		d.Upstreams = append(d.Upstreams, UpstreamDump{
			ID:            u.ID,
			Service:       u.Service,
			Address:       u.Address,
			FailureDomain: u.FailureDomain,
			Version:       u.SoftwareVersion,
			Draining:      u.State == site.Draining,
			ColdForMs:     max(0, u.ColdUntil-now).Milliseconds(),
			State:         f.picker.State(u, now),
		})
	}
	for _, e := range f.roster.Others() {
		d.Instances = append(d.Instances, InstanceDump{Entry: e, Ejected: f.roster.Ejected(e.Name, now)})
	}
	return d
}
