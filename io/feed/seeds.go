package feed

import (
	"net/netip"
	"sync"
)

// Seeds holds the addresses from which a host discovers control hosts. They can
// be replaced while the host runs. Seeds is safe for concurrent use. Use
// NewSeeds.
type Seeds struct {
	mu   sync.Mutex
	list []netip.AddrPort
}

// NewSeeds returns Seeds that hold list, which must not be modified afterwards.
func NewSeeds(list []netip.AddrPort) *Seeds {
	return &Seeds{list: list}
}

// List returns the addresses. The caller must not modify the slice.
func (s *Seeds) List() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list
}

// Set replaces the addresses by list, which must not be modified afterwards.
func (s *Seeds) Set(list []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = list
}
