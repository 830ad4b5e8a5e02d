package main

import (
	_ "embed" // The names of the platform.
	"strings"
)

// wordText holds the platform's names, which no Go file outside platform/ may hold: a key and a name
// a line.
//
//go:embed words.txt
var wordText string

// words are the platform's names by key.
var words = parseWords(wordText)

// parseWords reads the lines of text.
func parseWords(text string) map[string]string {
	names := make(map[string]string)
	for line := range strings.Lines(text) {
		if key, name, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
			names[key] = name
		}
	}
	return names
}

// word returns the platform's name for key. It panics if there is none.
func word(key string) string {
	name, ok := words[key]
	if !ok {
		panic("no name of the platform for " + key)
	}
	return name
}
