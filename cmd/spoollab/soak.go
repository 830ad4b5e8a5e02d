package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"cardamomspool/io/soak"
)

type (
	// soakOptions are the flags of the soak subcommand.
	soakOptions struct {
		binary   string
		folder   string
		calls    int
		seed     int
		gentle   bool
		controls int
		entries  int
		targets  int
		timeline bool
		shrink   bool
		fleet    bool
	}

	// soakTargetOptions are the flags of the soak-target subcommand.
	soakTargetOptions struct {
		name     string
		address  string
		public   string
		announce string
		record   string
		limit    float64
		reset    bool
	}
)

func soakCommand() *command {
	o := &soakOptions{binary: "./cardamomspool", calls: 2000, seed: 1, controls: 3, entries: 3, targets: 6}
	sub := flaggy.NewSubcommand("soak")
	sub.Description = "kill, freeze, stop and restart real processes under load and check every call"
	sub.String(&o.binary, "b", "binary", "path of the cardamomspool binary")
	sub.String(&o.folder, "f", "folder", "folder for settings, logs and records; a temporary one by default")
	sub.Int(&o.calls, "n", "calls", "number of calls")
	sub.Int(&o.seed, "d", "seed", "seed of the calls and of the injected faults")
	sub.Bool(&o.gentle, "g", "gentle", "inject only faults that must not cut off calls: graceful stops, and any fault between hosts of the system")
	sub.Int(&o.controls, "k", "controls", "number of control hosts")
	sub.Int(&o.entries, "e", "entries", "number of entry hosts")
	sub.Int(&o.targets, "t", "targets", "number of targets")
	sub.Bool(&o.timeline, "l", "timeline", "print the injected faults and the findings before the report")
	sub.Bool(&o.shrink, "r", "shrink", "after a failure, search for a smaller set of faults that fails too")
	sub.Bool(&o.fleet, "", "fleet", "run a fleet of a fixed size with client accounts, quotas, evacuations and cold targets")
	flaggy.AttachSubcommand(sub, 1)
	return &command{parser: sub, run: func(ctx context.Context) error { return runSoak(ctx, o) }}
}

// makeFolder makes a folder, a temporary one if it has no name, and returns its path.
func makeFolder(name string) (string, error) {
	if name == "" {
		name, err := os.MkdirTemp("", "cardamomspool-soak-")
		return name, errors.Wrap(err, "soak: folder")
	}
	return name, errors.Wrap(os.MkdirAll(name, 0o700), "soak: folder")
}

// printReport prints a report, after its timeline if asked to.
func printReport(report soak.Report, timeline bool) {
	if timeline {
		for _, line := range report.Timeline {
			fmt.Println(line)
		}
	}
	if line, err := json.Marshal(report); err == nil {
		fmt.Println(string(line))
	}
}

func soakTargetCommand() *command {
	o := &soakTargetOptions{}
	sub := flaggy.NewSubcommand("soak-target")
	sub.Description = "run a target of a soak test"
	sub.String(&o.name, "n", "name", "name of the target")
	sub.String(&o.address, "a", "address", "IP address and port to listen on")
	sub.String(&o.public, "p", "public", "IP address and port at which entry hosts reach the target")
	sub.String(&o.announce, "e", "announce", "announce addresses of all entry hosts, separated by commas")
	sub.String(&o.record, "r", "record", "file to record every call in")
	sub.Float64(&o.limit, "l", "limit", "limit that the target names, in calls a second; 0 names none")
	sub.Bool(&o.reset, "", "reset", "reset the connections of calls beyond the slots")
	flaggy.AttachSubcommand(sub, 1)
	return &command{parser: sub, run: func(ctx context.Context) error { return runSoakTarget(ctx, o) }}
}

// runSoak runs a soak test, searches for a smaller set of faults after a failure if
// asked to, and prints the report. It returns the error of the first run.
func runSoak(ctx context.Context, o *soakOptions) error {
	var (
		self   string
		report soak.Report
		err    error
	)
	if self, err = os.Executable(); err != nil {
		return errors.Wrap(err, "soak: path of this binary")
	}
	if o.folder, err = makeFolder(o.folder); err != nil {
		return err
	}
	opts := []soak.Option{
		soak.WithSeed(uint64(o.seed)), soak.WithCalls(o.calls), soak.WithProgress(os.Stderr),
	}
	if !o.fleet {
		opts = append(opts, soak.WithSize(o.controls, o.entries, o.targets))
	}
	if o.gentle {
		opts = append(opts, soak.WithGentle())
	}
	run := func(ctx context.Context, folder string, opts ...soak.Option) (soak.Report, error) {
		if o.fleet {
			return soak.NewFleet(o.binary, folder, opts...).Run(ctx)
		}
		return soak.New(o.binary, []string{self, "soak-target"}, folder, opts...).Run(ctx)
	}
	report, err = run(ctx, o.folder, opts...)
	if errors.Is(err, soak.ErrFaults) && o.shrink {
		report = soak.Shrink(ctx, report, func(ctx context.Context, events []soak.Event) (soak.Report, error) {
			folder, mkdirErr := os.MkdirTemp(o.folder, "shrink-")
			if mkdirErr != nil {
				return soak.Report{}, mkdirErr
			}
			return run(ctx, folder, append(opts, soak.WithEvents(events))...)
		})
	}
	printReport(report, o.timeline)
	return err
}

func runSoakTarget(ctx context.Context, o *soakTargetOptions) error {
	var (
		address  netip.AddrPort
		public   netip.AddrPort
		announce []netip.AddrPort
		target   *soak.Target
		err      error
	)
	if address, err = netip.ParseAddrPort(o.address); err != nil {
		return errors.Wrap(err, "--address")
	}
	if public, err = netip.ParseAddrPort(o.public); err != nil {
		return errors.Wrap(err, "--public")
	}
	for text := range strings.SplitSeq(o.announce, ",") {
		var to netip.AddrPort
		if to, err = netip.ParseAddrPort(text); err != nil {
			return errors.Wrap(err, "--announce")
		}
		announce = append(announce, to)
	}
	if target, err = soak.NewTarget(o.name, address, public, announce, o.record, o.limit, o.reset); err != nil {
		return err
	}
	return target.Run(ctx)
}
