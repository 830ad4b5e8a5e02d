package signs

// Signs is what a host has learnt from targets. Its zero value is empty. It is safe for
// concurrent use.
type Signs struct {
	Rests
	Limits
	Leavers
	Resets
}
