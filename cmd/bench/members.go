package main

import (
	"slices"
	"sync"
)

type (
	// member is an instance of a fleet.
	member interface {
		Address() string
		Close()
	}

	// members holds the instances of a fleet in the order of their start.
	members[M member] struct {
		mu   sync.Mutex
		list []M
	}
)

func (m *members[M]) add(i M) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = append(m.list, i)
}

func (m *members[M]) all() []M {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.list)
}

func (m *members[M]) oldest() M {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list[0]
}

// removeOldest takes the oldest off the list.
func (m *members[M]) removeOldest() M {
	m.mu.Lock()
	defer m.mu.Unlock()
	oldest := m.list[0]
	m.list = m.list[1:]
	return oldest
}

func (m *members[M]) addresses() []string {
	all := m.all()
	addresses := make([]string, 0, len(all))
	for _, i := range all {
		addresses = append(addresses, i.Address())
	}
	return addresses
}

func (m *members[M]) close() {
	for _, i := range m.all() {
		i.Close()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list = nil
}
