package platform_test

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/adapter/platform"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// appendWord returns a change that appends a word to the value. The earlier
// words are kept, so that a later value shows whether the change was applied.
func appendWord(word string) platform.Change {
	applied := func(v platform.Value) bool { return strings.Contains(string(v.Data), word) }
	return func(old platform.Value) ([]byte, func(platform.Value) bool, error) {
		return append(append([]byte{}, old.Data...), word...), applied, nil
	}
}

// TestUpdateLostReply guards against a change that is made twice or reported as
// failed because the reply to its write was lost.
func TestUpdateLostReply(t *testing.T) {
	is := is.New(t)
	store, address := serveStore(t, nil)
	c := newClient(t, address, nil)
	store.LoseReplies(1)
	v, err := c.Update(t.Context(), "k", appendWord("a,"))
	is.NoErr(err)
	is.Equal(string(v.Data), "a,")
	is.Equal(store.Calls()["put"], 1)
	is.Equal(store.Calls()["get"], 2)

	store.LoseReplies(1)
	_, err = c.Update(t.Context(), "k", func(platform.Value) ([]byte, func(platform.Value) bool, error) {
		return []byte("b"), nil, nil
	})
	is.Equal(fault.KindOf(err), fault.StoreUnknown) // nothing tells whether it was written
}

// TestUpdateConcurrentWriters guards against a writer that overwrites the
// change of another one. The second writer writes between the read and the
// write of the first.
func TestUpdateConcurrentWriters(t *testing.T) {
	is := is.New(t)
	store, address := serveStore(t, nil)
	first, second := newClient(t, address, nil), newClient(t, address, nil)
	change, raced := appendWord("a,"), false
	v, err := first.Update(t.Context(), "k", func(old platform.Value) ([]byte, func(platform.Value) bool, error) {
		if !raced {
			raced = true
			_, err := second.Update(t.Context(), "k", appendWord("b,"))
			is.NoErr(err)
		}
		return change(old)
	})
	is.NoErr(err)
	is.Equal(string(v.Data), "b,a,")
	is.Equal(first.Stats().Conflicts, uint64(1))
	is.Equal(store.Calls()["put"], 3)

	done := make(chan error)
	const writers = 4
	for i := range writers {
		c := newClient(t, address, nil)
		go func() {
			_, err := c.Update(t.Context(), "k", appendWord(strconv.Itoa(i)+","))
			done <- err
		}()
	}
	for range writers {
		is.NoErr(<-done)
	}
	v, err = first.Get(t.Context(), "k")
	is.NoErr(err)
	is.Equal(len(v.Data), 2*(2+writers)) // each word once
}

// TestUpdateWaitsForBudget guards against an update that fails because other
// calls have spent the budget, although enough of it is back within a second.
func TestUpdateWaitsForBudget(t *testing.T) {
	is := is.New(t)
	clk := newManualClock()
	_, address := serveStore(t, clk)
	c := newClient(t, address, clk)
	for range 20 {
		_, err := c.Get(t.Context(), "k")
		is.NoErr(err)
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.Update(t.Context(), "k", appendWord("a,"))
		done <- err
	}()
	// The read and the write need one call each.
	for calls := range uint64(2) {
		eventually(t, "the update waits", func() bool {
			return c.Stats().Unbudgeted == calls+1 && clk.pending() == 1
		})
		clk.advance(200 * time.Millisecond)
	}
	is.NoErr(<-done)
	is.Equal(c.Stats().Calls["put"], uint64(1))
}

// TestUpdateCancelledAfterLostReply guards against an update that reports that
// its write was not made although it may have been: the reply to the write is
// lost, the next reads fail, and then the context is cancelled. Without such a
// write, the error of the change function is returned as it is.
func TestUpdateCancelledAfterLostReply(t *testing.T) {
	is := is.New(t)
	clk := newManualClock()
	store, address := serveStore(t, clk)
	c := newClient(t, address, clk)
	ctx, cancel := context.WithCancel(t.Context())
	store.LoseReplies(1)
	done := make(chan error)
	go func() {
		_, err := c.Update(ctx, "k", appendWord("a,"))
		done <- err
	}()
	eventually(t, "the reply is lost", func() bool { return c.Stats().Failures == 1 })
	store.SetDown(true)
	eventually(t, "the next read fails", func() bool {
		clk.advance(time.Second)
		return c.Stats().Failures > 1
	})
	cancel()
	is.Equal(fault.KindOf(<-done), fault.StoreUnknown)

	store.SetDown(false)
	clk.advance(time.Minute)
	fresh := newClient(t, address, clk)
	_, err := fresh.Update(t.Context(), "k", func(platform.Value) ([]byte, func(platform.Value) bool, error) {
		return nil, nil, fault.New(fault.ApplyConflict, fault.RanNo)
	})
	is.Equal(fault.KindOf(err), fault.ApplyConflict)
}
