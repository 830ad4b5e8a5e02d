package setup

import (
	"net/netip"
	"time"

	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
)

// Fleet holds the settings of a host that discovers the other hosts from seeds
// and talks to callers, targets and operators through a protocol adapter.
type Fleet struct {
	// Adapter names the protocol adapter. It is empty for a host with fixed
	// lists of the other hosts.
	Adapter string `json:"adapter"`
	// Seeds are control hosts to contact first. Their ports are ignored; this
	// host's own peer port is used instead, as it is the same on all hosts.
	Seeds []netip.AddrPort `json:"seeds"`
	// FirstStart says that the whole system starts for the first time, with
	// empty disks. The seeds are then the first voting control hosts; otherwise
	// a host with an empty disk joins the existing ones.
	FirstStart bool `json:"first_start"`
	// FrontAddress is the adapter's address. It serves operators and targets on
	// a control host, and readiness on an entry host.
	FrontAddress netip.AddrPort `json:"front_address"`
	// RetryRatio is the highest ratio of retries to calls in any RetryWindow,
	// over all entry hosts, from 0 to 1.
	RetryRatio float64 `json:"retry_ratio"`
	// RetryWindow is the length of the time window of the retry budget.
	RetryWindow strict.Duration `json:"retry_window"`
	// RetrySlack is the number of retries allowed in a window in addition to
	// RetryRatio.
	RetrySlack int `json:"retry_slack"`
	// ProbeInterval is the time between two probes of a target; 0 disables
	// probes.
	ProbeInterval strict.Duration `json:"probe_interval"`
	// LinkMbps is the bandwidth of this host's network link in Mbit/s. It is
	// used to estimate how long decisions queue behind the request bodies that
	// callers upload; 0 means that uploads cause no such delay, as they cannot
	// saturate the link.
	LinkMbps float64 `json:"link_mbps"`
	// KeyLease is how long after its withdrawal a key may still be accepted
	// anywhere; 0 means that hosts accept keys as long as they know no newer plan.
	KeyLease strict.Duration `json:"key_lease"`
	// QuotaWindow is the window of the quotas of client accounts. In each, an
	// account may exceed its rate and burst by the ratio QuotaOvershoot and by
	// QuotaSlack calls.
	QuotaWindow    strict.Duration `json:"quota_window"`
	QuotaOvershoot float64         `json:"quota_overshoot"`
	QuotaSlack     int             `json:"quota_slack"`
	// WarmOvershoot and WarmSlack bound the requests that a cold target gets in any
	// second: its warm rate times WarmOvershoot plus WarmSlack.
	WarmOvershoot float64 `json:"warm_overshoot"`
	WarmSlack     float64 `json:"warm_slack"`
	// ExtraAttempts is the largest share of the calls of a service, from 0 to 1, that
	// may get a second attempt while the first one runs.
	ExtraAttempts float64 `json:"extra_attempts"`
}

// AdapterPlatform is the value of Fleet.Adapter for the adapter in package platform.
const AdapterPlatform = "platform"

// Bounds of the settings of a fleet.
const (
	MaxSeeds         = 64
	MaxRetryWindow   = time.Minute
	MaxRetrySlack    = 100_000
	MaxProbeInterval = time.Minute
	MinKeyLease      = time.Second
	MaxKeyLease      = time.Hour
	MinQuotaWindow   = 100 * time.Millisecond
	MaxQuotaWindow   = time.Minute
	MaxQuotaSlack    = 100_000
	MaxOvershoot     = 100
	MaxWarmSlack     = 100_000
)

// Enabled reports whether the host discovers the other hosts from seeds.
func (s *Fleet) Enabled() bool {
	return s.Adapter != ""
}

// validate adds the faults of the settings to f.
func (s *Fleet) validate(f *strict.Faults) {
	if !s.Enabled() {
		return
	}
	if s.Adapter != AdapterPlatform {
		f.Add("fleet.adapter", "is %q, must be empty or %q", s.Adapter, AdapterPlatform)
	}
	f.CheckRange("fleet.seeds (number of entries)", len(s.Seeds), 1, MaxSeeds)
	for _, seed := range s.Seeds {
		checkAddress(f, "fleet.seeds", seed)
	}
	checkAddress(f, "fleet.front_address", s.FrontAddress)
	if s.RetryRatio < 0 || s.RetryRatio > 1 {
		f.Add("fleet.retry_ratio", "is %v, must be from 0 to 1", s.RetryRatio)
	}
	f.CheckOptionalDuration("fleet.retry_window", s.RetryWindow, spec.MinRetryWindow, MaxRetryWindow)
	f.CheckRange("fleet.retry_slack", s.RetrySlack, 0, MaxRetrySlack)
	f.CheckDurationRange("fleet.probe_interval", s.ProbeInterval, 0, MaxProbeInterval)
	f.CheckOptionalDuration("fleet.key_lease", s.KeyLease, MinKeyLease, MaxKeyLease)
	f.CheckOptionalDuration("fleet.quota_window", s.QuotaWindow, MinQuotaWindow, MaxQuotaWindow)
	checkRatio(f, "fleet.quota_overshoot", s.QuotaOvershoot, MaxOvershoot)
	f.CheckRange("fleet.quota_slack", s.QuotaSlack, 0, MaxQuotaSlack)
	checkRatio(f, "fleet.warm_overshoot", s.WarmOvershoot, MaxOvershoot)
	checkRatio(f, "fleet.warm_slack", s.WarmSlack, MaxWarmSlack)
	checkRatio(f, "fleet.extra_attempts", s.ExtraAttempts, 1)
	if s.LinkMbps < 0 {
		f.Add("fleet.link_mbps", "is %v, must not be negative", s.LinkMbps)
	}
}

// checkRatio adds a fault at path unless v is from 0 to high.
func checkRatio(f *strict.Faults, path string, v, high float64) {
	if !(v >= 0 && v <= high) {
		f.Add(path, "is %v, must be from 0 to %v", v, high)
	}
}
