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

	"cardamomspool/io/storm"
)

type (
	// stormOptions are the flags of the storm subcommand.
	stormOptions struct {
		binary string
		folder string
		calls  int
		seed   int
		gentle bool
	}

	// stormTargetOptions are the flags of the storm-target subcommand.
	stormTargetOptions struct {
		name     string
		address  string
		announce string
		record   string
	}
)

func stormCommand() *command {
	o := &stormOptions{binary: "./cardamomspool", calls: 2000, seed: 1}
	sub := flaggy.NewSubcommand("storm")
	sub.Description = "kill, freeze, stop and restart real processes under load and check every call"
	sub.String(&o.binary, "b", "binary", "path of the cardamomspool binary")
	sub.String(&o.folder, "f", "folder", "folder for settings, logs and records; a temporary one by default")
	sub.Int(&o.calls, "n", "calls", "number of calls")
	sub.Int(&o.seed, "d", "seed", "seed of the calls and of what is done to the processes")
	sub.Bool(&o.gentle, "g", "gentle", "only graceful stops, after which no call may be cut off")
	flaggy.AttachSubcommand(sub, 1)
	return &command{parser: sub, run: func(ctx context.Context) error { return runStorm(ctx, o) }}
}

func stormTargetCommand() *command {
	o := &stormTargetOptions{}
	sub := flaggy.NewSubcommand("storm-target")
	sub.Description = "run a target of a storm"
	sub.String(&o.name, "n", "name", "name of the target")
	sub.String(&o.address, "a", "address", "IP number and port to listen on")
	sub.String(&o.announce, "e", "announce", "announce addresses of all entry hosts, separated by commas")
	sub.String(&o.record, "r", "record", "file that every call is written to")
	flaggy.AttachSubcommand(sub, 1)
	return &command{parser: sub, run: func(ctx context.Context) error { return runStormTarget(ctx, o) }}
}

func runStorm(ctx context.Context, o *stormOptions) error {
	var (
		self   string
		report storm.Report
		err    error
	)
	if self, err = os.Executable(); err != nil {
		return errors.Wrap(err, "storm")
	}
	if o.folder == "" {
		if o.folder, err = os.MkdirTemp("", "cardamomspool-storm-"); err != nil {
			return errors.Wrap(err, "storm")
		}
	}
	opts := []storm.Option{storm.WithSeed(uint64(o.seed)), storm.WithCalls(o.calls)}
	if o.gentle {
		opts = append(opts, storm.WithGentle())
	}
	report, err = storm.New(o.binary, []string{self, "storm-target"}, o.folder, opts...).Run(ctx)
	if line, failed := json.Marshal(report); failed == nil {
		fmt.Println(string(line))
	}
	return err
}

func runStormTarget(ctx context.Context, o *stormTargetOptions) error {
	var (
		address  netip.AddrPort
		announce []netip.AddrPort
		target   *storm.Target
		err      error
	)
	if address, err = netip.ParseAddrPort(o.address); err != nil {
		return errors.Wrap(err, "--address")
	}
	for text := range strings.SplitSeq(o.announce, ",") {
		var to netip.AddrPort
		if to, err = netip.ParseAddrPort(text); err != nil {
			return errors.Wrap(err, "--announce")
		}
		announce = append(announce, to)
	}
	if target, err = storm.NewTarget(o.name, address, announce, o.record); err != nil {
		return err
	}
	return target.Run(ctx)
}
