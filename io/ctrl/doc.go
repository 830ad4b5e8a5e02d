// Package ctrl runs a control host: it stores the consensus registers on disk,
// proposes operators' changes to a majority of control hosts, and streams the
// chosen documents to entry hosts.
package ctrl
