// Command spoollab runs stub targets, load generators, experiments and soak tests
// for cardamomspool.
package main
