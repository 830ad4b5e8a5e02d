// Package admin serves the operators of a host over HTTP: metrics and
// readiness on every host, and on control hosts the API that reads and
// changes service documents.
package admin
