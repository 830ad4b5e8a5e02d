package entry

import (
	"net"
	"net/http"
	"net/netip"
	"strings"
)

var (
	// hopByHop are the fields that concern one connection and are not passed on.
	hopByHop = []string{
		"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade",
	}

	// forwardedFields describe the caller to a target. They are removed from
	// requests of callers that are not trusted proxies.
	forwardedFields = []string{
		"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Port", "X-Forwarded-Proto", "X-Real-Ip",
	}
)

// stripHeader removes the hop-by-hop fields, including those that the Connection
// field names. Source: RFC 9110, section 7.6.1.
func stripHeader(header http.Header) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}

// setForwarded sets the fields that describe the caller to the target. It keeps the
// fields of a trusted proxy and adds the proxy's address to X-Forwarded-For. The
// fields of any other caller it replaces.
func setForwarded(header http.Header, r *http.Request, trusted []netip.Prefix) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	if !isTrusted(host, trusted) {
		for _, name := range forwardedFields {
			header.Del(name)
		}
	}
	header.Set("X-Forwarded-For", strings.Join(append(header["X-Forwarded-For"], host), ", "))
	setDefaultField(header, "X-Forwarded-Host", r.Host)
	proto := "http"
	if r.TLS != nil {
		proto = "https"
	}
	setDefaultField(header, "X-Forwarded-Proto", proto)
}

// setDefaultField sets a field that is missing or empty.
func setDefaultField(header http.Header, name, value string) {
	if header.Get(name) == "" {
		header.Set(name, value)
	}
}

// forwardedFor returns the addresses that the X-Forwarded-For fields name, the caller's
// first.
func forwardedFor(header http.Header) []string {
	var hops []string
	for _, value := range header["X-Forwarded-For"] {
		for hop := range strings.SplitSeq(value, ",") {
			hops = append(hops, strings.TrimSpace(hop))
		}
	}
	return hops
}

// isTrusted reports whether host is an IP address in one of the trusted networks.
func isTrusted(host string, trusted []netip.Prefix) bool {
	address, err := netip.ParseAddr(host)
	if err != nil {
		return false
	}
	for _, prefix := range trusted {
		if prefix.Contains(address.Unmap()) {
			return true
		}
	}
	return false
}
