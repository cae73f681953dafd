package operator

import (
	"context"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/adapter/platform"
	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/decide/config"
	"hornbeamlift.example/hornbeamlift/internal/schema/configpb"
)

// configKey is the key of the configuration in the platform's store.
const configKey = "config"

const (
	// readBackAttempts and readBackWait limit how long Apply reads the value
	// back to learn the outcome of a write after a lost reply: 5 reads with 4
	// waits of 1 s each, 4 s in total.
	readBackAttempts = 5
	readBackWait     = time.Second
)

// Applier applies configurations with a compare-and-swap on one key of the
// platform's store.
type Applier struct {
	// Get returns a value and its store revision. For a missing key it returns
	// revision 0 and no error.
	Get func(ctx context.Context, key string) (data []byte, revision uint64, err error)
	// Put replaces the value if its store revision is still ifRevision, and
	// returns the new revision. The error has kind fault.StoreConflict if the
	// revision differs, and fault.StoreUnknown if the reply was lost.
	Put   func(ctx context.Context, key string, data []byte, ifRevision uint64) (uint64, error)
	Clock clock.Clock
	// NewID returns a unique apply id. Apply finds it in the stored configuration
	// if the write of the plan took effect.
	NewID func() string
}

// NewApplier returns an applier that uses the store through client. The caller
// must set Clock and NewID.
func NewApplier(client *platform.Client) *Applier {
	return &Applier{
		Get: func(ctx context.Context, key string) ([]byte, uint64, error) {
			v, err := client.Get(ctx, key)
			return v.Data, v.Revision, err
		},
		Put: func(ctx context.Context, key string, data []byte, ifRevision uint64) (uint64, error) {
			return client.Put(ctx, key, data, ifRevision, "")
		},
	}
}

// Plan is a configuration change that Apply has yet to write.
type Plan struct {
	// Next is the configuration revision to write. Its number is independent of
	// the store revision.
	Next *configpb.Revision
	// Changes lists the keys that differ, with their old and new values.
	Changes []string
	// ifRevision is the store revision that the plan was computed from.
	ifRevision uint64
}

// Plan compares file, which must be valid, with the configuration in the store
// and returns the plan to apply it. It writes nothing.
func (a *Applier) Plan(ctx context.Context, file *configpb.File, operator string) (*Plan, error) {
	current, revision, err := a.readConfig(ctx)
	if err != nil {
		return nil, err
	}
	return &Plan{
		Next:       config.Next(current, file, a.NewID(), operator, a.Clock.Now()),
		Changes:    config.Diff(current.GetFile(), file),
		ifRevision: revision,
	}, nil
}

// Apply writes the plan. If another apply was written after the plan was
// computed, the error has kind fault.ApplyConflict and names its operator. If
// it is unknown whether the write took effect, the kind is fault.StoreUnknown.
// Other errors of the store are returned unchanged.
func (a *Applier) Apply(ctx context.Context, p *Plan) error {
	data, err := config.Marshal(p.Next)
	if err != nil {
		return err
	}
	_, err = a.Put(ctx, configKey, data, p.ifRevision)
	switch fault.KindOf(err) {
	case fault.StoreUnknown, fault.StoreConflict:
		// A store client may have retried the write after a lost reply, so the
		// conflict may be with this apply's own first write.
		return a.resolveOutcome(ctx, p, err)
	default:
		return err
	}
}

// resolveOutcome reads the value back until it shows the outcome of the write,
// at most readBackAttempts times; cause is the error of the write.
func (a *Applier) resolveOutcome(ctx context.Context, p *Plan, cause error) error {
	for attempt := 1; ; attempt++ {
		current, revision, err := a.readConfig(ctx)
		switch {
		case err == nil && config.Applied(current, p.Next.GetApplyId()):
			return nil
		case err == nil && revision != p.ifRevision:
			return config.Conflict(current)
		}
		// The value is unchanged or cannot be read. The write may still take
		// effect, so only further reads can show the outcome.
		if attempt == readBackAttempts || !a.sleep(ctx) {
			return fault.Wrap(cause, fault.StoreUnknown, fault.RanUnknown).WithDetail(
				"whether apply " + p.Next.GetApplyId() + " took effect is unknown; check the configuration in force before another apply")
		}
	}
}

// readConfig returns the configuration in the store and its store revision, or
// nil and revision 0 if there is none.
func (a *Applier) readConfig(ctx context.Context) (*configpb.Revision, uint64, error) {
	data, revision, err := a.Get(ctx, configKey)
	if err != nil {
		return nil, 0, err
	}
	if revision == 0 {
		return nil, 0, nil
	}
	current, err := config.Unmarshal(data)
	return current, revision, err
}

// sleep waits for readBackWait. It returns false if ctx is done first.
func (a *Applier) sleep(ctx context.Context) bool {
	done := make(chan struct{})
	timer := a.Clock.AfterFunc(readBackWait, func() { close(done) })
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}
