package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start
// of the play, and collects the broken rules.
type record struct {
	mu     sync.Mutex
	begin  time.Time
	file   *os.File
	out    *bufio.Writer
	broken []string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begin: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// note writes one line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(fmt.Sprintf(format, args...))
}

func (r *record) line(text string) {
	_, _ = fmt.Fprintf(r.out, "%9.3f %s\n", time.Since(r.begin).Seconds(), text)
}

// breaks writes that a rule was broken.
func (r *record) breaks(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := "BROKEN " + rule + ": " + fmt.Sprintf(format, args...)
	r.broken = append(r.broken, text)
	r.line(text)
}

func (r *record) brokenRules() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.broken...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
