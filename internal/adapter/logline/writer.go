// Package logline writes log lines to a slow or stopped reader without holding
// up the process.
package logline

import (
	"io"
	"strconv"
	"sync/atomic"
)

// Writer passes lines on from a goroutine of its own. Lines that find the
// backlog full are dropped and counted.
type Writer struct {
	lines   chan []byte
	to      io.Writer
	dropped atomic.Uint64
}

// backlog bounds the lines that wait, and maxLine the length of one, in bytes.
const (
	backlog = 2048
	maxLine = 4096
)

// NewWriter returns a writer whose run goroutine lives as long as the process.
func NewWriter(to io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, backlog), to: to}
	go w.run()
	return w
}

// Write queues one line and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	n := len(line)
	if n > maxLine {
		line = append(line[:maxLine-1:maxLine-1], '\n')
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return n, nil
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

func (w *Writer) run() {
	var told uint64
	for line := range w.lines {
		if n := w.dropped.Load(); n != told {
			told = n
			_, _ = io.WriteString(w.to, `{"level":"warning","msg":"log lines were dropped","dropped":`+strconv.FormatUint(n, 10)+"}\n")
		}
		// There is nowhere left to report a failure to write the log.
		_, _ = w.to.Write(line)
	}
}
