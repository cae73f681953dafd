package dispatch

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// runReload reloads the settings on SIGHUP, and checks them for changes at each
// ReloadInterval.
func (p *Process) runReload(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := p.settings.Clock.NewTicker(p.settings.ReloadInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			signalled = true
		case <-ticker.C():
		}
		p.reload(signalled)
	}
}

// reload reads the settings and applies those that can change while the process
// runs: Owner and Grace. Without a signal, nothing is applied or logged unless
// one of them has changed; a failed read is always logged.
func (p *Process) reload(signalled bool) {
	settings, err := p.ports.Settings()
	if err != nil {
		p.log.WithError(err).Error("cannot reload settings, keeping the previous ones")
		return
	}
	changed := settings.Owner != p.settings.Owner || settings.Grace != p.settings.Grace
	if !signalled && !changed {
		return
	}
	p.post(func(time.Time) {
		if err := p.core.Configure(settings.Owner); err != nil {
			p.log.WithError(err).Error("reloaded settings are not valid, keeping the previous ones")
			return
		}
		p.settings.Owner, p.settings.Grace = settings.Owner, settings.Grace
		p.log.WithFields(logrus.Fields{"changed": changed, "signal": signalled}).Info("settings reloaded")
	})
}
