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

// blocked is a reader that has stopped reading until it is released.
type blocked struct {
	mu      sync.Mutex
	lines   []string
	release chan struct{}
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, string(p))
	return len(p), nil
}

func (b *blocked) count(text string) int {
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

// TestStoppedReader guards against a log whose reader stops and stalls the
// process, and against lines that are dropped without a count.
func TestStoppedReader(t *testing.T) {
	is := is.New(t)
	to := &blocked{release: make(chan struct{})}
	w := logline.NewWriter(to, clock.System{})
	for range 10_000 {
		n, err := w.Write([]byte("a line\n"))
		is.NoErr(err)
		is.Equal(n, 7)
	}
	is.True(w.Dropped() > 7000)
	close(to.release)
	for to.count("log lines were dropped") == 0 {
		runtime.Gosched()
	}
}

// TestLongLine guards against lines that fill the memory.
func TestLongLine(t *testing.T) {
	is := is.New(t)
	to := &blocked{release: make(chan struct{})}
	close(to.release)
	w := logline.NewWriter(to, clock.System{})
	long := []byte(strings.Repeat("x", 1<<20) + "\n")
	_, err := w.Write(long)
	is.NoErr(err)
	for to.count("x") == 0 {
		runtime.Gosched()
	}
	to.mu.Lock()
	defer to.mu.Unlock()
	is.True(len(to.lines[0]) <= 4096 && strings.HasSuffix(to.lines[0], "\n"))
}

// still is a clock that a test sets.
type still struct {
	clock.System
	now time.Time
}

func (s *still) Now() time.Time { return s.now }

// TestRate guards against logs that grow with the load without bound.
func TestRate(t *testing.T) {
	is := is.New(t)
	to := &blocked{release: make(chan struct{})}
	close(to.release)
	clk := &still{now: time.Unix(1_800_000_000, 0)}
	w := logline.NewWriter(to, clk)
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
	for to.count("log lines were dropped") == 0 {
		runtime.Gosched()
	}
}
