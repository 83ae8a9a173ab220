package stand

import (
	"slices"
	"strings"
	"time"

	"github.com/buckthorntide/buckthorntide/store"
)

type (
	// lagList is the instance list, which shows an announcement only after a
	// lag.
	lagList struct {
		lag     time.Duration
		pending []announcement
		shown   map[string]store.Instance
	}

	announcement struct {
		instance store.Instance
		at       time.Time
	}
)

func newLagList(lag time.Duration) *lagList {
	return &lagList{lag: lag, shown: make(map[string]store.Instance)}
}

func (l *lagList) announce(instance store.Instance, now time.Time) {
	l.pending = append(l.pending, announcement{instance: instance, at: now})
}

func (l *lagList) list(now time.Time) []store.Instance {
	due := 0
	for _, a := range l.pending {
		if now.Sub(a.at) < l.lag {
			break
		}
		l.shown[a.instance.Name] = a.instance
		due++
	}
	l.pending = slices.Delete(l.pending, 0, due)
	list := make([]store.Instance, 0, len(l.shown))
	for _, instance := range l.shown {
		list = append(list, instance)
	}
	slices.SortFunc(list, func(a, b store.Instance) int { return strings.Compare(a.Name, b.Name) })
	return list
}
