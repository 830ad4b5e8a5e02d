package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
	runs  map[string]int
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, begin: time.Now(), runs: make(map[string]int)}, err
}

func (r *recorder) note(kind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %-9s %s\n", time.Since(r.begin).Seconds(), kind, fmt.Sprintf(format, args...))
}

// ran counts that a server has begun to work on a request.
func (r *recorder) ran(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
}

func (r *recorder) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}
