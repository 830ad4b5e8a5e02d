package main

import (
	"context"
	"fmt"
	"slices"

	"github.com/pkg/errors"

	"cardamomspool/core/spec"
	"cardamomspool/io/client"
)

func ctlDrainCommand(o *ctlOptions, name, description string, wanted bool) *command {
	c := ctlCommand(o, name, description, func(ctx context.Context, c *client.Client, o *ctlOptions) error {
		return ctlDrain(ctx, c, o, wanted)
	})
	c.parser.AddPositionalValue(&o.name, "service", 1, true, "name of the service")
	c.parser.AddPositionalValue(&o.target, "target", 2, true, "name of the target")
	c.parser.String(&o.request, "q", "request", "identity of the request; give the same one to send it again")
	return c
}

// ctlDrain puts a target's name into the list of drained ones, or takes it
// out. Another change in between is a conflict.
func ctlDrain(ctx context.Context, c *client.Client, o *ctlOptions, wanted bool) error {
	current, err := c.Get(ctx, o.name)
	if err != nil {
		return err
	}
	doc, faults := spec.Parse(current.Body)
	if err = faults.Err(); err != nil {
		return errors.Wrap(err, "current document")
	}
	at := slices.Index(doc.Targets.Drain, o.target)
	switch {
	case wanted == (at >= 0):
		fmt.Printf("nothing to do: %s is at revision %d\n", o.name, current.Revision)
		return nil
	case wanted:
		doc.Targets.Drain = append(doc.Targets.Drain, o.target)
	default:
		doc.Targets.Drain = slices.Delete(doc.Targets.Drain, at, at+1)
	}
	o.base = fmt.Sprint(current.Revision)
	return submit(ctx, c, o, client.Change{Name: o.name, Document: spec.Canonical(doc)})
}
