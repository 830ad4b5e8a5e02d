package setup

import (
	"net/netip"
	"time"

	"cardamomspool/core/strict"
)

// Fleet holds the settings of a host that finds the others from seeds and
// speaks with callers, targets and operators through an adapter.
type Fleet struct {
	// Adapter names what translates; empty for a host with fixed lists of
	// others.
	Adapter string `json:"adapter"`
	// Seeds are addresses of control hosts. Only their IP numbers count: the
	// peer port is the same on all hosts.
	Seeds []netip.AddrPort `json:"seeds"`
	// FirstStart says that the whole system starts for the first time, with
	// empty disks.
	FirstStart bool `json:"first_start"`
	// FrontAddress is where the adapter serves: operators and targets at a
	// control host, readiness at an entry host.
	FrontAddress netip.AddrPort `json:"front_address"`
	// RetryRatio is the share of the calls of any RetryWindow that may be sent
	// again, over all entry hosts.
	RetryRatio float64 `json:"retry_ratio"`
	// RetryWindow is the time that the retry budget holds for.
	RetryWindow strict.Duration `json:"retry_window"`
	// RetrySlack is the number of repeats in a window that need no calls.
	RetrySlack int `json:"retry_slack"`
	// ProbeInterval is the time between two probes of a target; 0 sends none.
	ProbeInterval strict.Duration `json:"probe_interval"`
	// LinkMbps is the rate of this host's link in Mbit/s; 0 for one that the
	// bodies of callers do not fill.
	LinkMbps float64 `json:"link_mbps"`
}

// AdapterPlatform names the adapter to the users' platform.
const AdapterPlatform = "platform"

// Bounds of the settings of a fleet.
const (
	MaxSeeds         = 64
	MaxRetryWindow   = time.Minute
	MaxRetrySlack    = 100_000
	MaxProbeInterval = time.Minute
)

// Enabled reports whether the host finds others from seeds.
func (s *Fleet) Enabled() bool {
	return s.Adapter != ""
}

func (s *Fleet) validate(f *strict.Faults) {
	if !s.Enabled() {
		return
	}
	if s.Adapter != AdapterPlatform {
		f.Add("fleet.adapter", "is %q, must be empty or %q", s.Adapter, AdapterPlatform)
	}
	f.Range("fleet.seeds (number of entries)", len(s.Seeds), 1, MaxSeeds)
	for _, seed := range s.Seeds {
		checkAddress(f, "fleet.seeds", seed)
	}
	checkAddress(f, "fleet.front_address", s.FrontAddress)
	if s.RetryRatio < 0 || s.RetryRatio > 1 {
		f.Add("fleet.retry_ratio", "is %v, must be from 0 to 1", s.RetryRatio)
	}
	f.Span("fleet.retry_window", s.RetryWindow, 0, MaxRetryWindow)
	f.Range("fleet.retry_slack", s.RetrySlack, 0, MaxRetrySlack)
	f.Span("fleet.probe_interval", s.ProbeInterval, 0, MaxProbeInterval)
	if s.LinkMbps < 0 {
		f.Add("fleet.link_mbps", "is %v, must not be negative", s.LinkMbps)
	}
}
