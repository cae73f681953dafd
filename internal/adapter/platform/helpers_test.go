package platform_test

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/adapter/platform"
	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	standin "hornbeamlift.example/hornbeamlift/internal/standin/platform"
)

// waitTimeout bounds waits for a condition; no result depends on its value.
const waitTimeout = 10 * time.Second

// manualClock is a clock that moves only when advance is called.
type manualClock struct {
	clock.Clock
	mu     sync.Mutex
	now    time.Time
	timers map[*manualTimer]bool
}

type manualTimer struct {
	clock *manualClock
	at    time.Time
	f     func()
}

func newManualClock() *manualClock {
	return &manualClock{now: time.Unix(1000, 0), timers: map[*manualTimer]bool{}}
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) AfterFunc(d time.Duration, f func()) clock.Timer {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &manualTimer{clock: c, at: c.now.Add(d), f: f}
	c.timers[t] = true
	return t
}

func (t *manualTimer) Stop() bool {
	t.clock.mu.Lock()
	defer t.clock.mu.Unlock()
	pending := t.clock.timers[t]
	delete(t.clock.timers, t)
	return pending
}

// pending returns the number of timers that are set.
func (c *manualClock) pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.timers)
}

// advance moves the clock and runs the timers that are due.
func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	c.now = c.now.Add(d)
	due := maps.Clone(c.timers)
	maps.DeleteFunc(due, func(t *manualTimer, _ bool) bool { return t.at.After(c.now) })
	maps.DeleteFunc(c.timers, func(t *manualTimer, _ bool) bool { return due[t] })
	c.mu.Unlock()
	for t := range due {
		t.f()
	}
}

// eventually waits until done returns true; what names the condition.
func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// serveStore runs a fake store until the test ends and returns it with its
// address.
func serveStore(t *testing.T, clk clock.Clock) (*standin.Store, string) {
	t.Helper()
	store := standin.NewStore(standin.StoreSettings{Clock: clk})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- store.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		is.New(t).NoErr(<-done)
	})
	return store, l.Addr().String()
}

func newClient(t *testing.T, address string, clk clock.Clock) *platform.Client {
	t.Helper()
	c, err := platform.New(platform.Settings{Address: address, Clock: clk, Random: rand.New(rand.NewPCG(1, 2))})
	is.New(t).NoErr(err)
	t.Cleanup(c.Close)
	return c
}
