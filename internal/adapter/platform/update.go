package platform

import (
	"context"
	"errors"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// Change computes the next data of a key from its current value. It may be
// called several times. mine reports whether a value, as read back later,
// includes this change; it must stay true after other writers have changed the
// value too (by a history in the value, for instance). A nil mine means that a
// lost reply cannot be resolved.
type Change func(old Value) (next []byte, mine func(Value) bool, err error)

// Update changes the key by compare-and-swap until it succeeds, and returns the
// value that includes the change. When the reply of a write is lost, it reads
// the value back and asks mine. It waits while the call budget is spent, and,
// once a write may have been made, also while the platform is unavailable.
//
// A failure is that of change, fault.StoreUnavailable with ran no, or
// fault.StoreUnknown when the context ended before a lost reply was resolved.
func (c *Client) Update(ctx context.Context, key string, change Change) (Value, error) {
	u := update{client: c, key: key, change: change}
	for {
		v, done, err := u.try(ctx)
		if done {
			return v, err
		}
		if err = u.pause(ctx, err); err != nil {
			return Value{}, err
		}
	}
}

// update is the state of one Update.
type update struct {
	client *Client
	key    string
	change Change
	// unresolved holds the mine functions of writes whose reply was lost. Such
	// a write may still take effect after it was read back once, so each later
	// value is checked against all of them.
	unresolved []func(Value) bool
}

// try makes one read and one write. When it is not done, err is the failure to
// wait for, or nil to try again at once.
func (u *update) try(ctx context.Context) (v Value, done bool, err error) {
	old, err := u.client.Get(ctx, u.key)
	if err != nil {
		return Value{}, false, err
	}
	for _, mine := range u.unresolved {
		if mine(old) {
			return old, true, nil
		}
	}
	next, mine, err := u.change(old)
	if err != nil {
		return Value{}, true, u.unknown(err)
	}
	revision, err := u.put(ctx, next, old.Revision)
	switch fault.KindOf(err) {
	case "":
		return Value{Data: next, Revision: revision}, true, nil
	case fault.StoreConflict:
		return Value{}, false, nil
	case fault.StoreUnknown:
		if mine == nil {
			return Value{}, true, err
		}
		u.unresolved = append(u.unresolved, mine)
		return Value{}, false, err
	case fault.StoreUnavailable, fault.BudgetExhausted:
		return Value{}, false, err
	}
	return Value{}, true, u.unknown(err)
}

// put writes, and waits while the call budget is spent. Reading again first
// would use up the call that the wait earned, so that under a spent budget no
// write would ever be made.
func (u *update) put(ctx context.Context, next []byte, ifRevision uint64) (uint64, error) {
	for {
		revision, err := u.client.Put(ctx, u.key, next, ifRevision, "")
		if fault.KindOf(err) != fault.BudgetExhausted || !u.client.sleep(ctx, fault.From(err).RetryAfter) {
			return revision, err
		}
	}
}

// pause waits as long as the failure asks for, or returns the failure that ends
// the update.
func (u *update) pause(ctx context.Context, err error) error {
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
		return u.unknown(err)
	}
	if !u.client.sleep(ctx, failure.RetryAfter) {
		return u.unknown(errors.Join(context.Cause(ctx), err))
	}
	return nil
}

// unknown returns err, or fault.StoreUnknown when a write is unresolved.
func (u *update) unknown(err error) error {
	if len(u.unresolved) > 0 {
		return fault.Wrap(err, fault.StoreUnknown, fault.RanUnknown)
	}
	return err
}

// sleep waits for d and reports whether the context was still in force.
func (c *Client) sleep(ctx context.Context, d time.Duration) bool {
	passed := make(chan struct{})
	timer := c.settings.Clock.AfterFunc(d, func() { close(passed) })
	defer timer.Stop()
	select {
	case <-passed:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
