// Package wire defines the HTTP header fields between entry hosts, targets and
// callers, and the announcements of targets, and parses and formats them.
package wire
