package soak

import (
	"net"
	"net/http"
)

// resetsFile returns the path of the file to which the target with the given record file
// writes the calls that it resets.
func resetsFile(record string) string {
	return record + ".resets"
}

// resettingTarget returns the index of the target that resets connections when it is full.
// It is not the one with a limit, which is the last, unless there is only one.
func (s *Soak) resettingTarget() int {
	return max(s.targetCount-2, 0)
}

// reset records a call and resets its connection, without an answer.
func (t *Target) reset(w http.ResponseWriter, r *http.Request) {
	if _, err := t.resets.WriteString(r.Header.Get(headerCall) + "\n"); err != nil {
		panic(http.ErrAbortHandler) // The connection is closed, and the run finds the call cut off.
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0) // Close then resets the connection.
	}
	conn.Close()
	panic(http.ErrAbortHandler)
}

// checkResets counts the calls that a target reset. It adds a fault for each that was
// answered without having run elsewhere; the other checks hold for them as for all calls.
func (r *Report) checkResets(records []callRecord, runs, resets map[string]int) {
	for i := range records {
		c := &records[i]
		if resets[c.id] == 0 {
			continue
		}
		r.Resets++
		if !c.idempotent && runs[c.id] > 0 {
			r.addFault(&r.RanTwice, c, "was sent again after a reset, though it is not idempotent")
		}
	}
}
