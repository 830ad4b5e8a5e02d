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

// resettingTarget returns the index of the target that resets connections when it is full,
// or -1 in a gentle run: its resets cut calls off, and entry hosts may take their links to it
// as lost and have calls carried, which faults between hosts then break. It is not the target
// with a limit, which is the last, unless there is only one.
func (s *Soak) resettingTarget() int {
	if s.gentle {
		return -1
	}
	return max(s.targetCount-2, 0)
}

// readResets returns how often each call was reset by a target, by its id.
func (s *Soak) readResets() (map[string]int, error) {
	i := s.resettingTarget()
	if i < 0 {
		return nil, nil
	}
	return readRuns([]string{resetsFile(s.recordFiles[i])})
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
