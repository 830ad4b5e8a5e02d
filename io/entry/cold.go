package entry

import (
	"math/rand/v2"
	"sync/atomic"

	"cardamomspool/core/engine"
	"cardamomspool/core/plan"
	"cardamomspool/core/route"
)

// Estimates of the number of entry hosts: a control host lists at most maxListedHosts others
// (see feed.Server.Entries), so that there may be assumedHosts when it lists as many, and
// before it has listed any.
const (
	maxListedHosts = 60
	assumedHosts   = 150
)

// newColdSeed returns the seed by which this host differs from others in the cold targets that
// it may use while it decides alone.
func newColdSeed() uint64 {
	return rand.Uint64()
}

// coldLimit returns the limit for this host's own decisions for calls to cold targets of a
// service.
func (f *fleet) coldLimit(v *plan.Service) route.ColdLimit {
	cfg := &f.host.cfg.Fleet
	return route.NewAloneColdLimit(v.WarmRate, cfg.WarmOvershoot, cfg.WarmSlack, f.hostCount(), f.coldSeed)
}

// hostCount returns the number of entry hosts as far as known here.
func (f *fleet) hostCount() int {
	hosts := int(f.entryHosts.Load())
	if told := int(f.toldHosts.Load()); told > 0 {
		hosts = told
	} else if hosts == 0 || hosts > maxListedHosts {
		hosts = assumedHosts
	}
	return hosts
}

// limitCold puts the limits for calls to cold targets in force at the engines of the services
// of a plan.
func (f *fleet) limitCold(p *plan.Plan) {
	services := f.host.services.Load()
	for i := range p.Services {
		v := &p.Services[i]
		s := services.byName[v.Name]
		if s == nil {
			continue
		}
		l := f.coldLimit(v)
		if former, known := f.coldLimits.Swap(v.Name, l); known && former == l || !known && l == (route.ColdLimit{}) {
			continue
		}
		f.host.system.Root.Send(s.pid, engine.SetColdLimit{Limit: l})
	}
}

// countEntryHosts adapts the limits for calls to cold and to full targets to a number of entry hosts.
func (f *fleet) countEntryHosts(n int) {
	f.adaptColdLimits(&f.entryHosts, n)
}

// tellEntryHosts is countEntryHosts for the number that control hosts tell, which they do
// only when the plan has accounts.
func (f *fleet) tellEntryHosts(n int) {
	f.adaptColdLimits(&f.toldHosts, n)
}

// adaptColdLimits stores a number of entry hosts, and adapts the limits if it has changed.
func (f *fleet) adaptColdLimits(count *atomic.Int64, n int) {
	if count.Swap(int64(n)) == int64(n) {
		return
	}
	if active := f.active.Load(); active != nil {
		f.limitCold(active.plan)
		f.shareSlots()
	}
}
