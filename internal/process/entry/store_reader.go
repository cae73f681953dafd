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
	// listInterval is the time between two reads of the platform's list. It is
	// short enough that a leaving endpoint gets no new work after 3 s,
	// including the time until peers learn of the change.
	listInterval = time.Second
	// watchWait is how long one watch of the configuration waits.
	watchWait = 30 * time.Second
	// readInterval is the time between two reads of the configuration if the
	// first failed (on top of the client's back-off) or brought nothing new,
	// and between two checks whether the reader is active.
	readInterval = 200 * time.Millisecond
)

// storeReader reads the platform's list of instances and endpoints and the
// configuration while this instance is the one that the core has chosen to read
// them for the data centre.
type storeReader struct {
	process *Process
	active  atomic.Bool
}

// setActive sets whether new reads are made. A read in progress continues.
func (r *storeReader) setActive(active bool) {
	r.active.Store(active)
}

// runInstanceList reads the platform's list at each listInterval while the
// reader is active.
func (r *storeReader) runInstanceList(ctx context.Context) error {
	p := r.process
	ticker := p.cfg.Clock.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		if r.active.Load() {
			if instances, err := p.store.Instances(ctx); err == nil {
				p.post(instance.ListRead{Instances: instances})
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C():
		}
	}
}

// runConfig reads the configuration from the store and watches it for changes
// while the reader is active. Otherwise it checks every readInterval whether
// the reader has become active.
func (r *storeReader) runConfig(ctx context.Context) error {
	p := r.process
	ticker := p.cfg.Clock.NewTicker(readInterval)
	defer ticker.Stop()
	var after uint64
	for {
		if r.active.Load() {
			v, err := r.readConfig(ctx, after)
			if err == nil && v.Revision != after {
				after = v.Revision
				r.forwardConfig(v)
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

// readConfig returns the current configuration if after is 0. Otherwise it
// waits up to watchWait for a configuration other than that of revision after.
func (r *storeReader) readConfig(ctx context.Context, after uint64) (platform.Value, error) {
	if after == 0 {
		return r.process.store.Get(ctx, ConfigKey)
	}
	return r.process.store.Watch(ctx, ConfigKey, after, watchWait)
}

// forwardConfig decodes the configuration and posts it to the loop. An empty
// value is ignored, and one that cannot be decoded is logged.
func (r *storeReader) forwardConfig(v platform.Value) {
	if len(v.Data) == 0 {
		return
	}
	cfg, err := config.Unmarshal(v.Data)
	if err != nil {
		r.process.log.WithField("kind", fault.KindOf(err)).Warn("cannot decode the configuration in the store")
		return
	}
	r.process.post(instance.ConfigRead{Revision: cfg})
}
