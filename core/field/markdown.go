package field

import (
	"fmt"
	"io"
	"strings"
)

// WriteMarkdown writes the entries as one Markdown table.
func WriteMarkdown(w io.Writer, entries []Entry) error {
	if _, err := fmt.Fprint(w, "| field | kind | unit | default | allowed | meaning |\n|---|---|---|---|---|---|\n"); err != nil {
		return err
	}
	for i := range entries {
		e := &entries[i]
		_, err := fmt.Fprintf(w, "| `%s` | %s | %s | %s | %s | %s |\n",
			e.Path, e.Kind, e.Unit, code(e.Default), cell(e.Range()), cell(e.Help))
		if err != nil {
			return err
		}
	}
	return nil
}

func code(s string) string {
	if s == "" {
		return ""
	}
	return "`" + s + "`"
}

func cell(s string) string {
	return strings.ReplaceAll(s, "|", `\|`)
}
