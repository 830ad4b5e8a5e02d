package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

type (
	// reply is what a client sees of one request.
	reply struct {
		status int // 0 for no whole answer.
		signed bool
		body   string
		err    error
	}
)

const dialTimeout = time.Second

// request sends one request on a new connection to the entry host i and waits for its answer.
func (b *bench) request(i int, id, method, host, path, body string, deadline time.Duration) reply {
	var r reply
	conn, err := net.DialTimeout("tcp", b.frontAddress(i), dialTimeout)
	if err != nil {
		return reply{err: err}
	}
	defer conn.Close()
	if err = conn.SetDeadline(time.Now().Add(deadline)); err != nil {
		return reply{err: err}
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nConnection: close\r\n",
		method, path, host, word("id"), id, word("deadline"), deadline.Milliseconds())
	if method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(body))
	}
	text.WriteString("\r\n" + body)
	if _, err = io.WriteString(conn, text.String()); err != nil {
		return reply{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{err: err}
	}
	r = reply{status: resp.StatusCode, signed: resp.Header.Get(word("signature")) != "", body: string(data)}
	return r
}
