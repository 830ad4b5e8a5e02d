package ports

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

const (
	// Free tries ports from minPort to below endPort.
	minPort = 10_000
	endPort = 32_000
	// listenTries bounds the number of ports that one call of Free tries.
	listenTries = 10_000
)

// ErrNone reports that not enough free ports were found.
var ErrNone = errors.New("ports: not enough free loopback ports")

// Free returns n distinct addresses at 127.0.0.1 whose ports were free at the time
// of the call. It returns ErrNone when it does not find enough.
func Free(n int) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	for range listenTries {
		if len(list) == n {
			return list, nil
		}
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(minPort+rand.N(endPort-minPort)))
		var (
			l   net.Listener
			err error
		)
		if l, err = net.Listen("tcp", address.String()); err != nil {
			continue
		}
		defer l.Close()
		list = append(list, address)
	}
	return nil, ErrNone
}
