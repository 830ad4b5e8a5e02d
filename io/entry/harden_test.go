package entry

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
	"cardamomspool/core/wire"
	"cardamomspool/io/setup"
)

const head = "POST /x HTTP/1.1\r\nHost: h\r\n"

// badInputs are requests that must not reach a target.
var badInputs = []struct{ name, request string }{
	{"content length beside transfer encoding", head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /y HTTP/1.1\r\nHost: h\r\n\r\n"},
	{"the same in the other order", head + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n"},
	{"two lengths", head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx"},
	{"length with a sign", head + "Content-Length: +1\r\n\r\nx"},
	{"negative length", head + "Content-Length: -1\r\n\r\nx"},
	{"length too large", head + "Content-Length: 99999999999\r\n\r\nx"},
	{"unknown transfer encoding", head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"},
	{"two transfer encodings", head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n"},
	{"disguised transfer encoding", head + "Transfer-Encoding: \x0bchunked\r\n\r\n0\r\n\r\n"},
	{"blank before the colon", head + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n"},
	{"bad chunk size", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhello\r\n0\r\n\r\n"},
	{"negative chunk size", head + "Transfer-Encoding: chunked\r\n\r\n-1\r\nhello\r\n0\r\n\r\n"},
	{"huge chunk size", head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nhello\r\n0\r\n\r\n"},
	{"folded line", head + "X-A: 1\r\n Transfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n"},
	{"folded first line", "GET /x HTTP/1.1\r\n X: 1\r\nHost: h\r\n\r\n"},
	{"no colon", head + "nonsense\r\n\r\n"},
	{"control character in a value", head + "X-A: a\x00b\r\n\r\n"},
	{"bare return in a value", head + "X-A: a\rSpool-Call: b\r\n\r\n"},
	{"bad name", head + "X(A): 1\r\n\r\n"},
	{"no host", "GET /x HTTP/1.1\r\n\r\n"},
	{"two hosts", "GET /x HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n"},
	{"bad host", "GET /x HTTP/1.1\r\nHost: a b\r\n\r\n"},
	{"old version", "GET /x HTTP/9.9\r\nHost: h\r\n\r\n"},
	{"no version", "GET /x\r\nHost: h\r\n\r\n"},
	{"header too long", head + "X-A: " + strings.Repeat("a", 64<<10) + "\r\n\r\n"},
	{"connect", "CONNECT x:1 HTTP/1.1\r\nHost: x:1\r\n\r\n"},
	{"trace", "TRACE /x HTTP/1.1\r\nHost: h\r\n\r\n"},
	{"dot segment", "GET /open/../closed HTTP/1.1\r\nHost: h\r\n\r\n"},
	{"encoded dot segment", "GET /open/%2e%2E/closed HTTP/1.1\r\nHost: h\r\n\r\n"},
	{"dot segment with a parameter", "GET /open/..;a=b/closed HTTP/1.1\r\nHost: h\r\n\r\n"},
	{"encoded slash", "GET /open%2Fclosed HTTP/1.1\r\nHost: h\r\n\r\n"},
	{"encoded backslash", "GET /open%5c..%5cclosed HTTP/1.1\r\nHost: h\r\n\r\n"},
	{"encoded end of line", "GET /open%0d%0aX:1 HTTP/1.1\r\nHost: h\r\n\r\n"},
	{"unknown expectation", head + "Expect: miracles\r\nContent-Length: 1\r\n\r\nx"},
	{"stalled header", head + "X-A: "},
}

func TestBadInputReachesNoTarget(t *testing.T) {
	for _, row := range badInputs {
		t.Run(row.name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			target := newRawTarget(t, respondWith(okResponse))
			b := newTestBed(t, func(_ *spec.Service, cfg *setup.Entry) {
				cfg.Callers.HeaderTimeout = strict.Duration(200 * time.Millisecond)
			}, target.address)
			raw, _ := b.session(t, row.request)
			answer := firstAnswer(raw)
			if row.name == "stalled header" && answer == nil {
				g.Expect(raw).To(gomega.BeEmpty())
			} else {
				g.Expect(answer).NotTo(gomega.BeNil(), "no answer")
				g.Expect(answer.StatusCode).To(gomega.Or(gomega.And(gomega.BeNumerically(">=", 400), gomega.BeNumerically("<", 500)),
					gomega.Equal(501), gomega.Equal(505)), raw)
			}
			g.Expect(strings.Count(raw, "HTTP/1.1 ")).To(gomega.BeNumerically("<=", 1), raw)
			g.Expect(target.accepted()).To(gomega.BeEmpty(), "forwarded")
			g.Eventually(b.logs.String, testTimeout).Should(gomega.ContainSubstring("request refused"))
		})
	}
}

// TestBadLaterChunkTruncatesRequest sends a valid first chunk and then an invalid
// one. The target must not receive a complete request.
func TestBadLaterChunkTruncatesRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	var complete bool
	ended := make(chan struct{})
	target := newRawTarget(t, func(c *rawConn) {
		defer close(ended)
		complete = c.readRequest() != nil
	})
	b := newTestBed(t, nil, target.address)
	c := b.dial(t)
	io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
	g.Eventually(target.connsWithData, testTimeout).Should(gomega.Equal(1))
	answer, _ := c.call(t, "zz\r\n")
	g.Expect(answer.StatusCode).To(gomega.Equal(http.StatusBadRequest))
	g.Expect(answer.Header.Get(wire.HeaderOutcome)).To(gomega.Equal("unknown"))
	g.Eventually(ended, testTimeout).Should(gomega.BeClosed())
	g.Expect(complete).To(gomega.BeFalse())
}

func TestConnectionsBeyondLimitAreRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	target := newRawTarget(t, respondWith(okResponse))
	b := newTestBed(t, func(_ *spec.Service, cfg *setup.Entry) { cfg.Callers.MaxConnections = 2 }, target.address)
	g.Eventually(func() int { // Until the host has seen newTestBed close its connection.
		first := b.dial(t)
		answer, _ := first.call(t, keepAliveGet)
		first.Close()
		return answer.StatusCode
	}, testTimeout).Should(gomega.Equal(http.StatusOK))
	time.Sleep(50 * time.Millisecond)
	first, second := b.dial(t), b.dial(t)
	first.call(t, keepAliveGet)
	second.call(t, keepAliveGet)
	raw, _ := b.session(t, keepAliveGet)
	g.Expect(finalAnswer(raw).StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(finalAnswer(raw).Header.Get(wire.HeaderOutcome)).To(gomega.Equal("not_run"))
	first.Close()
	g.Eventually(func() int {
		raw, _ := b.session(t, get)
		return finalAnswer(raw).StatusCode
	}, testTimeout).Should(gomega.Equal(http.StatusOK))
}

func TestForwardingFieldsOfTrustedProxiesAreKept(t *testing.T) {
	g := gomega.NewWithT(t)
	target := newRawTarget(t, respondWith(okResponse))
	b := newTestBed(t, func(_ *spec.Service, cfg *setup.Entry) {
		cfg.Callers.TrustedProxies = []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}
	}, target.address)
	b.session(t, "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nX-Forwarded-For: 192.0.2.1\r\nX-Forwarded-Proto: https\r\n\r\n")
	g.Expect(target.received()[0]).To(gomega.ContainSubstring("X-Forwarded-For: 192.0.2.1, 127.0.0.1\r\n"))
	g.Expect(target.received()[0]).To(gomega.ContainSubstring("X-Forwarded-Proto: https\r\n"))
}

// writeKeyPair writes a self-signed certificate for 127.0.0.1 with the given serial
// number, and its key.
func writeKeyPair(t *testing.T, files setup.TLS, serial int64) {
	t.Helper()
	g := gomega.NewWithT(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(os.WriteFile(files.CertificateFile, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600)).To(gomega.Succeed())
	g.Expect(os.WriteFile(files.KeyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}), 0o600)).To(gomega.Succeed())
}

func TestTLSReloadsChangedFiles(t *testing.T) {
	g := gomega.NewWithT(t)
	folder := t.TempDir()
	files := setup.TLS{CertificateFile: filepath.Join(folder, "c.pem"), KeyFile: filepath.Join(folder, "k.pem")}
	writeKeyPair(t, files, 1)
	target := newRawTarget(t, respondWith(okResponse))
	b := newTestBed(t, func(_ *spec.Service, cfg *setup.Entry) { cfg.Callers.TLS = files }, target.address)
	serial := func() int64 {
		conn, err := tls.Dial("tcp", b.address, &tls.Config{InsecureSkipVerify: true})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer conn.Close()
		return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	g.Expect(serial()).To(gomega.BeEquivalentTo(1))
	writeKeyPair(t, files, 2)
	g.Eventually(serial, testTimeout, 50*time.Millisecond).Should(gomega.BeEquivalentTo(2))
	g.Expect(os.WriteFile(files.KeyFile, []byte("half"), 0o600)).To(gomega.Succeed())
	g.Eventually(b.logs.String, testTimeout).Should(gomega.ContainSubstring("key pair not read"))
	g.Expect(serial()).To(gomega.BeEquivalentTo(2))
}

// TestCutAnswerFailsOverTLS has a target cut its response short. A caller with
// HTTP/1.1 or HTTP/2 over TLS must get an error.
func TestCutAnswerFailsOverTLS(t *testing.T) {
	for name, http2 := range map[string]bool{"http/1.1": false, "http/2": true} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			folder := t.TempDir()
			files := setup.TLS{CertificateFile: filepath.Join(folder, "c.pem"), KeyFile: filepath.Join(folder, "k.pem")}
			writeKeyPair(t, files, 1)
			cut := newRawTarget(t, respondWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"))
			b := newTestBed(t, func(_ *spec.Service, cfg *setup.Entry) { cfg.Callers.TLS = files }, cut.address)
			client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{
				TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, ForceAttemptHTTP2: http2,
			}}
			answer, err := client.Post("https://"+b.address+"/x", "text/plain", strings.NewReader("body"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer answer.Body.Close()
			g.Expect(answer.ProtoMajor == 2).To(gomega.Equal(http2))
			_, err = io.ReadAll(answer.Body)
			g.Expect(err).To(gomega.HaveOccurred())
		})
	}
}
