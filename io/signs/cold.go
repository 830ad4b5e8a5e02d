package signs

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"cardamomspool/core/route"
)

type (
	// HostCount is the number of entry hosts as far as known here. Its zero value knows
	// none. It is safe for concurrent use.
	HostCount struct {
		// listed is the number as last listed, and told that as told by control hosts,
		// which know it exactly; 0 when unknown.
		listed atomic.Int64
		told   atomic.Int64
	}

	// ColdLimits holds the limits, by service, for a host's own decisions for calls to cold
	// targets. It is safe for concurrent use. Use NewColdLimits.
	ColdLimits struct {
		// seed is that by which this host differs from others in the cold targets that
		// it may use while it decides alone.
		seed    uint64
		inForce sync.Map // Name of the service to route.ColdLimit.
	}
)

// Estimates of the number of entry hosts: a control host lists at most maxListedHosts others
// (see feed.Server.Entries), so that there may be AssumedHosts when it lists as many, and
// before it has listed any.
const (
	maxListedHosts = 60
	AssumedHosts   = 150
)

// Get returns the number of entry hosts.
func (c *HostCount) Get() int {
	hosts := int(c.listed.Load())
	if told := int(c.told.Load()); told > 0 {
		hosts = told
	} else if hosts == 0 || hosts > maxListedHosts {
		hosts = AssumedHosts
	}
	return hosts
}

// SetListed stores the number of entry hosts that are listed, and reports whether it has
// changed.
func (c *HostCount) SetListed(n int) bool {
	return c.listed.Swap(int64(n)) != int64(n)
}

// SetTold is SetListed for the number that control hosts tell, which they do only when the
// plan has accounts.
func (c *HostCount) SetTold(n int) bool {
	return c.told.Swap(int64(n)) != int64(n)
}

// NewColdLimits returns ColdLimits without a limit.
func NewColdLimits() *ColdLimits {
	return &ColdLimits{seed: rand.Uint64()}
}

// Seed returns the seed of the limits of this host.
func (c *ColdLimits) Seed() uint64 {
	return c.seed
}

// Put stores the limit of a service, and reports whether the engine is to be told.
func (c *ColdLimits) Put(service string, l route.ColdLimit) bool {
	former, known := c.inForce.Swap(service, l)
	return known && former != l || !known && l != (route.ColdLimit{})
}

// Remove removes the limit of a service.
func (c *ColdLimits) Remove(service string) {
	c.inForce.Delete(service)
}
