// Package voter tells how many hosts of a group must agree. It depends on no other package,
// so that documents, keys and the agreement itself can use it.
package voter

// Majority returns the size of a majority of n hosts.
func Majority(n int) int {
	return n/2 + 1
}
