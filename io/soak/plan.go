package soak

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/core/strict"
	"cardamomspool/internal/free"
	"cardamomspool/io/relay"
	"cardamomspool/io/setup"
)

const (
	tick             = 10 * time.Millisecond
	announceInterval = 500 * time.Millisecond
)

// prepare chooses addresses, creates the relays and writes the settings of all
// processes.
func (s *Soak) prepare() error {
	var (
		controls, entries []setup.Peer
		announce          []netip.AddrPort
		err               error
	)
	if controls, err = newPeers(KindControl, s.controlCount); err != nil {
		return err
	}
	if entries, err = newPeers(KindEntry, s.entryCount); err != nil {
		return err
	}
	for _, p := range controls {
		if err = s.addControl(p, controls); err != nil {
			return err
		}
	}
	for _, p := range entries {
		var address netip.AddrPort
		if address, err = s.addEntry(p, controls, entries); err != nil {
			return err
		}
		announce = append(announce, address)
	}
	for i := range s.targetCount {
		if err = s.addTarget(fmt.Sprintf("target-%d", i+1), announce); err != nil {
			return err
		}
	}
	return nil
}

// behindRelays returns the peers as the host called from reaches them: in the copy, the
// address of every other host is replaced by that of a new relay to that host.
func (s *Soak) behindRelays(from string, peers []setup.Peer) ([]setup.Peer, error) {
	var list []setup.Peer
	for _, p := range peers {
		if p.Host != from {
			r, err := s.addRelay(from+">"+p.Host, p.PeerAddress)
			if err != nil {
				return nil, err
			}
			p.PeerAddress = r.Address()
		}
		list = append(list, p)
	}
	return list, nil
}

// addRelay creates a relay called name that forwards connections to the address to.
func (s *Soak) addRelay(name string, to netip.AddrPort) (*disturbedRelay, error) {
	forwarding, err := relay.New(to)
	if err != nil {
		return nil, err
	}
	r := &disturbedRelay{Relay: forwarding, name: name}
	s.relays = append(s.relays, r)
	return r, nil
}

// newPeers returns n hosts of a kind, each with a free peer address.
func newPeers(kind Kind, n int) ([]setup.Peer, error) {
	var list []setup.Peer
	for i := range n {
		address, err := free.Address()
		if err != nil {
			return nil, err
		}
		list = append(list, setup.Peer{Host: fmt.Sprintf("%s-%d", kind, i+1), DataCentre: "lab", PeerAddress: address})
	}
	return list, nil
}

// addControl adds a control host, which reaches the others through relays.
func (s *Soak) addControl(p setup.Peer, controls []setup.Peer) error {
	admin, err := free.Address()
	if err != nil {
		return err
	}
	if controls, err = s.behindRelays(p.Host, controls); err != nil {
		return err
	}
	cfg := setup.Control{
		Common: commonSettings(p, admin, controls), DataFolder: filepath.Join(s.folder, p.Host),
		StopGrace: strict.Duration(stopGrace),
	}
	process, err := s.addHost(KindControl, p.Host, cfg)
	if err != nil {
		return err
	}
	s.controls = append(s.controls, process)
	s.adminAddress[process] = admin
	return nil
}

// addEntry adds an entry host, which reaches other hosts through relays, and returns its
// announce address.
func (s *Soak) addEntry(p setup.Peer, controls, entries []setup.Peer) (netip.AddrPort, error) {
	var list [3]netip.AddrPort // The admin, call and announce addresses.
	for i := range list {
		var err error
		if list[i], err = free.Address(); err != nil {
			return netip.AddrPort{}, err
		}
	}
	var err error
	if controls, err = s.behindRelays(p.Host, controls); err != nil {
		return netip.AddrPort{}, err
	}
	if entries, err = s.behindRelays(p.Host, entries); err != nil {
		return netip.AddrPort{}, err
	}
	cfg := setup.Entry{
		Common: commonSettings(p, list[0], controls), CallAddress: list[1], AnnounceAddress: list[2], Entries: entries,
		SourceAddress: p.PeerAddress.Addr(), Tick: strict.Duration(tick), AnnounceInterval: strict.Duration(announceInterval), DecisionLogOneIn: 1,
		DrainDelay: strict.Duration(entryDrainDelay), StopGrace: strict.Duration(stopGrace),
	}
	process, err := s.addHost(KindEntry, p.Host, cfg)
	if err != nil {
		return netip.AddrPort{}, err
	}
	process.source = p.PeerAddress.Addr()
	s.entries = append(s.entries, process)
	s.adminAddress[process], s.callAddress[process] = list[0], list[1]
	return list[2], nil
}

// commonSettings returns the settings that control and entry hosts share.
func commonSettings(p setup.Peer, admin netip.AddrPort, controls []setup.Peer) setup.Common {
	return setup.Common{
		Host: p.Host, DataCentre: p.DataCentre, LogLevel: "info",
		AdminAddress: admin, PeerAddress: p.PeerAddress, Controls: controls,
	}
}

// addHost writes the settings file of a host and returns its process, not yet
// started.
func (s *Soak) addHost(kind Kind, name string, cfg any) (*process, error) {
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
	return s.newProcess(kind, name, []string{s.program, string(kind), "--settings", file})
}

// newProcess returns a process, not yet started, that runs the command args and logs
// to a file in the run's folder.
func (s *Soak) newProcess(kind Kind, name string, args []string) (*process, error) {
	log, err := os.Create(filepath.Join(s.folder, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "soak: log")
	}
	return &process{kind: kind, name: name, args: args, log: log}, nil
}

// addTarget adds a target that announces itself at the addresses announce. Relays
// carry its announcements and the calls to it.
func (s *Soak) addTarget(name string, announce []netip.AddrPort) error {
	address, err := free.Address()
	if err != nil {
		return err
	}
	var (
		to    []string
		calls *disturbedRelay
	)
	for i, a := range announce {
		var r *disturbedRelay
		if r, err = s.addRelay(fmt.Sprintf("%s>entry-%d", name, i+1), a); err != nil {
			return err
		}
		to = append(to, r.Address().String())
	}
	if calls, err = s.addRelay("calls>"+name, address); err != nil {
		return err
	}
	s.callRelays = append(s.callRelays, calls)
	args := append(append([]string(nil), s.targetCommand...), "--name", name, "--address", address.String(), "--public", calls.Address().String(),
		"--announce", strings.Join(to, ","), "--record", s.recordFile(name))
	if len(s.targets) == s.resettingTarget() {
		args = append(args, "--reset")
	}
	if len(s.targets) == s.targetCount-1 {
		args = append(args, "--limit", strconv.FormatFloat(limitRate, 'f', -1, 64))
	}
	process, err := s.newProcess(KindTarget, name, args)
	if err != nil {
		return err
	}
	s.targets = append(s.targets, process)
	s.recordFiles = append(s.recordFiles, s.recordFile(name))
	return nil
}
