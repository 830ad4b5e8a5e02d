package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"cardamomspool/io/ctrl"
	"cardamomspool/io/entry"
	"cardamomspool/io/local"
	"cardamomspool/io/setup"
	"cardamomspool/io/telem"
	"cardamomspool/platform"
)

type (
	// options are the values of the command line.
	options struct {
		settings string
		check    bool
		calls    int
		rate     float64
		log      bool
		ctl      ctlOptions
	}

	// command is one subcommand with what it runs.
	command struct {
		parser *flaggy.Subcommand
		run    func(ctx context.Context, o *options) error
	}
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

const (
	version         = "0.1.0"
	defaultSettings = "settings.json"
	// logLines is the number of log lines that an entry host buffers.
	logLines = 4096
	// flushLimit is how long a process that stops waits for its last log lines to
	// be read: a fraction of the time that its host gives it to end.
	flushLimit = 500 * time.Millisecond
)

// errUsage reports a command line that can not be carried out.
var errUsage = errors.New("no subcommand was given; see --help")

func main() {
	var o options
	o.rate = 500
	chosen := parse(&o)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// A second interrupt ends the process at once. A second SIGTERM does not:
	// whoever sends it also sends SIGKILL when its patience is over.
	context.AfterFunc(ctx, func() { signal.Reset(syscall.SIGINT) })
	if chosen == nil {
		fmt.Fprintln(os.Stderr, errUsage)
		os.Exit(exitUsage)
	}
	if err := chosen.run(ctx, &o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func parse(o *options) *command {
	flaggy.SetName("cardamomspool")
	flaggy.SetDescription("a load balancer for targets whose load shifts in milliseconds")
	flaggy.SetVersion(version)
	commands := append([]*command{
		processCommand("entry", "run an entry host", o, runEntry),
		processCommand("control", "run a control host", o, runControl),
		localCommand(o),
		referenceCommand(),
	}, ctlCommands(&o.ctl)...)
	flaggy.Parse()
	for _, c := range commands {
		if c.parser.Used {
			return c
		}
	}
	return nil
}

func processCommand(name, description string, o *options, run func(context.Context, *options) error) *command {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	sub.String(&o.settings, "s", "settings", "path of the JSON settings file")
	sub.Bool(&o.check, "c", "check", "check the settings file and exit")
	flaggy.AttachSubcommand(sub, 1)
	return &command{parser: sub, run: run}
}

func localCommand(o *options) *command {
	sub := flaggy.NewSubcommand("local")
	sub.Description = "run a whole system on loopback with stand-in targets, until interrupted"
	sub.Int(&o.calls, "n", "calls", "send that many calls, print a summary and exit")
	sub.Float64(&o.rate, "r", "rate", "calls sent per second")
	sub.Bool(&o.log, "l", "log", "write the logs of all hosts to standard error")
	flaggy.AttachSubcommand(sub, 1)
	return &command{parser: sub, run: runLocal}
}

func runEntry(ctx context.Context, o *options) error {
	var (
		cfg setup.Entry
		err error
	)
	if cfg, err = setup.LoadEntry(settingsPath(o)); err != nil || o.check {
		return err
	}
	log, metrics, stop := logging(ctx, cfg.Common)
	defer stop()
	opts := []entry.Option{entry.WithLogger(log), entry.WithMetrics(metrics)}
	if cfg.Fleet.Enabled() {
		opts = append(opts, entry.WithDialect(platform.Dialect()), entry.WithFront(func(h *entry.Host) http.Handler {
			return platform.ReadyHandler(h.Ready)
		}))
	}
	host := entry.New(cfg, opts...)
	go followSettings(ctx, log, settingsPath(o), cfg.Fleet, func() (setup.Fleet, error) {
		next, err := setup.LoadEntry(settingsPath(o))
		return next.Fleet, err
	}, host.SetSeeds)
	return host.Run(ctx)
}

// logging returns the process's logger, which never waits for whoever reads
// standard output, its metrics, and a function that writes out what is left,
// within flushLimit. Once nobody reads, lines are dropped and counted.
func logging(ctx context.Context, cfg setup.Common) (*slog.Logger, *telem.Set, func()) {
	out := telem.NewAsync(os.Stdout, logLines)
	// Otherwise a write to standard output without a reader ends the process.
	signal.Ignore(syscall.SIGPIPE)
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	written := make(chan struct{})
	go func() {
		defer close(written)
		out.Run(logCtx)
	}()
	metrics := telem.NewSet()
	metrics.Func("log_lines_dropped", func() any { return out.Dropped() })
	return logger(cfg, out), metrics, func() {
		stopLog()
		select {
		case <-written:
		case <-time.After(flushLimit):
		}
	}
}

func runControl(ctx context.Context, o *options) error {
	var (
		cfg  setup.Control
		host *ctrl.Host
		err  error
	)
	if cfg, err = setup.LoadControl(settingsPath(o)); err != nil || o.check {
		return err
	}
	log, metrics, stop := logging(ctx, cfg.Common)
	defer stop()
	opts := []ctrl.Option{ctrl.WithLogger(log), ctrl.WithMetrics(metrics)}
	if cfg.Fleet.Enabled() {
		opts = append(opts, ctrl.WithDialect(platform.Dialect()), ctrl.WithFront(func(h *ctrl.Host) http.Handler {
			return platform.ControlHandler(h, log)
		}))
	}
	if host, err = ctrl.New(cfg, opts...); err != nil {
		return err
	}
	go followSettings(ctx, log, settingsPath(o), cfg.Fleet, func() (setup.Fleet, error) {
		next, err := setup.LoadControl(settingsPath(o))
		return next.Fleet, err
	}, host.SetSeeds)
	return host.Run(ctx)
}

func runLocal(ctx context.Context, o *options) error {
	log := io.Discard
	if o.log {
		log = os.Stderr
	}
	opts := []local.Option{local.WithLog(log)}
	if o.calls > 0 {
		opts = append(opts, local.WithCalls(o.calls, o.rate))
	}
	return local.New(opts...).Run(ctx)
}

func settingsPath(o *options) string {
	if o.settings == "" {
		return defaultSettings
	}
	return o.settings
}

func logger(c setup.Common, w io.Writer) *slog.Logger {
	level, _ := telem.Level(c.LogLevel)
	log := telem.Logger(w, level, c.Host, c.DataCentre)
	slog.SetDefault(log) // Libraries that write to the standard logger follow.
	return log
}
