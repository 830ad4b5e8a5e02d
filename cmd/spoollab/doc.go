// Command spoollab runs stub targets, load generators, experiments, soak tests and
// measurements of resource use for cardamomspool.
package main
