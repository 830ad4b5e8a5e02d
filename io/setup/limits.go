package setup

import (
	"net/netip"
	"time"

	"cardamomspool/core/strict"
)

type (
	// Callers holds the limits that an entry host sets to its callers, and its
	// TLS settings. A zero limit means the default; see WithDefaults.
	Callers struct {
		// MaxConnections is the largest number of connections that callers may
		// have open; one more is answered with 503 and closed.
		MaxConnections int `json:"max_connections"`
		// MaxHeaderBytes is the longest header of a request, in bytes.
		MaxHeaderBytes int `json:"max_header_bytes"`
		// MaxBodyBytes is the longest body of a request, in bytes.
		MaxBodyBytes int `json:"max_body_bytes"`
		// HeaderTimeout is the longest time to receive a header.
		HeaderTimeout strict.Duration `json:"header_timeout"`
		// IdleTimeout is the longest time that a connection stays open without
		// a request.
		IdleTimeout strict.Duration `json:"idle_timeout"`
		// TrustedProxies lists networks. X-Forwarded-For and related header
		// fields are passed on for callers in them and replaced for all others.
		TrustedProxies []netip.Prefix `json:"trusted_proxies"`
		// TLS names the key pair for TLS with callers.
		TLS TLS `json:"tls"`
	}

	// TLS names the PEM files of a certificate and its private key. The files
	// are read again when they change. Empty paths disable TLS.
	TLS struct {
		// CertificateFile holds the certificate chain.
		CertificateFile string `json:"certificate_file"`
		// KeyFile holds the private key.
		KeyFile string `json:"key_file"`
	}
)

// Defaults and bounds of Callers.
const (
	// MaxHeaderBytesLimit is the longest header that may be allowed.
	MaxHeaderBytesLimit = 1 << 20

	DefaultMaxConnections = 10_000
	DefaultMaxHeaderBytes = 32 << 10
	DefaultMaxBodyBytes   = 256 << 20
	DefaultHeaderTimeout  = 5 * time.Second
	DefaultIdleTimeout    = 90 * time.Second
	DefaultDrainDelay     = 5 * time.Second

	maxConnections   = 1_000_000
	maxHeaderBytes   = MaxHeaderBytesLimit
	maxBodyBytes     = 1 << 40
	maxIdleTimeout   = time.Hour
	maxHeaderTimeout = time.Minute
)

// Enabled reports whether TLS is enabled.
func (t TLS) Enabled() bool {
	return t.CertificateFile != ""
}

// WithDefaults returns c with zero limits replaced by their defaults.
func (c Callers) WithDefaults() Callers {
	setDefault(&c.MaxConnections, DefaultMaxConnections)
	setDefault(&c.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&c.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&c.HeaderTimeout, strict.Duration(DefaultHeaderTimeout))
	setDefault(&c.IdleTimeout, strict.Duration(DefaultIdleTimeout))
	return c
}

// setDefault sets *v to value when it is zero.
func setDefault[T int | strict.Duration](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}

// validate adds the faults of the limits to f.
func (c *Callers) validate(f *strict.Faults) {
	f.CheckRange("callers.max_connections", c.MaxConnections, 0, maxConnections)
	f.CheckRange("callers.max_header_bytes", c.MaxHeaderBytes, 0, maxHeaderBytes)
	f.CheckRange("callers.max_body_bytes", c.MaxBodyBytes, 0, maxBodyBytes)
	f.CheckDurationRange("callers.header_timeout", c.HeaderTimeout, 0, maxHeaderTimeout)
	f.CheckDurationRange("callers.idle_timeout", c.IdleTimeout, 0, maxIdleTimeout)
	if (c.TLS.CertificateFile == "") != (c.TLS.KeyFile == "") {
		f.Add("callers.tls", "must name both certificate_file and key_file, or neither")
	}
}
