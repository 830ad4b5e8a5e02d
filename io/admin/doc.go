// Package admin implements the HTTP API for operators: the API of control hosts
// that reads and changes service documents, their metrics and their readiness,
// and the view of targets that control hosts collect from entry hosts.
package admin
