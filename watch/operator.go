package watch

import (
	"time"

	"github.com/buckthorntide/buckthorntide/rows"
)

func (w *Watcher) operatorFresh(at time.Duration, version int64) {
	w.freshen(at)
	w.events.Works()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.positions.Operator = version
}

// wholeOperator applies a complete read of the operator's table. A failure
// domain whose row is missing is back in.
func (w *Watcher) wholeOperator(found []rows.Row) {
	present := make(map[string]bool)
	for _, r := range found {
		if domain, ok := w.decoder.DomainOut(r.ID); ok {
			present[domain] = true
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for domain := range w.out {
		if !present[domain] {
			w.log.Info("A failure domain is back in.", "domain", domain)
			delete(w.out, domain)
		}
	}
	w.applyOperator(found)
}

func (w *Watcher) operatorRows(found []rows.Row) {
	if len(found) == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.applyOperator(found)
}

func (w *Watcher) applyOperator(found []rows.Row) {
	configChanged := false
	for _, r := range found {
		if !w.newer(r) {
			continue
		}
		if domain, ok := w.decoder.DomainOut(r.ID); ok {
			w.setOut(domain, !r.Deleted, r.Version)
			continue
		}
		configChanged = w.setConfig(r) || configChanged
	}
	w.publish(configChanged)
}

func (w *Watcher) setOut(domain string, out bool, version int64) {
	if out {
		w.out[domain] = true
	} else {
		delete(w.out, domain)
	}
	w.log.Info("A failure domain's state changed.", "domain", domain, "out", out, "rowVersion", version)
}

func (w *Watcher) setConfig(r rows.Row) bool {
	config, ok, err := w.decoder.Config(r)
	if !ok {
		return false
	}
	if err != nil {
		w.log.Error("The configuration can't be read, the one before stays in force.", "rowVersion", r.Version, "error", err)
		return false
	}
	if w.config != nil && config.Version <= w.config.Version {
		return false
	}
	w.log.Info("A configuration is in force.", "version", config.Version, "rowVersion", r.Version,
		"routes", len(config.Routes), "services", len(config.Services), "teams", len(config.Teams))
	w.config = config
	return true
}
