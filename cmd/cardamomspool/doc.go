// Command cardamomspool runs an entry host or a control host of the load
// balancer, or a whole system on loopback. Its ctl subcommands are the operators'
// command line: they read and change service documents through control hosts, and
// explain calls from log files. The settings subcommand prints docs/SETTINGS.md.
//
// An entry host accepts calls and passes them on to targets. Control hosts store the
// service documents, which say how the calls of each service are handled. Each change
// of a document gets a new revision number, and names the revision on which it is
// based. Seeds are the addresses of control hosts that a host contacts first.
package main
