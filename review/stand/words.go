package main

import (
	_ "embed" // The names of the platform.
	"strings"
)

//go:embed words.txt
var wordText string

// The header fields, paths and JSON fields of the platform's pages, which no
// Go file outside platform/ names.
var words = func() map[string]string {
	names := map[string]string{}
	for line := range strings.Lines(wordText) {
		if key, name, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
			names[key] = name
		}
	}
	return names
}()

// word returns the platform's name for key. It panics at a key without one.
func word(key string) string {
	name, ok := words[key]
	if !ok {
		panic("no name of the platform for " + key)
	}
	return name
}
