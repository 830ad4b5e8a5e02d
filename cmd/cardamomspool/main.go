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
	// options holds the values of the command line's flags.
	options struct {
		// settings and check are flags of the entry and control subcommands.
		settings string
		check    bool
		// calls, rate (calls per second), log and accounts are flags of the local
		// subcommand.
		calls    int
		rate     float64
		log      bool
		accounts bool
		ctl      ctlOptions
	}

	// command is a subcommand and the function that runs it.
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
	// logBufferLines is the number of log lines that a process buffers.
	logBufferLines = 4096
	// flushTimeout is how long a stopping process waits at most until its last
	// log lines are written. It is a fraction of the time that the machine gives
	// a process to stop.
	flushTimeout = 500 * time.Millisecond
)

// errUsage reports a command line without a subcommand. Errors about invalid flags
// of ctl wrap it, so that they have the exit code exitUsage.
var errUsage = errors.New("no subcommand was given; see --help")

func main() {
	var o options
	o.rate = 500
	selected := parse(&o)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// A second SIGINT ends the process at once. A second SIGTERM does not:
	// supervisors that send SIGTERM send SIGKILL after a timeout.
	context.AfterFunc(ctx, func() { signal.Reset(syscall.SIGINT) })
	if selected == nil {
		fmt.Fprintln(os.Stderr, errUsage)
		os.Exit(exitUsage)
	}
	if err := selected.run(ctx, &o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

// parse reads the command line into o. It returns the subcommand that was given,
// or nil when none was.
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
	acceptFiles(os.Args)
	flaggy.Parse()
	for _, c := range commands {
		if c.parser.Used {
			return c
		}
	}
	return nil
}

// processCommand returns a subcommand that runs a host with a settings file. The function
// run gets the options with the values of its flags.
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
	sub.Description = "run a whole system on loopback with stub targets, until interrupted"
	sub.Int(&o.calls, "n", "calls", "number of calls to send before printing a summary and exiting; 0 sends none")
	sub.Float64(&o.rate, "r", "rate", "calls sent per second")
	sub.Bool(&o.log, "l", "log", "write the logs of all hosts to standard error")
	sub.Bool(&o.accounts, "", "accounts", "let calls need a key of two example client accounts, which are printed")
	flaggy.AttachSubcommand(sub, 1)
	return &command{parser: sub, run: runLocal}
}

// runEntry runs an entry host until ctx ends or it fails. With --check it only checks
// the settings.
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

// logging returns the process's logger, its metrics, and a function that writes the
// remaining log lines, for flushTimeout at most. The logger never waits for the
// reader of standard output: when the buffer is full, lines are dropped and
// counted.
func logging(ctx context.Context, cfg setup.Common) (*slog.Logger, *telem.Registry, func()) {
	out := telem.NewAsyncWriter(os.Stdout, logBufferLines)
	// By default a write to a closed standard output ends the process.
	signal.Ignore(syscall.SIGPIPE)
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	written := make(chan struct{})
	go func() {
		defer close(written)
		out.Run(logCtx)
	}()
	metrics := telem.NewRegistry()
	metrics.Func("log_lines_dropped", func() any { return out.Dropped() })
	return logger(cfg, out), metrics, func() {
		stopLog()
		select {
		case <-written:
		case <-time.After(flushTimeout):
		}
	}
}

// runControl runs a control host until ctx ends or it fails. With --check it only checks
// the settings.
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
	if o.accounts {
		opts = append(opts, local.WithAccounts())
	}
	return local.New(opts...).Run(ctx)
}

// settingsPath returns the path of the settings file, or the default one.
func settingsPath(o *options) string {
	if o.settings == "" {
		return defaultSettings
	}
	return o.settings
}

// logger returns the process's logger and makes it the default one.
func logger(c setup.Common, w io.Writer) *slog.Logger {
	level, _ := telem.ParseLevel(c.LogLevel)
	log := telem.NewLogger(w, level, c.Host, c.DataCentre)
	slog.SetDefault(log) // For libraries that use the default logger.
	return log
}
