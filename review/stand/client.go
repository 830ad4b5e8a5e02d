package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// newID returns the id of a new client attempt.
func newID() string {
	return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastRequest.Add(1))
}

// answer is what a client has got.
type answer struct {
	status    int
	signature string
	id        string
	body      string
	err       error
	took      time.Duration
}

// send sends one request on a new connection to an entry host. header holds further lines,
// each with its end.
func (d *deployment) send(p *process, method, host, uri, id string, deadline time.Duration, header, body string) answer {
	begin := time.Now()
	a := answer{}
	conn, err := net.DialTimeout("tcp", addr(p.ip, d.call), time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(begin.Add(deadline + time.Second))
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s", method, uri, host, word("id"), id, word("deadline"), deadline.Milliseconds(), header)
	if body != "" && !strings.Contains(header, "Transfer-Encoding") {
		request += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	go func() { _, _ = io.WriteString(conn, request+"\r\n"+body) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		a.err, a.took = err, time.Since(begin)
		return a
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a.status, a.signature, a.id, a.body, a.err = resp.StatusCode, resp.Header.Get(word("signature")), resp.Header.Get(word("id")), string(data), err
	a.took = time.Since(begin)
	return a
}

func (a answer) String() string {
	return fmt.Sprintf("status=%d signature=%q body=%q err=%v took=%s", a.status, a.signature, clipText(a.body), a.err, a.took.Round(time.Millisecond))
}

func clipText(s string) string {
	if len(s) > 120 {
		s = s[:120]
	}
	return s
}
