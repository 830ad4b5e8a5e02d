package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"

	"cardamomspool/io/client"
)

// ctlEvacuateCommand returns the evacuate subcommand, or restore if evacuated is false.
func ctlEvacuateCommand(o *ctlOptions, name, description string, evacuated bool) *command {
	c := ctlCommand(o, name, description, func(ctx context.Context, c *client.Client, o *ctlOptions) error {
		return ctlEvacuate(ctx, c, o, evacuated)
	})
	c.parser.AddPositionalValue(&o.name, "name", 1, true, "name of the data centre")
	return c
}

// ctlEvacuate orders the evacuation of a data centre, or withdraws it, and prints the orders
// in force.
func ctlEvacuate(ctx context.Context, c *client.Client, o *ctlOptions, evacuated bool) error {
	v, err := c.SetEvacuated(ctx, o.name, evacuated)
	if errors.Is(err, client.ErrNoAnswer) {
		return errors.WithMessage(err, "the order may be in force or not; send it again")
	}
	if err != nil {
		return err
	}
	if o.output == outputJSON {
		return printJSON(os.Stdout, v)
	}
	fmt.Printf("evacuated data centres at revision %d: %s\n", v.Revision, orDash(strings.Join(v.DataCentres, ", ")))
	return nil
}
