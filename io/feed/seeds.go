package feed

import (
	"net/netip"
	"sync"
)

// Seeds holds the addresses that a host searches from. They may be replaced
// while the host runs. Use NewSeeds.
type Seeds struct {
	mu   sync.Mutex
	list []netip.AddrPort
}

// NewSeeds returns Seeds that hold list, which must not change.
func NewSeeds(list []netip.AddrPort) *Seeds {
	return &Seeds{list: list}
}

// List returns the addresses. They must not be changed.
func (s *Seeds) List() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list
}

// Set replaces the addresses by list, which must not change.
func (s *Seeds) Set(list []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = list
}
