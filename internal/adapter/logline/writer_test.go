package logline_test

import (
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/adapter/logline"
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
	w := logline.NewWriter(to)
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
	w := logline.NewWriter(to)
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
