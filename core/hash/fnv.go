package hash

const (
	// Start is the hash of nothing.
	Start uint64 = 14695981039346656037

	prime = 1099511628211
)

// Add returns the hash of what h is the hash of, followed by the bytes of s.
func Add[T string | []byte](h uint64, s T) uint64 {
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * prime
	}
	return h
}
