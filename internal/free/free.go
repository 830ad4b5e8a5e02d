// Package free finds loopback addresses for the listeners of tests.
//
// Tests that run at the same time, in other processes too, get different IP addresses, so
// that none takes a port between the time at which it was found free and its use, and no
// outgoing connection does.
package free

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// firstNet is the second byte of the lowest IP addresses that IP returns.
const firstNet = 64

// count is the number of addresses that IP has returned.
var count atomic.Uint32

// IP returns a loopback address that this process has not got before. Of two processes
// whose identifiers differ by a multiple of 128 both may get it.
func IP() netip.Addr {
	n := count.Add(1)
	return netip.AddrFrom4([4]byte{127, byte(firstNet + os.Getpid()%128), byte(n >> 8), byte(n)})
}

// Address returns an address with a new IP and a port that was free when it was checked.
// It fails if the host has no such loopback addresses.
func Address() (netip.AddrPort, error) {
	l, err := net.Listen("tcp", netip.AddrPortFrom(IP(), 0).String())
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}
