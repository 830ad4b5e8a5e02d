package crash

import (
	"crypto/sha256"
	"encoding/binary"
	"net/netip"
	"strconv"
)

// ID names a call by digests. They are the same at all hosts, and a caller cannot
// choose a call that has the digest of another one.
type ID struct {
	// Head is the digest of the method, the host, and the path with the query.
	Head uint64
	// Content is the digest of Head and the beginning of the body.
	Content uint64
	// Caller is the digest of the caller's address.
	Caller uint64
}

// MaxBodyBytes is the length of the beginning of a body that Content uses. Callers that
// repeat a long upload are recognised before they have sent the rest.
const MaxBodyBytes = 4 << 10

// Head returns the digest of what a call asks for, without its body. uri is the path
// with the query, as the caller wrote it.
func Head(method, host, uri string) uint64 {
	return digest([]byte(method), []byte(host), []byte(uri))
}

// Content returns the digest of a call with the given head. It uses the first
// MaxBodyBytes of body, and so does not depend on how much of a longer one is known.
func Content(head uint64, body []byte) uint64 {
	return digest(binary.BigEndian.AppendUint64(nil, head), body[:min(len(body), MaxBodyBytes)])
}

// Caller returns the digest of the caller at address. Its port is not part of it, since
// callers repeat calls on new connections.
func Caller(address netip.Addr) uint64 {
	return digest(address.Unmap().AsSlice())
}

// Target returns the digest of one incarnation of a target of a service.
func Target(service, name string, incarnation uint64) uint64 {
	return digest([]byte(service), []byte(name), binary.BigEndian.AppendUint64(nil, incarnation))
}

// Name returns a digest as text for logs.
func Name(digest uint64) string {
	return strconv.FormatUint(digest, 16)
}

// digest returns the first eight bytes of the SHA-256 of the parts, each preceded by its
// length.
func digest(parts ...[]byte) uint64 {
	var text []byte
	for _, part := range parts {
		text = binary.AppendUvarint(text, uint64(len(part)))
		text = append(text, part...)
	}
	sum := sha256.Sum256(text)
	return binary.BigEndian.Uint64(sum[:])
}
