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

// keyPair is a certificate that is reloaded when its files change.
type keyPair struct {
	files    setup.TLS
	current  atomic.Pointer[tls.Certificate]
	modTimes string // Of the files when they were last loaded; see modTimesOf.
}

const keyPairCheckInterval = time.Second

// loadKeyPair loads the key pair from files. It returns an error if they cannot be
// read or do not match.
func loadKeyPair(files setup.TLS) (*keyPair, error) {
	k := &keyPair{files: files, modTimes: modTimesOf(files)}
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

// watchFiles checks the files every interval and reloads the pair when they change,
// until ctx ends. When the new pair cannot be loaded, the previous one stays in
// force.
func (k *keyPair) watchFiles(ctx context.Context, interval time.Duration, log *slog.Logger) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			k.reloadIfChanged(log)
		}
	}
}

// reloadIfChanged reloads the pair if the modification time of a file has changed.
func (k *keyPair) reloadIfChanged(log *slog.Logger) {
	modTimes := modTimesOf(k.files)
	if modTimes == k.modTimes {
		return
	}
	if err := k.load(); err != nil {
		log.Error("key pair not read; the former one stays in force", "error", err)
		return
	}
	k.modTimes = modTimes
	log.Info("key pair in force", "certificate_file", k.files.CertificateFile)
}

// config returns a TLS configuration that uses the pair loaded last.
func (k *keyPair) config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return k.current.Load(), nil
		},
	}
}

// modTimesOf returns the modification times of the files as one string, which
// differs whenever one of them changes.
func modTimesOf(files setup.TLS) string {
	modTimes := ""
	for _, name := range []string{files.CertificateFile, files.KeyFile} {
		info, err := os.Stat(name)
		if err != nil {
			modTimes += "missing;"
			continue
		}
		modTimes += info.ModTime().String() + ";"
	}
	return modTimes
}
