package quorum

// Registers appends every register to dst and returns it, in no particular
// order.
func (a *Acceptor) Registers(dst []Register) []Register {
	for _, r := range a.registers {
		dst = append(dst, *r)
	}
	return dst
}
