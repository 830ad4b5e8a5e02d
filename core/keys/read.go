package keys

import (
	"strings"

	"github.com/pkg/errors"
)

const (
	// Field is the header field in which callers send their key.
	Field = "Authorization"
	// Scheme is the authentication scheme of Field. Source: RFC 6750, section 2.1.
	Scheme = "Bearer"
)

// The errors for a call whose key cannot be read.
var (
	ErrMissing   = errors.New("keys: no key")
	ErrRepeated  = errors.New("keys: more than one field with a key")
	ErrMalformed = errors.New("keys: the field does not hold a key")
)

// Read returns the digest of the key in the values of a request's fields called Field.
// The scheme is compared without regard to case, and one or more spaces follow it. A key
// consists of visible ASCII characters. Read returns ErrMissing without a value,
// ErrRepeated for several, even if they are equal, and ErrMalformed for any other text.
// No error holds any part of the values.
func Read(values []string) (Digest, error) {
	switch len(values) {
	case 0:
		return Digest{}, ErrMissing
	case 1:
	default:
		return Digest{}, ErrRepeated
	}
	scheme, rest, found := strings.Cut(values[0], " ")
	key := strings.TrimLeft(rest, " ")
	if !found || !strings.EqualFold(scheme, Scheme) || !Valid(key) {
		return Digest{}, ErrMalformed
	}
	return Of(key), nil
}

// Valid reports whether a call can carry key: it is not empty, and all its characters are
// visible ASCII characters.
func Valid(key string) bool {
	for i := range len(key) {
		if key[i] <= ' ' || key[i] >= 0x7f {
			return false
		}
	}
	return key != ""
}
