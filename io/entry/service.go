package entry

import (
	"cmp"
	"math/rand/v2"
	"net"
	"slices"

	"github.com/asynkron/protoactor-go/actor"

	"cardamomspool/core/engine"
	"cardamomspool/core/member"
	"cardamomspool/core/spec"
	"cardamomspool/io/broker"
)

type (
	// serviceMap is an immutable snapshot of the services in force, sorted by
	// name.
	serviceMap struct {
		list   []*service
		byName map[string]*service
	}

	// service is one service in force and the actor that owns its engine.
	service struct {
		doc      spec.Service
		revision uint64 // Of the document, or the version of the plan in a fleet.
		pid      *actor.PID
	}
)

// find returns the service for a call with the given authority and path: the one
// with the longest matching path prefix, or nil.
func (m *serviceMap) find(hostPort, path string) *service {
	host := withoutPort(hostPort)
	var best *service
	longest := -1
	for _, s := range m.list {
		if n, ok := s.doc.Receive.Matches(host, path); ok && n > longest {
			best, longest = s, n
		}
	}
	return best
}

// with returns a copy of m in which s is added or replaced.
func (m *serviceMap) with(s *service) *serviceMap {
	return m.without(s.doc.Name).insert(s)
}

// without returns a copy of m without the named service.
func (m *serviceMap) without(name string) *serviceMap {
	next := &serviceMap{byName: make(map[string]*service, len(m.byName)+1)}
	for _, s := range m.list {
		if s.doc.Name != name {
			next = next.insert(s)
		}
	}
	return next
}

// insert adds s to m itself, which must not be shared yet, and returns m.
func (m *serviceMap) insert(s *service) *serviceMap {
	m.list = append(m.list, s)
	slices.SortFunc(m.list, func(a, b *service) int { return cmp.Compare(a.doc.Name, b.doc.Name) })
	m.byName[s.doc.Name] = s
	return m
}

// spawnEngine starts the actor that owns the engine of a service.
func (h *Host) spawnEngine(doc spec.Service) *actor.PID {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	scheduler := engine.NewScheduler(doc, rng, engine.WithDataCentre(h.cfg.DataCentre), engine.WithLimitShare(h.localLimitShare()), engine.WithSlotShare(h.localSlotShare()))
	return broker.Spawn(h.system, doc.Name, scheduler, h.cfg.Tick.Std(), h.metrics, h.log)
}

// setTargets passes the targets of a service to the service's actor, if the service is
// in force.
func (h *Host) setTargets(name string, targets []member.Record) {
	if s, ok := h.services.Load().byName[name]; ok {
		h.system.Root.Send(s.pid, engine.SetTargets{Records: targets})
	}
}

// withoutPort returns an authority without its port.
func withoutPort(hostPort string) string {
	if name, _, err := net.SplitHostPort(hostPort); err == nil {
		return name
	}
	return hostPort
}
