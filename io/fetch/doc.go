// Package fetch downloads JSON documents over HTTP, such as a host's metrics.
package fetch
