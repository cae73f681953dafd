package logline_test

import (
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/adapter/logline"
	"hornbeamlift.example/hornbeamlift/internal/core/clock"
)

// blockedWriter blocks writes until release is closed, like a pipe whose reader
// has stopped reading. It then records the lines.
type blockedWriter struct {
	mu      sync.Mutex
	lines   []string
	release chan struct{}
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, string(p))
	return len(p), nil
}

// count returns the number of recorded lines that contain text.
func (b *blockedWriter) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, l := range b.lines {
		if strings.Contains(l, text) {
			n++
		}
	}
	return n
}

// TestStoppedReader guards against a process that blocks when the reader of its
// log stops reading, and against dropped lines that are not counted and
// reported.
func TestStoppedReader(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := logline.NewWriter(out, clock.System{})
	for range 10_000 {
		n, err := w.Write([]byte("a line\n"))
		is.NoErr(err)
		is.Equal(n, 7)
	}
	is.True(w.Dropped() > 7000)
	close(out.release)
	for out.count("log lines were dropped") == 0 {
		runtime.Gosched()
	}
}

// TestLongLineTruncated guards against long lines that use up the memory while
// they are queued.
func TestLongLineTruncated(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	close(out.release)
	w := logline.NewWriter(out, clock.System{})
	long := []byte(strings.Repeat("x", 1<<20) + "\n")
	_, err := w.Write(long)
	is.NoErr(err)
	for out.count("x") == 0 {
		runtime.Gosched()
	}
	out.mu.Lock()
	defer out.mu.Unlock()
	is.True(len(out.lines[0]) <= 4096 && strings.HasSuffix(out.lines[0], "\n"))
}

// fakeClock is a clock that shows the time that a test has set.
type fakeClock struct {
	clock.System
	now time.Time
}

func (s *fakeClock) Now() time.Time { return s.now }

// TestRateLimit guards against a log volume that grows with the load without
// limit.
func TestRateLimit(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	close(out.release)
	clk := &fakeClock{now: time.Unix(1_800_000_000, 0)}
	w := logline.NewWriter(out, clk)
	write := func(lines int) {
		for range lines {
			_, err := w.Write([]byte("a line\n"))
			is.NoErr(err)
		}
	}
	write(2500)
	is.Equal(w.Dropped(), uint64(1500))
	clk.now = clk.now.Add(time.Second)
	write(1)
	is.Equal(w.Dropped(), uint64(1500))
	for out.count("log lines were dropped") == 0 {
		runtime.Gosched()
	}
}
