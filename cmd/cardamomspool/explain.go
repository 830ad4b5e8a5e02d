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

// ctlExplainCommand needs no control host: it reads logs.
func ctlExplainCommand(o *ctlOptions) *command {
	sub := flaggy.NewSubcommand("explain")
	sub.Description = "tell from the logs of all processes what became of a call"
	sub.AddPositionalValue(&o.call, "call", 1, true, "identity of the call")
	sub.String(&o.logs, "l", "logs", "log files, with commas between them; standard input without it")
	return &command{parser: sub, run: func(context.Context, *options) error { return explain(o) }}
}

func explain(o *ctlOptions) error {
	if o.logs == "" {
		return logs.Explain(os.Stdout, o.call, os.Stdin)
	}
	var readers []io.Reader
	for name := range strings.SplitSeq(o.logs, ",") {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "explain")
		}
		defer f.Close()
		readers = append(readers, f)
	}
	return logs.Explain(os.Stdout, o.call, readers...)
}
