// Command cardamomspool runs an entry host or a control host of the load
// balancer, or a whole system on loopback. Its ctl subcommands are the operators'
// command line: they read and change service documents through control hosts, and
// explain calls from log files. The settings subcommand prints docs/SETTINGS.md.
package main
