package watch

import (
	"time"

	"github.com/buckthorntide/buckthorntide/rows"
)

func (w *Watcher) operatorFresh(at time.Duration) {
	w.setFreshAt(at)
	w.reach.works(at)
	w.events.Works()
}

func (w *Watcher) operatorFailed() {
	w.reach.fails()
	w.events.Lost()
}

// wholeOperator applies a complete read of the operator's table. A failure domain
// without a row is in service again.
func (w *Watcher) wholeOperator(found []rows.Row) {
	present := make(map[string]bool)
	for _, r := range found {
		if domain, ok := w.decoder.DomainOut(r.ID); ok {
			present[domain] = true
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for domain := range w.domainsOut {
		if !present[domain] {
			w.log.Info("failure domain in service again", "domain", domain)
			delete(w.domainsOut, domain)
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
		if r.Part != mainPart || !w.recordIfNewer(r) {
			continue
		}
		if domain, ok := w.decoder.DomainOut(r.ID); ok {
			w.setDomainOut(domain, !r.Deleted, r.Version)
			continue
		}
		configChanged = w.setConfig(r) || configChanged
	}
	w.publish(configChanged)
}

func (w *Watcher) setDomainOut(domain string, out bool, version int64) {
	if out {
		w.domainsOut[domain] = true
	} else {
		delete(w.domainsOut, domain)
	}
	w.log.Info("failure domain state changed", "domain", domain, "out", out, "rowVersion", version)
}

func (w *Watcher) setConfig(r rows.Row) bool {
	config, ok, err := w.decoder.Config(r)
	if !ok {
		return false
	}
	if err != nil {
		w.log.Error("cannot decode configuration; keeping the previous one", "rowVersion", r.Version, "error", err)
		return false
	}
	if w.config != nil && config.Version <= w.config.Version {
		return false
	}
	w.log.Info("configuration applied", "version", config.Version, "rowVersion", r.Version,
		"routes", len(config.Routes), "services", len(config.Services), "teams", len(config.Teams))
	w.config = config
	return true
}
