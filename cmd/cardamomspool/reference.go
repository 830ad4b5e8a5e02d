package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"cardamomspool/core/field"
	"cardamomspool/core/spec"
	"cardamomspool/io/setup"
)

// referenceTable is one section of the settings reference, with its table.
type referenceTable struct {
	title   string
	text    string
	entries []field.Entry
}

const referenceIntro = `# Settings and documents

This page is printed by ` + "`cardamomspool settings`" + ` from the tables that the code
uses; a test keeps it as printed. A field that is left out has its default.
Unknown fields and values outside their range are faults, each named by its
path. Durations are written as "250ms", "1m30s" or "2h". "[]" stands for each
entry of a list.
`

func referenceCommand() *command {
	sub := flaggy.NewSubcommand("settings")
	sub.Description = "print all settings and fields of documents, as Markdown"
	flaggy.AttachSubcommand(sub, 1)
	return &command{parser: sub, run: func(context.Context, *options) error { return writeReference(os.Stdout) }}
}

// writeReference writes the content of docs/SETTINGS.md.
func writeReference(w io.Writer) error {
	tables := []referenceTable{
		{"Service document", "What operators set per service, through the console, `ctl` or the API.", spec.Reference()},
		{"Client accounts", "The document of the client accounts of hosts without a fleet, given to `ctl apply --accounts`.", spec.AccountReference()},
		{"Settings of an entry host", "The file given to `cardamomspool entry --settings`.", setup.EntryReference()},
		{"Settings of a control host", "The file given to `cardamomspool control --settings`.", setup.ControlReference()},
	}
	if _, err := io.WriteString(w, referenceIntro); err != nil {
		return err
	}
	for _, t := range tables {
		if _, err := fmt.Fprintf(w, "\n## %s\n\n%s\n\n", t.title, t.text); err != nil {
			return err
		}
		if err := field.WriteMarkdown(w, t.entries); err != nil {
			return err
		}
	}
	return nil
}
