// Package logline writes log lines without blocking the process when the reader
// of the log is slow or has stopped reading.
package logline

import (
	"io"
	"strconv"
	"sync/atomic"

	"hornbeamlift.example/hornbeamlift/internal/core/clock"
)

// Writer queues lines and writes them from its own goroutine. It drops and
// counts lines that arrive while the queue is full or after the limit of the
// current second is reached. Write must be called by one goroutine at a time,
// as loggers do.
type Writer struct {
	clock clock.Clock
	// second is the current second of Unix time, and count the number of lines
	// that were passed to Write in it.
	second  int64
	count   int
	queue   chan []byte
	out     io.Writer
	dropped atomic.Uint64
}

// maxQueued is the largest number of queued lines, maxLine the longest line in
// bytes, and maxRate the largest number of lines per second. At 10 us a line,
// that many lines take 1% of a core.
const (
	maxQueued = 2048
	maxLine   = 4096
	maxRate   = 1000
)

// NewWriter returns a Writer that writes to out. Its goroutine runs until the
// process exits.
func NewWriter(out io.Writer, c clock.Clock) *Writer {
	w := &Writer{clock: c, queue: make(chan []byte, maxQueued), out: out}
	go w.run()
	return w
}

// Write queues one line and never blocks. It truncates lines longer than
// maxLine. It returns the length of the line and no error, also for a line that
// it drops.
func (w *Writer) Write(line []byte) (int, error) {
	n := len(line)
	if now := w.clock.Now().Unix(); now != w.second {
		w.second, w.count = now, 0
	}
	if w.count++; w.count > maxRate {
		w.dropped.Add(1)
		return n, nil
	}
	if n > maxLine {
		line = append(line[:maxLine-1:maxLine-1], '\n')
	}
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return n, nil
}

// Dropped returns the number of lines that were dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

func (w *Writer) run() {
	var reported uint64
	for line := range w.queue {
		if n := w.dropped.Load(); n != reported {
			reported = n
			_, _ = io.WriteString(w.out, `{"level":"warning","msg":"log lines were dropped","dropped":`+strconv.FormatUint(n, 10)+"}\n")
		}
		// A failure to write the log cannot be reported anywhere else.
		_, _ = w.out.Write(line)
	}
}
