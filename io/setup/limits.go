package setup

import (
	"net/netip"
	"time"

	"cardamomspool/core/strict"
)

type (
	// Callers holds what an entry host allows its callers. A zero field takes
	// the default.
	Callers struct {
		// MaxConnections bounds the open connections of callers; one more is
		// answered with 503 and closed.
		MaxConnections int `json:"max_connections"`
		// MaxHeaderBytes bounds the header of a request.
		MaxHeaderBytes int `json:"max_header_bytes"`
		// MaxBodyBytes bounds the body of a request.
		MaxBodyBytes int `json:"max_body_bytes"`
		// HeaderTimeout bounds the time for a header to arrive.
		HeaderTimeout strict.Duration `json:"header_timeout"`
		// IdleTimeout is how long a connection may wait for its next request.
		IdleTimeout strict.Duration `json:"idle_timeout"`
		// TrustedProxies lists the networks whose X-Forwarded-For and related
		// fields are passed on; those of other callers are replaced.
		TrustedProxies []netip.Prefix `json:"trusted_proxies"`
		// TLS turns on TLS towards callers.
		TLS TLS `json:"tls"`
	}

	// TLS names a key pair in PEM files, which is read again when the files
	// change. Empty paths mean no TLS.
	TLS struct {
		// CertificateFile holds the certificate chain.
		CertificateFile string `json:"certificate_file"`
		// KeyFile holds the private key.
		KeyFile string `json:"key_file"`
	}
)

// Defaults and bounds of Callers.
const (
	DefaultMaxConnections = 10_000
	DefaultMaxHeaderBytes = 32 << 10
	DefaultMaxBodyBytes   = 256 << 20
	DefaultHeaderTimeout  = 5 * time.Second
	DefaultIdleTimeout    = 90 * time.Second
	DefaultDrainDelay     = 5 * time.Second

	maxConnections    = 1_000_000
	maxHeaderBytes    = 1 << 20
	maxBodyBytes      = 1 << 40
	longestIdle       = time.Hour
	longestForHeaders = time.Minute
)

// Enabled reports whether a key pair is named.
func (t TLS) Enabled() bool {
	return t.CertificateFile != ""
}

// WithDefaults returns c with its zero fields filled in.
func (c Callers) WithDefaults() Callers {
	fill(&c.MaxConnections, DefaultMaxConnections)
	fill(&c.MaxHeaderBytes, DefaultMaxHeaderBytes)
	fill(&c.MaxBodyBytes, DefaultMaxBodyBytes)
	fill(&c.HeaderTimeout, strict.Duration(DefaultHeaderTimeout))
	fill(&c.IdleTimeout, strict.Duration(DefaultIdleTimeout))
	return c
}

func fill[T int | strict.Duration](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}

func (c *Callers) validate(f *strict.Faults) {
	f.Range("callers.max_connections", c.MaxConnections, 0, maxConnections)
	f.Range("callers.max_header_bytes", c.MaxHeaderBytes, 0, maxHeaderBytes)
	f.Range("callers.max_body_bytes", c.MaxBodyBytes, 0, maxBodyBytes)
	f.Span("callers.header_timeout", c.HeaderTimeout, 0, longestForHeaders)
	f.Span("callers.idle_timeout", c.IdleTimeout, 0, longestIdle)
	if (c.TLS.CertificateFile == "") != (c.TLS.KeyFile == "") {
		f.Add("callers.tls", "must name both certificate_file and key_file, or neither")
	}
}
