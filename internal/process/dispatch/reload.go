package dispatch

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// runReload reads the settings again on SIGHUP, and when they have changed
// without one.
func (p *Process) runReload(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := p.set.Clock.NewTicker(p.set.ReloadInterval)
	defer ticker.Stop()
	for {
		told := false
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			told = true
		case <-ticker.C():
		}
		p.reload(told)
	}
}

// reload puts the settings in force that can change while the process runs. A
// read without a signal is only logged when it brings a change.
func (p *Process) reload(told bool) {
	set, err := p.ports.Settings()
	if err != nil {
		p.log.WithError(err).Error("settings cannot be read again, the old ones stay in force")
		return
	}
	changed := set.Owner != p.set.Owner || set.Grace != p.set.Grace
	if !told && !changed {
		return
	}
	p.post(func(time.Time) {
		if err := p.core.Configure(set.Owner); err != nil {
			p.log.WithError(err).Error("settings are not valid, the old ones stay in force")
			return
		}
		p.set.Owner, p.set.Grace = set.Owner, set.Grace
		p.log.WithFields(logrus.Fields{"changed": changed, "signal": told}).Info("settings were read again")
	})
}
