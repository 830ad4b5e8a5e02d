package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"

	"github.com/pkg/errors"
)

const (
	// Free tries ports from minPort to below endPort.
	minPort = 10_000
	endPort = 32_000
	// listenTries bounds the number of ports that one call of Free tries.
	listenTries = 10_000
	// claimsMode is the file mode of the file of claims.
	claimsMode = 0o600
)

// ErrNone reports that not enough free ports were found.
var ErrNone = errors.New("ports: not enough free loopback ports")

// openClaims opens the file in which the processes of one user claim ports.
var openClaims = sync.OnceValues(func() (*claims, error) {
	path := filepath.Join(os.TempDir(), fmt.Sprintf("cardamomspool-ports-%d", os.Getuid()))
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, claimsMode)
	if err != nil {
		return nil, errors.Wrap(err, "ports: file of claims")
	}
	return &claims{file: file, own: make(map[uint16]bool)}, nil
})

// Free returns n distinct addresses at 127.0.0.1 whose ports were free at the time
// of the call. No other call returns these ports while this process runs, neither in
// it nor in another process of the user: a host that is started late, or killed and
// started again, finds its port free. Free returns ErrNone when it does not find
// enough, and an error when it cannot claim ports.
func Free(n int) ([]netip.AddrPort, error) {
	var (
		list []netip.AddrPort
		c    *claims
		err  error
	)
	if c, err = openClaims(); err != nil {
		return nil, err
	}
	for range listenTries {
		if len(list) == n {
			return list, nil
		}
		var (
			address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(minPort+rand.N(endPort-minPort)))
			claimed bool
			l       net.Listener
		)
		if claimed, err = c.claim(address.Port()); err != nil {
			return nil, err
		}
		if !claimed {
			continue
		}
		if l, err = net.Listen("tcp", address.String()); err != nil {
			continue
		}
		defer l.Close()
		list = append(list, address)
	}
	return nil, ErrNone
}
