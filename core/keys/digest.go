package keys

import (
	"crypto/sha256"
	"encoding/base64"

	"github.com/pkg/errors"
)

// Digest is the SHA-256 digest of a key. Its text form is base64 without padding.
type Digest [sha256.Size]byte

// Of returns the digest of a key.
func Of(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// MarshalText returns the digest in base64.
func (d Digest) MarshalText() ([]byte, error) {
	return base64.RawStdEncoding.AppendEncode(nil, d[:]), nil
}

// UnmarshalText decodes what MarshalText returns. It fails for any other text.
func (d *Digest) UnmarshalText(text []byte) error {
	data, err := base64.RawStdEncoding.AppendDecode(nil, text)
	if err != nil || len(data) != len(d) {
		return errors.Errorf("keys: digest of %d characters is malformed", len(text))
	}
	copy(d[:], data)
	return nil
}
