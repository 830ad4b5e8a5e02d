package entry

import (
	"context"
	"net"
	"time"
)

// dialer returns a function that opens TCP connections within timeout.
func dialer(timeout time.Duration) func(context.Context, string, string) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	return d.DialContext
}
