package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"cardamomspool/core/spec"
	"cardamomspool/io/admin"
	"cardamomspool/io/client"
)

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// printRows writes v as JSON when output is outputJSON, and otherwise a table of
// tab-separated rows below heading.
func printRows(w io.Writer, output string, v any, heading string, rows []string) error {
	if output == outputJSON {
		return printJSON(w, v)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, heading)
	for _, row := range rows {
		fmt.Fprintln(tw, row)
	}
	return tw.Flush()
}

func printServices(w io.Writer, output string, list []spec.Versioned) error {
	var rows []string
	for _, v := range list {
		rows = append(rows, fmt.Sprintf("%s\t%d", v.Name, v.Revision))
	}
	return printRows(w, output, list, "SERVICE\tREVISION", rows)
}

func printHistory(w io.Writer, output string, list []admin.HistoryEntry) error {
	var rows []string
	for _, v := range list {
		action := "changed"
		if v.Deleted {
			action = "deleted"
		}
		rows = append(rows, fmt.Sprintf("%d\t%s\t%s\t%s", v.Revision, action, orDash(v.Operator), v.At.UTC().Format(time.RFC3339)))
	}
	return printRows(w, output, list, "REVISION\tWHAT\tOPERATOR\tAT", rows)
}

func printStatus(w io.Writer, output string, list []client.HostStatus) error {
	var rows []string
	for _, s := range list {
		if s.Problem != "" {
			rows = append(rows, fmt.Sprintf("%s\t-\t-\t-\t-\t-\t%s", s.Address, s.Problem))
			continue
		}
		state := "votes"
		if !s.Voting {
			state = "recovers: " + s.Recovery
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%d\t%d\t%d\t%s", s.Address, s.Host, orDash(s.Version), s.Registers, s.Reachable, s.Majority, state))
	}
	for _, s := range list {
		if len(s.Evacuated) > 0 {
			rows = append(rows, fmt.Sprintf("%s\t%s\t-\t-\t-\t-\tevacuated: %s", s.Address, s.Host, strings.Join(s.Evacuated, ", ")))
		}
	}
	return printRows(w, output, list, "ADDRESS\tHOST\tVERSION\tDOCUMENTS\tHEARD\tNEEDED\tSTATE", rows)
}

func printTargets(w io.Writer, output string, list []admin.EntryAnswer) error {
	var rows []string
	for _, s := range list {
		if s.Problem != "" {
			rows = append(rows, fmt.Sprintf("%s\t-\t-\t-\t-\tunreachable: %s", s.Host, s.Problem))
		}
		for _, t := range s.Targets {
			rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s", s.Host, t.Service, t.Name, t.Address, t.DataCentre, t.Condition()))
		}
	}
	return printRows(w, output, list, "SEEN BY\tSERVICE\tTARGET\tADDRESS\tDATA CENTRE\tSTATE", rows)
}

func printAccounts(w io.Writer, output string, list []admin.AccountUse) error {
	var rows []string
	for _, a := range list {
		rate, burst, room := "-", "-", "-"
		if a.Rate > 0 {
			rate, burst, room = formatCalls(a.Rate), formatCalls(a.Burst), formatCalls(a.Room)
		}
		rank := "-"
		if a.Rank != nil {
			rank = strconv.Itoa(*a.Rank)
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%d\t%s\t%s\t%s\t%d\t%s", a.Account, rank, a.Used, rate, burst, room, a.Refused, a.State()))
	}
	return printRows(w, output, list, "ACCOUNT\tRANK\tUSED\tRATE\tBURST\tROOM\tREFUSED\tSTATE", rows)
}

// formatCalls returns a number of calls with one digit after the point at most.
func formatCalls(n float64) string {
	return strconv.FormatFloat(math.Round(n*10)/10, 'f', -1, 64)
}

// orDash returns s, or a dash when s is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
