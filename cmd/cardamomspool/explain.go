package main

import (
	"context"
	"io"
	"os"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"cardamomspool/io/logs"
)

// ctlExplainCommand returns the explain subcommand, which reads log files and
// contacts no control host.
func ctlExplainCommand(o *ctlOptions) *command {
	sub := flaggy.NewSubcommand("explain")
	sub.Description = "print the log lines of all processes that explain the outcome of a call"
	sub.AddPositionalValue(&o.call, "call", 1, true, "id of the call")
	sub.String(&o.logs, "l", "logs", "log files, with commas between them; standard input without it")
	return &command{parser: sub, run: func(context.Context, *options) error { return explain(o) }}
}

// ctlTimelineCommand returns the timeline subcommand, which reads log files and
// contacts no control host.
func ctlTimelineCommand(o *ctlOptions) *command {
	sub := flaggy.NewSubcommand("timeline")
	sub.Description = "print the log lines of all processes about a configuration or a target"
	sub.AddPositionalValue(&o.subject, "subject", 1, true, "plan or target")
	sub.AddPositionalValue(&o.value, "value", 2, true, "version of the plan, or id of the target")
	sub.String(&o.logs, "l", "logs", "log files, with commas between them; standard input without it")
	return &command{parser: sub, run: func(context.Context, *options) error { return timeline(o) }}
}

// ctlLateCommand returns the late subcommand, which reads log files and contacts no control
// host.
func ctlLateCommand(o *ctlOptions) *command {
	sub := flaggy.NewSubcommand("late")
	sub.Description = "count the calls within their aim in log files, and the causes of the others, by window of 2 s and class"
	sub.AddPositionalValue(&o.file, "file", 1, false, "log files, any number; standard input without one")
	sub.Bool(&o.json, "j", "json", "print JSON")
	return &command{parser: sub, run: func(context.Context, *options) error { return printLate(o) }}
}

// acceptFiles lets the parser accept any number of arguments if those of the process are of
// the late subcommand. Arguments after the first one are in flaggy.TrailingArguments then.
// The parser would also accept unknown flags, so that it is left as it is beside those.
func acceptFiles(args []string) {
	if len(args) < 3 || args[1] != "ctl" || args[2] != "late" {
		return
	}
	for _, arg := range args[3:] {
		if strings.HasPrefix(arg, "-") && arg != "-j" && arg != "--json" {
			return
		}
	}
	flaggy.ShowHelpOnUnexpectedDisable()
}

// printLate prints the causes of late calls in the files that the arguments name.
func printLate(o *ctlOptions) error {
	files := flaggy.TrailingArguments
	if o.file != "" {
		files = append([]string{o.file}, files...)
	}
	return readLogs(strings.Join(files, ","), func(readers ...io.Reader) error {
		report, err := logs.Late(readers...)
		if err != nil {
			return err
		}
		if o.json {
			return printJSON(os.Stdout, report)
		}
		return report.WriteText(os.Stdout)
	})
}

// explain prints the log lines of the call that the flags name.
func explain(o *ctlOptions) error {
	return readLogs(o.logs, func(readers ...io.Reader) error { return logs.Explain(os.Stdout, o.call, readers...) })
}

// timeline prints the log lines about the plan or target that the flags name.
func timeline(o *ctlOptions) error {
	subject := logs.Subject{Key: o.subject, Value: o.value}
	switch o.subject {
	case "plan":
		subject.Key = "version"
	case "target":
	default:
		return errors.Errorf("subject is %q, must be plan or target", o.subject)
	}
	return readLogs(o.logs, func(readers ...io.Reader) error { return logs.Timeline(os.Stdout, subject, readers...) })
}

// readLogs calls f with readers of the files in list, which are separated by commas, or
// with standard input when list is empty. It returns the error of f.
func readLogs(list string, f func(readers ...io.Reader) error) error {
	if list == "" {
		return f(os.Stdin)
	}
	var readers []io.Reader
	for name := range strings.SplitSeq(list, ",") {
		file, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "log")
		}
		defer file.Close()
		readers = append(readers, file)
	}
	return f(readers...)
}
