package entry

import (
	"cardamomspool/core/engine"
	"cardamomspool/core/plan"
	"cardamomspool/core/route"
)

// coldLimit returns the limit for this host's own decisions for calls to cold targets of a
// service.
func (f *fleet) coldLimit(v *plan.Service) route.ColdLimit {
	cfg := &f.host.cfg.Fleet
	return route.NewAloneColdLimit(v.WarmRate, cfg.WarmOvershoot, cfg.WarmSlack, f.hosts.Get(), f.coldLimits.Seed())
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
		if l := f.coldLimit(v); f.coldLimits.Put(v.Name, l) {
			f.host.system.Root.Send(s.pid, engine.SetColdLimit{Limit: l})
		}
	}
}

// countEntryHosts adapts the limits for calls to cold and to full targets to a number of entry hosts.
func (f *fleet) countEntryHosts(n int) {
	f.adaptColdLimits(f.hosts.SetListed(n))
}

// tellEntryHosts is countEntryHosts for the number that control hosts tell, which they do
// only when the plan has accounts.
func (f *fleet) tellEntryHosts(n int) {
	f.adaptColdLimits(f.hosts.SetTold(n))
}

// adaptColdLimits adapts the limits if the number of entry hosts has changed.
func (f *fleet) adaptColdLimits(changed bool) {
	if !changed {
		return
	}
	if active := f.active.Load(); active != nil {
		f.limitCold(active.plan)
		f.shareSlots()
	}
}
