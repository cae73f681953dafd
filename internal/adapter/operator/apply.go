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

// configKey is where the platform's store keeps the configuration.
const configKey = "config"

const (
	// readBackAttempts and readBackWait bound the search for the outcome of a
	// write whose reply was lost: 5 reads with 4 waits of 1 s each, 4 s in all.
	readBackAttempts = 5
	readBackWait     = time.Second
)

// Applier puts configurations in force by compare-and-swap on one key of the
// platform's store.
type Applier struct {
	// Get returns a value and its store revision; an absent key has revision 0
	// and is no failure.
	Get func(ctx context.Context, key string) (data []byte, revision uint64, err error)
	// Put replaces the value when the store revision is still ifRevision, and
	// returns the new one. Its failure has kind fault.StoreConflict when it is
	// not, and fault.StoreUnknown when the reply was lost.
	Put   func(ctx context.Context, key string, data []byte, ifRevision uint64) (uint64, error)
	Clock clock.Clock
	// NewID returns an apply id that no other apply uses.
	NewID func() string
}

// NewApplier returns an applier over a client of the store; the caller sets
// its clock and source of ids.
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

// Plan is an apply that was computed and not yet written.
type Plan struct {
	// Next is the revision to write.
	Next *configpb.Revision
	// Changes lists the keys that differ, with their old and new values.
	Changes    []string
	ifRevision uint64
}

// Plan compares the file with the configuration in the store. The file must be
// valid.
func (a *Applier) Plan(ctx context.Context, file *configpb.File, operator string) (*Plan, error) {
	current, revision, err := a.read(ctx)
	if err != nil {
		return nil, err
	}
	return &Plan{
		Next:       config.Next(current, file, a.NewID(), operator, a.Clock.Now()),
		Changes:    config.Diff(current.GetFile(), file),
		ifRevision: revision,
	}, nil
}

// Apply writes the plan. Its failure has kind fault.ApplyConflict and names the
// winner when another apply came first, fault.StoreUnknown when it cannot be
// told whether the write took effect, or the kind of the store's failure.
func (a *Applier) Apply(ctx context.Context, p *Plan) error {
	data, err := config.Marshal(p.Next)
	if err != nil {
		return err
	}
	_, err = a.Put(ctx, configKey, data, p.ifRevision)
	switch fault.KindOf(err) {
	case fault.StoreUnknown, fault.StoreConflict:
		// A store client may have repeated a write whose reply was lost, so a
		// conflict can be with the apply's own first write.
		return a.settle(ctx, p, err)
	default:
		return err
	}
}

// settle reads the value back until it tells the outcome of the write.
func (a *Applier) settle(ctx context.Context, p *Plan, cause error) error {
	for attempt := 1; ; attempt++ {
		current, revision, err := a.read(ctx)
		switch {
		case err == nil && config.Outcome(current, p.Next.GetApplyId()):
			return nil
		case err == nil && revision != p.ifRevision:
			return config.Conflict(current)
		}
		// The value is unchanged or unreadable: a write whose reply was lost
		// may still take effect, so only further reads could tell.
		if attempt == readBackAttempts || !a.sleep(ctx) {
			return fault.Wrap(cause, fault.StoreUnknown, fault.RanUnknown).WithDetail(
				"whether apply " + p.Next.GetApplyId() + " took effect is unknown; check the configuration in force before another apply")
		}
	}
}

func (a *Applier) read(ctx context.Context) (*configpb.Revision, uint64, error) {
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
