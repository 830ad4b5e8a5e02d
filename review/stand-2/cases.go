package main

// scenarios are the cases by name.
var scenarios = map[string]scenario{
	"first-start":     firstStart,
	"late-upload":     lateUpload,
	"misspelt-kind":   misspeltKind,
	"stray-heartbeat": strayHeartbeat,
}
