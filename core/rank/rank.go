package rank

import (
	"math"
	"net/netip"

	"cardamomspool/core/hash"
)

// Score returns the rendezvous hash of a service's name and a host's address. The host
// with the highest score is the first one.
func Score(service string, host netip.AddrPort) uint64 {
	var buf [64]byte
	x := hash.Add(hash.Add(hash.Start, service), host.AppendTo(append(buf[:0], '\n')))
	x ^= x >> 33 // FNV mixes its last bytes poorly into the high bits.
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// Position returns the position, from 0, of host among itself and hosts in the order of
// a service. It does not matter whether hosts contains host.
func Position(service string, host netip.AddrPort, hosts []netip.AddrPort) int {
	own, n := Score(service, host), 0
	for _, other := range hosts {
		if other != host && Score(service, other) > own {
			n++
		}
	}
	return n
}

// Share returns the share of a common allowance that the host at a position, from 0, may
// use: a half, a quarter, an eighth and so on. The shares of any number of positions
// add up to less than 1.
func Share(position int) float64 {
	return math.Ldexp(1, -1-position)
}
