// Package ctrl runs a control host: it keeps registers on disk, proposes the
// operators' changes to a majority of control hosts, and streams the chosen
// documents to entry hosts.
package ctrl
