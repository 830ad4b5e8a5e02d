// Command cardamomspool runs the processes of the load balancer and the
// operators' command line.
package main
