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

// appendOnce returns a change that appends a word to the value, and keeps the
// earlier words so that it can be recognized later.
func appendOnce(word string) platform.Change {
	mine := func(v platform.Value) bool { return strings.Contains(string(v.Data), word) }
	return func(old platform.Value) ([]byte, func(platform.Value) bool, error) {
		return append(append([]byte{}, old.Data...), word...), mine, nil
	}
}

// TestUpdateLostReply guards against a change that is made twice, or reported
// as failed, because the reply to its write was lost.
func TestUpdateLostReply(t *testing.T) {
	is := is.New(t)
	store, address := serveStore(t, nil)
	c := newClient(t, address, nil)
	store.LoseReplies(1)
	v, err := c.Update(t.Context(), "k", appendOnce("a,"))
	is.NoErr(err)
	is.Equal(string(v.Data), "a,")
	is.Equal(store.Calls()["put"], 1)
	is.Equal(store.Calls()["get"], 2)

	store.LoseReplies(1)
	_, err = c.Update(t.Context(), "k", func(platform.Value) ([]byte, func(platform.Value) bool, error) {
		return []byte("b"), nil, nil
	})
	is.Equal(fault.KindOf(err), fault.StoreUnknown) // cannot be resolved
}

// TestUpdateTwoWriters guards against a writer that overwrites another one. The
// second writer comes between the read and the write of the first.
func TestUpdateTwoWriters(t *testing.T) {
	is := is.New(t)
	store, address := serveStore(t, nil)
	first, second := newClient(t, address, nil), newClient(t, address, nil)
	change, raced := appendOnce("a,"), false
	v, err := first.Update(t.Context(), "k", func(old platform.Value) ([]byte, func(platform.Value) bool, error) {
		if !raced {
			raced = true
			_, err := second.Update(t.Context(), "k", appendOnce("b,"))
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
			_, err := c.Update(t.Context(), "k", appendOnce(strconv.Itoa(i)+","))
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

// TestUpdateBudget guards against an update that fails because other calls have
// spent the budget, which is back within a second.
func TestUpdateBudget(t *testing.T) {
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
		_, err := c.Update(t.Context(), "k", appendOnce("a,"))
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

// TestUpdateUnresolved guards against an update that reports a clean failure
// while its write may have been made.
func TestUpdateUnresolved(t *testing.T) {
	is := is.New(t)
	clk := newManualClock()
	store, address := serveStore(t, clk)
	c := newClient(t, address, clk)
	ctx, cancel := context.WithCancel(t.Context())
	store.LoseReplies(1)
	done := make(chan error)
	go func() {
		_, err := c.Update(ctx, "k", appendOnce("a,"))
		done <- err
	}()
	eventually(t, "the reply is lost", func() bool { return c.Stats().Failures == 1 })
	store.SetDown(true)
	eventually(t, "the read back fails", func() bool {
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
