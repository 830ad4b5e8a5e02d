package main

// scenarios are the cases by name.
var scenarios = map[string]scenario{
	"stray-heartbeat": strayHeartbeat,
}
