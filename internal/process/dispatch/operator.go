package dispatch

import (
	"context"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// Evacuation is the operator's request that nothing more be started in a data
// centre, or the end of that request.
type Evacuation struct {
	DataCentre ident.DataCentre
	Ended      bool
	Revision   StoreRevision
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

// runOperator reads what the operator has written from the store and then
// watches it for changes. It reads it again when the watch reports
// fault.StoreConflict.
func (p *Process) runOperator(ctx context.Context) error {
	var revision StoreRevision
	dep := dependency{log: p.log.WithField("dependency", "configuration in the store")}
	for ctx.Err() == nil {
		update, err := p.watchOperator(ctx, revision)
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
		revision = update.Revision
		if update.Config == nil && p.config.Load() == nil {
			p.sleep(storeRetryDelay)
		}
	}
	return nil
}

// runOperatorReads reads all that the operator has written whenever the core
// asks for it.
func (p *Process) runOperatorReads(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.readOperatorNow:
		}
		_, err := p.readOperator(ctx)
		if err != nil {
			p.counters.storeFailures.Inc()
		}
		p.post(func(now time.Time) {
			p.configSync.syncer.EndRead(now, err == nil)
			if p.configSync.noticeTo != (ident.Process{}) && err == nil {
				p.sendToPeer(p.configSync.noticeTo, p.noticeMessage(now))
			}
			p.configSync.noticeTo = ident.Process{}
		})
	}
}

// watchOperator waits for a change after a revision and applies it. If the
// revision is zero, it reads all.
func (p *Process) watchOperator(ctx context.Context, after StoreRevision) (OperatorUpdate, error) {
	if after == 0 {
		return p.readOperator(ctx)
	}
	update, err := p.ports.Store.WatchOperator(ctx, after, p.settings.WatchWait)
	if err == nil {
		p.applyOperatorUpdate(update)
	}
	return update, err
}

// readOperator reads all that the operator has written and applies it.
func (p *Process) readOperator(ctx context.Context) (OperatorUpdate, error) {
	call, cancel := context.WithTimeout(ctx, p.settings.StoreTimeout)
	defer cancel()
	began := p.settings.Clock.Now()
	update, err := p.ports.Store.Operator(call)
	if err != nil {
		return update, err
	}
	if p.applyOperatorUpdate(update) {
		// Whatever was confirmed before the read began is in force by now.
		version := p.configVersion()
		p.post(func(time.Time) { p.configSync.syncer.Observe(began, version, p.configVersion()) })
	}
	return update, nil
}

// applyOperatorUpdate puts what the operator has written in force. It reports
// whether the configuration can be read and decoded, if there is one.
func (p *Process) applyOperatorUpdate(u OperatorUpdate) bool {
	p.configTrace.handleAnswer(p.settings.Clock.Now())
	if p.evacuations.apply(u) {
		p.evacuate()
	}
	source := "watch"
	if u.Whole {
		source = "read"
	}
	if u.Invalid != nil {
		p.log.WithError(u.Invalid).WithField("source", source).Error("cannot read the configuration")
	}
	if u.Config != nil && !p.activateConfig(u.Config, source) {
		return false
	}
	return u.Invalid == nil
}

// evacuate tells the core which data centres get no more starts. Reads and
// watches may call it in any order, so the core gets the latest list.
func (p *Process) evacuate() {
	p.post(func(now time.Time) { p.setEvacuated(now) })
}
