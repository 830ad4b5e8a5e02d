package entry

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cardamomspool/core/member"
	"cardamomspool/core/reach"
	"cardamomspool/core/spec"
	"cardamomspool/io/setup"
)

type (
	// cutTarget answers each request with the first bytes of an answer and then ends the
	// connection.
	cutTarget struct {
		*rawTarget
		cut      atomic.Pointer[answerCut]
		requests atomic.Int64
	}

	// answerCut is the part of an answer that is sent, and how the connection ends.
	answerCut struct {
		text   string
		resets bool
		keeps  bool // The connection stays open, as the answer says.
	}

	// cutWay is a way from callers to a cutTarget.
	cutWay struct {
		name string
		// connect returns the call address of a host and the path of an idempotent and of
		// another call.
		connect func(t *testing.T, target *cutTarget) (address, idempotent, other string)
	}
)

// cutAnswers are whole answers. Those without a length end with their connection.
var cutAnswers = []struct {
	name, text string
	lengthless bool
}{
	{"of known length", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nhello", false},
	{"in chunks, with a trailer", "HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;a=b\r\nllo\r\n0\r\nX-Sum: 7\r\n\r\n", false},
	{"after early hints", "HTTP/1.1 103 Early Hints\r\nLink: </a.css>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", false},
	{"after 100 Continue", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", false},
	{"of HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello", false},
	{"without a length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello", true},
	{"of HTTP/1.0 without a length", "HTTP/1.0 200 OK\r\n\r\nhello", true},
}

func newCutTarget(t *testing.T) *cutTarget {
	target := &cutTarget{}
	target.rawTarget = newRawTarget(t, func(c *rawConn) {
		for c.readRequest() != nil {
			target.requests.Add(1)
			cut := target.cut.Load()
			c.send(cut.text)
			if cut.resets {
				c.reset()
			}
			if !cut.keeps {
				return
			}
		}
	})
	return target
}

// cutWays are the ways of an answer through one host, which sends idempotent calls again, and
// through another entry host, whose own answer breaks off in the last one.
var cutWays = []cutWay{
	{"direct", func(t *testing.T, target *cutTarget) (string, string, string) {
		b := newTestBed(t, func(doc *spec.Service, _ *setup.Entry) { doc.Retry.Attempts = 2 }, target.address)
		return b.address, "GET /x", "POST /x"
	}},
	{"carried", func(t *testing.T, target *cutTarget) (string, string, string) {
		h, url := newCarryingHost(t, target.address)
		newFleetHost(t, h.cfg.Fleet.Seeds[0])
		gomega.NewWithT(t).Eventually(func() int { return len(listEntries(h)) }, testTimeout, time.Millisecond).Should(gomega.Equal(1))
		h.links.AddCarriers(listEntries(h))
		return url, "GET /a/x", "POST /u/x"
	}},
	{"cut by the carrier", func(t *testing.T, target *cutTarget) (string, string, string) {
		h, url := newCarryingHost(t, freeAddress(t))
		h.links.AddCarriers([]reach.Carrier{{Address: target.address, DataCentre: "lab"}})
		return url, "GET /a/x", "POST /u/x"
	}},
}

// newCarryingHost starts a host of a fleet whose link to the target at address is cut.
func newCarryingHost(t *testing.T, address netip.AddrPort) (*Host, string) {
	report := rosterTarget("t", address, member.Ready)
	control := newPlannedControl(t, cutPlan(), report)
	control.state.UpdateTargets(true, report)
	h, _ := newFleetHost(t, control.address)
	links := newTargetLinks(t, h)
	links.add(address)
	links.begin(cutMode{refuses: true})
	return h, h.cfg.CallAddress.String()
}

// isWholeSuccess reports whether a caller takes what it got for the whole answer of a success.
// reset says that its connection was reset.
func isWholeSuccess(got string, reset bool) bool {
	reader := bufio.NewReader(strings.NewReader(got))
	for {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return false
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
		return resp.StatusCode < http.StatusMultipleChoices && err == nil && (framed || !reset)
	}
}

// cuts returns the cuts of an answer: closed and reset after each byte but the last one, and
// reset after it if the answer has no length.
func cuts(text string, lengthless bool) []answerCut {
	var list []answerCut
	body := strings.LastIndex(text, "\r\n\r\n") + len("\r\n\r\n")
	for n := range text {
		list = append(list, answerCut{text: text[:n], resets: true})
		if !lengthless || n < body {
			list = append(list, answerCut{text: text[:n]})
		}
	}
	if lengthless {
		list = append(list, answerCut{text: text, resets: true})
	}
	return list
}

// cutRequest returns a request with a body.
func cutRequest(call, version string) string {
	return fmt.Sprintf("%s %s\r\nHost: shop.example\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello", call, version)
}

// Guards against an answer that breaks off at any byte and reaches the caller as a complete
// success, with less than the whole body.
func TestAnswerThatBreaksOffIsNoSuccess(t *testing.T) {
	for _, way := range cutWays {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(way.name+", "+version, func(t *testing.T) {
				t.Parallel()
				target := newCutTarget(t)
				address, idempotent, other := way.connect(t, target)
				b := &testBed{address: address}
				for _, answer := range cutAnswers {
					target.cut.Store(&answerCut{text: answer.text, keeps: !answer.lengthless && !strings.HasPrefix(answer.text, "HTTP/1.0")})
					for _, call := range []string{idempotent, other} {
						if got, reset := b.session(t, cutRequest(call, version)); !isWholeSuccess(got, reset) {
							t.Errorf("%s, %s, whole: %q", call, answer.name, got)
						}
					}
				}
				for _, answer := range cutAnswers {
					reached := 0
					all := cuts(answer.text, answer.lengthless)
					for _, cut := range all {
						target.cut.Store(&cut)
						for _, call := range []string{idempotent, other} {
							before := target.requests.Load()
							if got, reset := b.session(t, cutRequest(call, version)); isWholeSuccess(got, reset) {
								t.Errorf("%s, %s, cut after %d bytes, reset %t: %q", call, answer.name, len(cut.text), cut.resets, got)
							}
							if target.requests.Load() > before {
								reached++
							}
						}
					}
					if reached < len(all) {
						t.Errorf("%s: %d of %d calls reached the target", answer.name, reached, 2*len(all))
					}
				}
			})
		}
	}
}
