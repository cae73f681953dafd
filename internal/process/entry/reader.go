package entry

import (
	"context"
	"sync/atomic"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/adapter/platform"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/decide/config"
	"hornbeamlift.example/hornbeamlift/internal/decide/instance"
)

// ConfigKey is the key of the configuration in the platform's store.
const ConfigKey = "config"

const (
	// listInterval is the time between two reads of the platform's list. With
	// the lag of the peers it keeps a leaving endpoint from new work within 3 s.
	listInterval = time.Second
	// watchWait is how long one watch of the configuration waits.
	watchWait = 30 * time.Second
	// readRetry is the wait after a failed read, beside the client's back-off.
	readRetry = 200 * time.Millisecond
)

// reader reads the list and the configuration for its data centre while this
// instance is the one chosen to do so.
type reader struct {
	process *Process
	active  atomic.Bool
}

// setActive starts or stops reading.
func (r *reader) setActive(active bool) {
	r.active.Store(active)
}

// runList reads the list at each interval.
func (r *reader) runList(ctx context.Context) error {
	p := r.process
	ticker := p.cfg.Clock.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		if r.active.Load() {
			if rows, err := p.store.Instances(ctx); err == nil {
				p.post(instance.Listed{Instances: rows})
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
		}
	}
}

// runConfig follows the configuration in the store. A reader that is not
// active looks again soon, since it may become so at any time.
func (r *reader) runConfig(ctx context.Context) error {
	p := r.process
	ticker := p.cfg.Clock.NewTicker(readRetry)
	defer ticker.Stop()
	var after uint64
	for {
		if r.active.Load() {
			v, err := r.readConfig(ctx, after)
			if err == nil && v.Revision != after {
				after = v.Revision
				r.offer(v)
				continue
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
		}
	}
}

// readConfig reads the configuration at once the first time, and then waits
// for another one.
func (r *reader) readConfig(ctx context.Context, after uint64) (platform.Value, error) {
	if after == 0 {
		return r.process.store.Get(ctx, ConfigKey)
	}
	return r.process.store.Watch(ctx, ConfigKey, after, watchWait)
}

// offer passes a value of the store on, if it is a configuration.
func (r *reader) offer(v platform.Value) {
	if len(v.Data) == 0 {
		return
	}
	rev, err := config.Unmarshal(v.Data)
	if err != nil {
		r.process.log.WithField("kind", fault.KindOf(err)).Warn("configuration in the store is not readable")
		return
	}
	r.process.post(instance.ConfigRead{Revision: rev})
}
