package platform

import (
	"context"
	"errors"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// Change computes the next data of a key from its current value. It may be
// called several times. applied reports whether a value that is read later
// includes this change; it must still be true after other writers have changed
// the value (for example because the value has a history). If applied is nil,
// Update fails with fault.StoreUnknown when the reply to the write is lost.
type Change func(old Value) (next []byte, applied func(Value) bool, err error)

// Update changes the key by compare-and-swap until it succeeds, and returns the
// value that includes the change. When the reply to a write is lost, it reads
// the value again and calls applied to learn whether the write was made. It
// waits while the call budget is spent and, once a write may have been made,
// also while the platform is unavailable.
//
// The error is that of change, of Get or of Put. It has kind fault.StoreUnknown
// if Update ends, for example with its context, before the outcome of a write
// is known.
func (c *Client) Update(ctx context.Context, key string, change Change) (Value, error) {
	u := update{client: c, key: key, change: change}
	for {
		v, done, err := u.try(ctx)
		if done {
			return v, err
		}
		if err = u.waitForRetry(ctx, err); err != nil {
			return Value{}, err
		}
	}
}

// update is the state of one call of Update.
type update struct {
	client *Client
	key    string
	change Change
	// unresolved has the applied function of each write that got no reply. Such
	// a write may still take effect after the value was read again, so each
	// later value is checked with all of them.
	unresolved []func(Value) bool
}

// try makes one read and one write. If done is false, err says how long
// to wait before the next try, or is nil to try again at once.
func (u *update) try(ctx context.Context) (v Value, done bool, err error) {
	old, err := u.client.Get(ctx, u.key)
	if err != nil {
		return Value{}, false, err
	}
	for _, applied := range u.unresolved {
		if applied(old) {
			return old, true, nil
		}
	}
	next, applied, err := u.change(old)
	if err != nil {
		return Value{}, true, u.finalError(err)
	}
	revision, err := u.put(ctx, next, old.Revision)
	switch fault.KindOf(err) {
	case "":
		return Value{Data: next, Revision: revision}, true, nil
	case fault.StoreConflict:
		return Value{}, false, nil
	case fault.StoreUnknown:
		if applied == nil {
			return Value{}, true, err
		}
		u.unresolved = append(u.unresolved, applied)
		return Value{}, false, err
	case fault.StoreUnavailable, fault.BudgetExhausted:
		return Value{}, false, err
	}
	return Value{}, true, u.finalError(err)
}

// put writes the value, and waits while the call budget is spent. A read before
// each write would use up the call that the wait earned, so that no write would
// ever be made on a spent budget.
func (u *update) put(ctx context.Context, next []byte, ifRevision uint64) (uint64, error) {
	for {
		revision, err := u.client.Put(ctx, u.key, next, ifRevision, "")
		if fault.KindOf(err) != fault.BudgetExhausted || !u.client.sleep(ctx, fault.From(err).RetryAfter) {
			return revision, err
		}
	}
}

// waitForRetry waits for the retry delay of err, or returns the error that ends
// the update.
func (u *update) waitForRetry(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	failure := fault.From(err)
	switch failure.Kind {
	case fault.BudgetExhausted, fault.StoreUnknown:
	case fault.StoreUnavailable:
		if len(u.unresolved) == 0 {
			return err
		}
	default:
		return u.finalError(err)
	}
	if !u.client.sleep(ctx, failure.RetryAfter) {
		return u.finalError(errors.Join(context.Cause(ctx), err))
	}
	return nil
}

// finalError returns err, wrapped as fault.StoreUnknown if a write may have
// been made.
func (u *update) finalError(err error) error {
	if len(u.unresolved) > 0 {
		return fault.Wrap(err, fault.StoreUnknown, fault.RanUnknown)
	}
	return err
}

// sleep waits for d and reports false if the context has ended.
func (c *Client) sleep(ctx context.Context, d time.Duration) bool {
	elapsed := make(chan struct{})
	timer := c.settings.Clock.AfterFunc(d, func() { close(elapsed) })
	defer timer.Stop()
	select {
	case <-elapsed:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
