package layout

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"time"

	"cardamomspool/core/strict"
	"cardamomspool/io/ports"
	"cardamomspool/io/setup"
)

type (
	// Plan holds the settings of the hosts of a system and the addresses of its
	// targets.
	Plan struct {
		// Controls are the settings of the control hosts, which are called
		// control-1, control-2 and so on.
		Controls []setup.Control
		// Entries are the settings of the entry hosts, which are called entry-1,
		// entry-2 and so on.
		Entries []setup.Entry
		// Targets are free addresses for targets.
		Targets []netip.AddrPort
	}

	// Size holds the numbers of control hosts, entry hosts and targets.
	Size struct {
		Controls, Entries, Targets int
	}

	// Option changes a Plan before New returns it.
	Option func(*Plan)
)

const (
	dataCentre       = "local"
	tick             = 10 * time.Millisecond
	announceInterval = 500 * time.Millisecond
	stopGrace        = time.Second

	// A control host has a peer and an admin address. An entry host also has
	// addresses for calls and for announcements.
	portsPerControl = 2
	portsPerEntry   = 4
)

// WithControls calls change with the settings of every control host.
func WithControls(change func(*setup.Control)) Option {
	return func(p *Plan) {
		for i := range p.Controls {
			change(&p.Controls[i])
		}
	}
}

// WithEntries calls change with the settings of every entry host.
func WithEntries(change func(*setup.Entry)) Option {
	return func(p *Plan) {
		for i := range p.Entries {
			change(&p.Entries[i])
		}
	}
}

// WithLogLevel sets the log level of every host; the default is info.
func WithLogLevel(level string) Option {
	return func(p *Plan) {
		for i := range p.Controls {
			p.Controls[i].LogLevel = level
		}
		for i := range p.Entries {
			p.Entries[i].LogLevel = level
		}
	}
}

// New returns a plan of the given size. Each control host has a data folder in
// folder. It returns ports.ErrNone when too few ports are free.
func New(folder string, size Size, opts ...Option) (Plan, error) {
	var (
		p    Plan
		free []netip.AddrPort
		err  error
	)
	if free, err = ports.Free(portsPerControl*size.Controls + portsPerEntry*size.Entries + size.Targets); err != nil {
		return p, err
	}
	next := func() netip.AddrPort {
		a := free[0]
		free = free[1:]
		return a
	}
	controls, entries := peers("control", size.Controls, next), peers("entry", size.Entries, next)
	for _, host := range controls {
		p.Controls = append(p.Controls, setup.Control{
			Common:     common(host, next(), controls),
			DataFolder: filepath.Join(folder, host.Host), StopGrace: strict.Duration(stopGrace),
		})
	}
	for _, host := range entries {
		p.Entries = append(p.Entries, setup.Entry{
			Common: common(host, next(), controls), CallAddress: next(), AnnounceAddress: next(), Entries: entries,
			Tick: strict.Duration(tick), AnnounceInterval: strict.Duration(announceInterval),
			DecisionLogOneIn: 1, StopGrace: strict.Duration(stopGrace),
		})
	}
	p.Targets = free
	for _, opt := range opts {
		opt(&p)
	}
	return p, nil
}

// peers returns n hosts called kind-1, kind-2 and so on. It calls next for the peer
// address of each.
func peers(kind string, n int, next func() netip.AddrPort) []setup.Peer {
	list := make([]setup.Peer, n)
	for i := range list {
		list[i] = setup.Peer{Host: fmt.Sprintf("%s-%d", kind, i+1), DataCentre: dataCentre, PeerAddress: next()}
	}
	return list
}

// common returns the settings that control and entry hosts share.
func common(p setup.Peer, admin netip.AddrPort, controls []setup.Peer) setup.Common {
	return setup.Common{
		Host: p.Host, DataCentre: p.DataCentre, LogLevel: "info",
		AdminAddress: admin, PeerAddress: p.PeerAddress, Controls: controls,
	}
}
