package entry

import (
	"context"
	"crypto/tls"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cardamomspool/io/setup"
)

// keyPair is a certificate that is read again when its files change.
type keyPair struct {
	files   setup.TLS
	current atomic.Pointer[tls.Certificate]
	stamp   string
}

const keyPairCheck = time.Second

// loadKeyPair reads the key pair that files name.
func loadKeyPair(files setup.TLS) (*keyPair, error) {
	k := &keyPair{files: files, stamp: stampOf(files)}
	return k, k.load()
}

func (k *keyPair) load() error {
	certificate, err := tls.LoadX509KeyPair(k.files.CertificateFile, k.files.KeyFile)
	if err != nil {
		return errors.Wrap(err, "entry: key pair for callers")
	}
	k.current.Store(&certificate)
	return nil
}

// follow reads the pair again when its files change, until ctx ends. A pair
// that can not be read leaves the former one in force.
func (k *keyPair) follow(ctx context.Context, interval time.Duration, log *slog.Logger) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.refresh(log)
		}
	}
}

func (k *keyPair) refresh(log *slog.Logger) {
	stamp := stampOf(k.files)
	if stamp == k.stamp {
		return
	}
	if err := k.load(); err != nil {
		log.Error("key pair not read; the former one stays in force", "error", err)
		return
	}
	k.stamp = stamp
	log.Info("key pair in force", "certificate_file", k.files.CertificateFile)
}

func (k *keyPair) config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.current.Load(), nil
		},
	}
}

// stampOf changes whenever one of the files does.
func stampOf(files setup.TLS) string {
	stamp := ""
	for _, name := range []string{files.CertificateFile, files.KeyFile} {
		info, err := os.Stat(name)
		if err != nil {
			stamp += "missing;"
			continue
		}
		stamp += info.ModTime().String() + ";"
	}
	return stamp
}
