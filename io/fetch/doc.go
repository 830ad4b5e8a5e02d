// Package fetch reads JSON documents over HTTP, such as the metrics of a host.
package fetch
