// Package logline writes log lines to a slow or stopped reader without holding
// up the process.
package logline

import (
	"io"
	"strconv"
	"sync/atomic"

	"hornbeamlift.example/hornbeamlift/internal/core/clock"
)

// Writer passes lines on from a goroutine of its own. Lines that find the
// backlog full, or the number of a second reached, are dropped and counted.
// Write is called by one goroutine at a time, as loggers do.
type Writer struct {
	clock clock.Clock
	// second is the one that count lines were taken in.
	second  int64
	count   int
	lines   chan []byte
	to      io.Writer
	dropped atomic.Uint64
}

// backlog bounds the lines that wait, maxLine the length of one, in bytes, and
// maxRate the lines of a second. At 10 us a line they take 1% of a core.
const (
	backlog = 2048
	maxLine = 4096
	maxRate = 1000
)

// NewWriter returns a writer whose run goroutine lives as long as the process.
func NewWriter(to io.Writer, c clock.Clock) *Writer {
	w := &Writer{clock: c, lines: make(chan []byte, backlog), to: to}
	go w.run()
	return w
}

// Write queues one line and never blocks.
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
