package dispatch

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// Evacuation is the operator's request that nothing more be started in a data
// centre, or the end of that request.
type Evacuation struct {
	DataCentre ident.DataCentre
	Ended      bool
}

// OperatorUpdate is what the operator has written: all of it if Whole is set,
// and otherwise what has changed. Config is nil if there is none or it has not
// changed. Invalid says why the newest one cannot be read, if it cannot.
// Revision is the one to watch from.
type OperatorUpdate struct {
	Whole       bool
	Config      []byte
	Invalid     error
	Evacuations []Evacuation
	Revision    StoreRevision
}

// evacuations holds the data centres that the operator wants emptied.
type evacuations map[ident.DataCentre]bool

// apply returns the evacuations after an update, and whether they differ.
func (e evacuations) apply(u OperatorUpdate) (evacuations, bool) {
	next := evacuations{}
	if !u.Whole {
		next = maps.Clone(e)
	}
	for _, request := range u.Evacuations {
		if request.Ended {
			delete(next, request.DataCentre)
			continue
		}
		next[request.DataCentre] = true
	}
	return next, !maps.Equal(e, next)
}

// runOperator reads what the operator has written from the store and then
// watches it for changes. It reads it again when the watch reports
// fault.StoreConflict.
func (p *Process) runOperator(ctx context.Context) error {
	var revision StoreRevision
	evacuated := evacuations{}
	dep := dependency{log: p.log.WithField("dependency", "configuration in the store")}
	for ctx.Err() == nil {
		update, err := p.readOperator(ctx, revision)
		if fault.KindOf(err) == fault.StoreConflict {
			revision = 0
			continue
		}
		dep.report(err)
		if err != nil {
			p.counters.storeFailures.Inc()
			p.sleep(storeRetryDelay)
			continue
		}
		p.configTrace.handleAnswer(p.settings.Clock.Now())
		if update.Whole || update.Config != nil {
			p.log.WithFields(logrus.Fields{"whole": update.Whole, "after": revision, "revision": update.Revision, "config": update.Config != nil}).
				Info("read what the operator has written")
		}
		revision = update.Revision
		next, changed := evacuated.apply(update)
		if evacuated = next; changed {
			p.evacuate(next)
		}
		if update.Invalid != nil {
			p.log.WithError(update.Invalid).Error("cannot read the configuration")
		}
		switch {
		case update.Config != nil:
			p.activateConfig(update.Config, "store")
		case p.config.Load() == nil:
			p.sleep(storeRetryDelay)
		}
	}
	return nil
}

// readOperator reads all if revision is zero, and otherwise waits for a change.
func (p *Process) readOperator(ctx context.Context, revision StoreRevision) (OperatorUpdate, error) {
	if revision > 0 {
		return p.ports.Store.WatchOperator(ctx, revision, p.settings.WatchWait)
	}
	call, cancel := context.WithTimeout(ctx, p.settings.StoreTimeout)
	defer cancel()
	return p.ports.Store.Operator(call)
}

// evacuate tells the core which data centres get no more starts.
func (p *Process) evacuate(e evacuations) {
	list := slices.Sorted(maps.Keys(e))
	p.log.WithField("data-centres", list).Info("evacuations have changed")
	p.post(func(now time.Time) { p.applyActions(now, p.core.SetEvacuated(now, list)) })
}
