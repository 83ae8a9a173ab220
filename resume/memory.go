package resume

import (
	"container/list"
	"sync"
	"time"
)

// maxRemembered bounds the streams that an instance remembers.
const maxRemembered = 16 << 10

// memory holds the latest streams of this instance by key. It is safe for
// concurrent use.
type memory struct {
	mu      sync.Mutex
	records map[string]*list.Element
	// order has the records from the oldest to the latest.
	order *list.List
}

func newMemory() *memory { return &memory{records: make(map[string]*list.Element), order: list.New()} }

// put adds the record, and drops old ones.
func (m *memory) put(r record, now time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e, ok := m.records[r.key]; ok {
		m.drop(e)
	}
	m.records[r.key] = m.order.PushBack(r)
	for e := m.order.Front(); e != nil && (m.order.Len() > maxRemembered || e.Value.(record).expiresAt < now); e = m.order.Front() {
		m.drop(e)
	}
}

func (m *memory) get(key string, now time.Duration) (Origin, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.records[key]
	if !ok || e.Value.(record).expiresAt < now {
		return Origin{}, false
	}
	return e.Value.(record).origin, true
}

// ofService returns the service's records that have not expired.
func (m *memory) ofService(service string, now time.Duration) []record {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []record
	for e := m.order.Front(); e != nil; e = e.Next() {
		if r := e.Value.(record); r.origin.Service == service && r.expiresAt >= now {
			found = append(found, r)
		}
	}
	return found
}

func (m *memory) len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.order.Len()
}

func (m *memory) drop(e *list.Element) {
	m.order.Remove(e)
	delete(m.records, e.Value.(record).key)
}
