package main

import (
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// record writes what a case sends, receives and observes to a file, each line
// with the time since the case began in milliseconds.
type record struct {
	mu    sync.Mutex
	out   io.WriteCloser
	begin time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{out: f, begin: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8d ms  %s\n", time.Since(r.begin).Milliseconds(), fmt.Sprintf(format, args...))
}
