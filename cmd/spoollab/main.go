package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"cardamomspool/io/load"
	"cardamomspool/io/stub"
)

// crashStatus is the exit status of a target that a call has crashed.
const crashStatus = 3

type (
	// command is a subcommand and the function that runs it.
	command struct {
		parser *flaggy.Subcommand
		run    func(ctx context.Context) error
	}

	// targetOptions are the flags of the target subcommand.
	targetOptions struct {
		service  string
		name     string
		address  string
		announce string
		slots    int
		queue    int
		mean     time.Duration // Of the service time.
		seed     int
		// crashPath is the path whose calls crash the target; empty for none.
		crashPath string

		behaviour stub.Behaviour
		report    string
	}

	// loadOptions are the flags of the load subcommand.
	loadOptions struct {
		urls   string
		host   string
		method string
		calls  int
		rate   float64 // Calls per second.
	}
)

const (
	exitFailed = 1
	exitUsage  = 2
	version    = "0.1.0"
)

func main() {
	flaggy.SetName("spoollab")
	flaggy.SetDescription("stub targets, load generators and experiments for cardamomspool")
	flaggy.SetVersion(version)
	commands := []*command{
		targetCommand(),
		loadCommand(),
		experimentCommand(),
		slopesCommand(),
		soakCommand(),
		soakTargetCommand(),
		upgradeCommand(),
		controlCommand(),
		churnCommand(),
		forceCommand(),
		leavingCommand(),
	}
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if !c.parser.Used {
			continue
		}
		if err := c.run(ctx); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitFailed)
		}
		return
	}
	fmt.Fprintln(os.Stderr, "no subcommand was given; see --help")
	os.Exit(exitUsage)
}

func targetCommand() *command {
	o := &targetOptions{service: "bookings", name: "target-1", slots: 3, queue: 1, mean: 4 * time.Millisecond, seed: 1, report: "true"}
	sub := flaggy.NewSubcommand("target")
	sub.Description = "run a stub target until interrupted"
	sub.String(&o.service, "v", "service", "name of the service")
	sub.String(&o.name, "n", "name", "name of the target")
	sub.String(&o.address, "a", "address", "IP address and port to listen on")
	sub.String(&o.announce, "e", "announce", "announce address of an entry host")
	sub.Int(&o.slots, "s", "slots", "number of calls run concurrently")
	sub.Int(&o.queue, "q", "queue", "number of calls queued beyond the slots; further calls are shed")
	sub.Duration(&o.mean, "m", "mean", "mean of the exponential service time")
	sub.Int(&o.seed, "d", "seed", "seed of the service times")
	b := &o.behaviour
	sub.Float64(&b.NeighbourFactor, "", "neighbour-factor", "service time factor during a noisy-neighbour period")
	sub.Duration(&b.NeighbourDuration, "", "neighbour-span", "length of a noisy-neighbour period")
	sub.Duration(&b.NeighbourInterval, "", "neighbour-every", "mean time between two noisy-neighbour periods")
	sub.Float64(&b.SlowFactor, "", "slower", "factor of all service times")
	sub.Bool(&b.FailFast, "", "fail-fast", "answer every call immediately with an error")
	sub.Float64(&b.Limit, "", "limit", "limit named on every answer, in calls a second over all hosts; 0 names none")
	sub.Float64(&b.ShedShare, "", "shed", "share of calls turned away, from 0 to 1")
	sub.Duration(&b.Rest, "", "rest", "rest that hosts are asked for when a call is turned away; 0 asks for none")
	sub.String(&o.crashPath, "", "crash", "path whose calls crash the target, which ends with exit status 3; empty for none")
	sub.Float64(&b.ColdFactor, "", "cold-factor", "service time factor while the target is cold")
	sub.Duration(&b.ColdDuration, "", "cold-span", "how long the target is cold after its start")
	sub.String(&o.report, "", "report", "kind of load reports: "+strings.Join(stub.ReportModeNames, ", "))
	sub.Duration(&b.ReportLag, "", "report-lag", "age of late load reports")
	flaggy.AttachSubcommand(sub, 1)
	return &command{parser: sub, run: func(ctx context.Context) error { return runTarget(ctx, o) }}
}

func loadCommand() *command {
	o := &loadOptions{method: "POST", calls: 1000, rate: 500}
	sub := flaggy.NewSubcommand("load")
	sub.Description = "send calls at a constant rate and print a JSON summary"
	sub.String(&o.urls, "u", "urls", "addresses to call in turn, separated by commas")
	sub.String(&o.host, "o", "host", "Host header of the calls")
	sub.String(&o.method, "m", "method", "HTTP method")
	sub.Int(&o.calls, "n", "calls", "number of calls")
	sub.Float64(&o.rate, "r", "rate", "calls sent per second")
	flaggy.AttachSubcommand(sub, 1)
	return &command{parser: sub, run: func(ctx context.Context) error { return runLoad(ctx, o) }}
}

// runTarget runs a stub target until ctx ends.
func runTarget(ctx context.Context, o *targetOptions) error {
	var (
		address, announce netip.AddrPort
		err               error
	)
	if address, err = netip.ParseAddrPort(o.address); err != nil {
		return errors.Wrap(err, "--address")
	}
	if announce, err = netip.ParseAddrPort(o.announce); err != nil {
		return errors.Wrap(err, "--announce")
	}
	var ok bool
	if o.behaviour.Report, ok = stub.ParseReportMode(o.report); !ok {
		return errors.Errorf("--report is %q, must be one of %s", o.report, strings.Join(stub.ReportModeNames, ", "))
	}
	opts := []stub.Option{
		stub.WithSlots(o.slots, o.queue), stub.WithServiceTime(o.mean), stub.WithSeed(uint64(o.seed)), stub.WithBehaviour(o.behaviour),
	}
	if o.crashPath != "" {
		opts = append(opts, stub.WithCrash(o.crashPath, func() {
			fmt.Fprintf(os.Stderr, "target %s crashes under a call of %s\n", o.name, o.crashPath)
			os.Exit(crashStatus)
		}))
	}
	return stub.New(o.service, o.name, address, announce, opts...).Run(ctx)
}

// runLoad sends the calls and prints the summary as a line of JSON.
func runLoad(ctx context.Context, o *loadOptions) error {
	if o.urls == "" {
		return errors.New("--urls must name at least one address")
	}
	l := load.New(strings.Split(o.urls, ","), o.calls, load.WithRate(o.rate), load.WithMethod(o.method),
		load.WithHost(o.host), load.WithProgress(func(done, calls int) {
			fmt.Fprintf(os.Stderr, "%d of %d calls finished\n", done, calls)
		}))
	var (
		line []byte
		err  error
	)
	if line, err = json.Marshal(l.Run(ctx)); err != nil {
		return errors.Wrap(err, "load")
	}
	fmt.Println(string(line))
	return nil
}
