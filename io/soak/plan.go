package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/strict"
	"cardamomspool/io/setup"
)

const (
	tick             = 10 * time.Millisecond
	announceInterval = 500 * time.Millisecond
)

// plan chooses addresses and writes the settings of all processes.
func (s *Soak) plan() error {
	var (
		controls, entries []setup.Peer
		announce          []netip.AddrPort
		err               error
	)
	if controls, err = peers(KindControl, s.controlCount); err != nil {
		return err
	}
	if entries, err = peers(KindEntry, s.entryCount); err != nil {
		return err
	}
	for _, p := range controls {
		if err = s.planControl(p, controls); err != nil {
			return err
		}
	}
	for _, p := range entries {
		var address netip.AddrPort
		if address, err = s.planEntry(p, controls, entries); err != nil {
			return err
		}
		announce = append(announce, address)
	}
	for i := range s.targetCount {
		if err = s.planTarget(fmt.Sprintf("target-%d", i+1), announce); err != nil {
			return err
		}
	}
	return nil
}

// through returns peers as the host called from is to see them: each behind a
// relay, itself as it is.
func (s *Soak) through(from string, peers []setup.Peer) ([]setup.Peer, error) {
	var list []setup.Peer
	for _, p := range peers {
		if p.Host != from {
			r, err := s.relay(from+">"+p.Host, p.PeerAddress)
			if err != nil {
				return nil, err
			}
			p.PeerAddress = r.address()
		}
		list = append(list, p)
	}
	return list, nil
}

// relay adds a relay.
func (s *Soak) relay(name string, to netip.AddrPort) (*relay, error) {
	r, err := newRelay(name, to)
	if err != nil {
		return nil, err
	}
	s.relays = append(s.relays, r)
	return r, nil
}

func peers(kind Kind, n int) ([]setup.Peer, error) {
	var list []setup.Peer
	for i := range n {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		list = append(list, setup.Peer{Host: fmt.Sprintf("%s-%d", kind, i+1), DataCentre: "lab", PeerAddress: address})
	}
	return list, nil
}

func (s *Soak) planControl(p setup.Peer, controls []setup.Peer) error {
	admin, err := freeAddress()
	if err != nil {
		return err
	}
	if controls, err = s.through(p.Host, controls); err != nil {
		return err
	}
	cfg := setup.Control{
		Common: common(p, admin, controls), DataFolder: filepath.Join(s.folder, p.Host),
		StopGrace: strict.Duration(stopGrace),
	}
	process, err := s.add(KindControl, p.Host, cfg)
	if err != nil {
		return err
	}
	s.controls = append(s.controls, process)
	s.adminAddress[process] = admin
	return nil
}

// planEntry returns where the entry host takes announcements.
func (s *Soak) planEntry(p setup.Peer, controls, entries []setup.Peer) (netip.AddrPort, error) {
	var list [3]netip.AddrPort
	for i := range list {
		var err error
		if list[i], err = freeAddress(); err != nil {
			return netip.AddrPort{}, err
		}
	}
	var err error
	if controls, err = s.through(p.Host, controls); err != nil {
		return netip.AddrPort{}, err
	}
	if entries, err = s.through(p.Host, entries); err != nil {
		return netip.AddrPort{}, err
	}
	cfg := setup.Entry{
		Common: common(p, list[0], controls), CallAddress: list[1], AnnounceAddress: list[2], Entries: entries,
		Tick: strict.Duration(tick), AnnounceInterval: strict.Duration(announceInterval), DecisionLogOneIn: 1,
		DrainDelay: strict.Duration(entryDrain), StopGrace: strict.Duration(stopGrace),
	}
	process, err := s.add(KindEntry, p.Host, cfg)
	if err != nil {
		return netip.AddrPort{}, err
	}
	s.entries = append(s.entries, process)
	s.adminAddress[process], s.callAddress[process] = list[0], list[1]
	return list[2], nil
}

func common(p setup.Peer, admin netip.AddrPort, controls []setup.Peer) setup.Common {
	return setup.Common{
		Host: p.Host, DataCentre: p.DataCentre, LogLevel: "info",
		AdminAddress: admin, PeerAddress: p.PeerAddress, Controls: controls,
	}
}

// add writes the settings of a process and returns it.
func (s *Soak) add(kind Kind, name string, cfg any) (*process, error) {
	file := filepath.Join(s.folder, name+".json")
	var (
		data []byte
		err  error
	)
	if data, err = json.Marshal(cfg); err != nil {
		return nil, errors.Wrap(err, "soak: settings")
	}
	if err = os.WriteFile(file, data, 0o600); err != nil {
		return nil, errors.Wrap(err, "soak: settings")
	}
	return s.newProcess(kind, name, []string{s.system, string(kind), "--settings", file})
}

func (s *Soak) newProcess(kind Kind, name string, args []string) (*process, error) {
	log, err := os.Create(filepath.Join(s.folder, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "soak: log")
	}
	return &process{kind: kind, name: name, args: args, log: log}, nil
}

func (s *Soak) planTarget(name string, announce []netip.AddrPort) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	var (
		to    []string
		calls *relay
	)
	for i, a := range announce {
		var r *relay
		if r, err = s.relay(fmt.Sprintf("%s>entry-%d", name, i+1), a); err != nil {
			return err
		}
		to = append(to, r.address().String())
	}
	if calls, err = s.relay("calls>"+name, address); err != nil {
		return err
	}
	s.callRelays = append(s.callRelays, calls)
	args := append(append([]string(nil), s.lab...), "--name", name, "--address", address.String(), "--public", calls.address().String(),
		"--announce", strings.Join(to, ","), "--record", s.recordFile(name))
	process, err := s.newProcess(KindTarget, name, args)
	if err != nil {
		return err
	}
	s.targets = append(s.targets, process)
	s.records = append(s.records, s.recordFile(name))
	return nil
}

// addresses counts the addresses handed out by freeAddress.
var addresses int

// freeAddress returns a loopback address that was free a moment ago. Each has
// its own IP number, so that no other connection takes its port.
func freeAddress() (netip.AddrPort, error) {
	addresses++
	ip := netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%60), byte(addresses >> 8), byte(addresses)})
	l, err := net.Listen("tcp", netip.AddrPortFrom(ip, 0).String())
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "soak: free address")
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}
