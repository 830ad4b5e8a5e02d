// Command spoollab runs stub targets, load generators, experiments, soak tests and
// measurements of resource use for cardamomspool. The subcommands slopes, control and
// churn measure the resource use of its processes, force the time until a change is in
// force on all entry hosts, and leaving the time until all entry hosts know that a target
// is leaving. See the packages stub, load, exper, soak and slope in io.
package main
