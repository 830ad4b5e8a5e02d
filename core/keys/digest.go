package keys

import (
	"crypto/sha256"
	"encoding/base64"
	"log/slog"

	"github.com/pkg/errors"
)

// Digest is the SHA-256 digest of a key. Its text form is base64 without padding.
type Digest [sha256.Size]byte

const (
	// hidden stands for a digest in messages and log lines.
	hidden = "[digest of a key]"
	// maskedDigits is the number of digits by which Masked names a digest.
	maskedDigits = 8
)

// Of returns the digest of a key.
func Of(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// String returns a text that does not show the digest.
func (Digest) String() string {
	return hidden
}

// LogValue keeps digests out of log lines, into which MarshalText would put them.
func (Digest) LogValue() slog.Value {
	return slog.StringValue(hidden)
}

// Masked returns the first digits of the digest in base64. They name a key among those of
// a deployment and show neither the key nor its digest.
func (d Digest) Masked() string {
	return base64.RawStdEncoding.EncodeToString(d[:])[:maskedDigits] + "..."
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
