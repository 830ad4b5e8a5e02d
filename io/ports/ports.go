package ports

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

const (
	lowest  = 10_000
	highest = 32_000
	tries   = 10_000
)

// ErrNone reports that too few ports are free.
var ErrNone = errors.New("ports: not enough free loopback ports")

// Free returns n distinct loopback addresses that were free a moment ago. It
// returns ErrNone when it does not find them.
func Free(n int) ([]netip.AddrPort, error) {
	var list []netip.AddrPort
	for range tries {
		if len(list) == n {
			return list, nil
		}
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(lowest+rand.N(highest-lowest)))
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
