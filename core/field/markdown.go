package field

import (
	"fmt"
	"io"
	"strings"
)

// WriteMarkdown writes the entries to w as a Markdown table.
func WriteMarkdown(w io.Writer, entries []Entry) error {
	if _, err := fmt.Fprint(w, "| field | kind | unit | default | allowed | meaning |\n|---|---|---|---|---|---|\n"); err != nil {
		return err
	}
	for i := range entries {
		e := &entries[i]
		_, err := fmt.Fprintf(w, "| `%s` | %s | %s | %s | %s | %s |\n",
			e.Path, e.Kind, e.Unit, markdownCode(e.Default), markdownCell(e.Range()), markdownCell(e.Help))
		if err != nil {
			return err
		}
	}
	return nil
}

func markdownCode(s string) string {
	if s == "" {
		return ""
	}
	return "`" + s + "`"
}

func markdownCell(s string) string {
	return strings.ReplaceAll(s, "|", `\|`)
}
