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
	// serviceMap is an unchanging view of the services in force.
	serviceMap struct {
		list   []*service
		byName map[string]*service
	}

	// service is one service in force and the actor that owns its engine.
	service struct {
		doc      spec.Service
		revision uint64
		pid      *actor.PID
	}
)

// find returns the service that takes a call, the one with the longest
// matching path prefix first, or nil.
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
	return m.without(s.doc.Name).adding(s)
}

func (m *serviceMap) without(name string) *serviceMap {
	next := &serviceMap{byName: make(map[string]*service, len(m.byName)+1)}
	for _, s := range m.list {
		if s.doc.Name != name {
			next = next.adding(s)
		}
	}
	return next
}

func (m *serviceMap) adding(s *service) *serviceMap {
	m.list = append(m.list, s)
	slices.SortFunc(m.list, func(a, b *service) int { return cmp.Compare(a.doc.Name, b.doc.Name) })
	m.byName[s.doc.Name] = s
	return m
}

func (h *Host) spawn(doc spec.Service) *actor.PID {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	service := engine.NewService(doc, rng, engine.WithDataCentre(h.cfg.DataCentre))
	return broker.Spawn(h.system, doc.Name, service, h.cfg.Tick.Std(), h.metrics)
}

// retarget tells the actor of a service about its targets.
func (h *Host) retarget(name string, targets []member.Record) {
	if s, ok := h.services.Load().byName[name]; ok {
		h.system.Root.Send(s.pid, engine.Retarget{Records: targets})
	}
}

// withoutPort returns the host name of an authority.
func withoutPort(hostPort string) string {
	if name, _, err := net.SplitHostPort(hostPort); err == nil {
		return name
	}
	return hostPort
}
