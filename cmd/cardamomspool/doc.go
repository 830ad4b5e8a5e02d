// Command cardamomspool runs an entry host or a control host of the load
// balancer, or a whole system on loopback, and holds the operators' command line.
package main
