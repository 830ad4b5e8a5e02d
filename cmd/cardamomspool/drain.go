package main

import (
	"context"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"cardamomspool/core/spec"
	"cardamomspool/io/client"
)

// ctlDrainCommand returns the drain subcommand, or undrain if drained is false.
func ctlDrainCommand(o *ctlOptions, name, description string, drained bool) *command {
	c := ctlCommand(o, name, description, func(ctx context.Context, c *client.Client, o *ctlOptions) error {
		return ctlDrain(ctx, c, o, drained)
	})
	c.parser.AddPositionalValue(&o.name, "service", 1, true, "name of the service")
	c.parser.AddPositionalValue(&o.target, "target", 2, true, "name of the target")
	c.parser.String(&o.request, "q", "request", "idempotency key of the request; repeat it to send the same request again")
	return c
}

// ctlDrain adds a target to the service document's list of drained targets, or
// removes it from there when drained is false. It fails with a conflict, which has the
// exit code exitConflict, if someone else changes the document at the same time.
func ctlDrain(ctx context.Context, c *client.Client, o *ctlOptions, drained bool) error {
	current, err := c.Get(ctx, o.name)
	if err != nil {
		return err
	}
	doc, faults := spec.Parse(current.Body)
	if err = faults.Err(); err != nil {
		return errors.Wrap(err, "current document")
	}
	i := slices.Index(doc.Targets.Drain, o.target)
	switch {
	case drained == (i >= 0):
		fmt.Printf("nothing to do: %s is at revision %d\n", o.name, current.Revision)
		return nil
	case drained:
		doc.Targets.Drain = append(doc.Targets.Drain, o.target)
	default:
		doc.Targets.Drain = slices.Delete(doc.Targets.Drain, i, i+1)
	}
	o.base = fmt.Sprint(current.Revision)
	return submit(ctx, c, o, client.Change{Name: o.name, Document: spec.Canonical(doc)})
}
