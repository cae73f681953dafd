package dispatch

import (
	"bytes"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hornbeamlift.example/hornbeamlift/internal/decide/configsync"
)

// configTrace records how current the configuration is, for logs and metrics.
type configTrace struct {
	mu sync.Mutex
	// answeredAt is when the store last answered a read or watch of what the
	// operator has written, or zero.
	answeredAt time.Time
	// newest is the highest version that a peer has reported, and newestAt when
	// it was first reported.
	newest   uint64
	newestAt time.Time
}

// handleAnswer records an answer of the store.
func (t *configTrace) handleAnswer(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answeredAt = now
}

// handleReport records a version that a peer has reported, and reports whether
// it is the highest so far.
func (t *configTrace) handleReport(now time.Time, version uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version <= t.newest {
		return false
	}
	t.newest, t.newestAt = version, now
	return true
}

// answerAge returns the time since the store last answered, or zero if it has
// not answered yet.
func (t *configTrace) answerAge(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.answeredAt.IsZero() {
		return 0
	}
	return now.Sub(t.answeredAt)
}

// delay returns how long ago a peer first reported the version, or zero if none
// has.
func (t *configTrace) delay(now time.Time, version uint64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version != t.newest {
		return 0
	}
	return now.Sub(t.newestAt)
}

// activateConfig decodes a configuration and makes it the active one, unless
// the active one has the same or a higher version. It reports whether the
// content can be decoded.
func (p *Process) activateConfig(content []byte, source string) bool {
	if c := p.config.Load(); c != nil && bytes.Equal(c.content, content) {
		return true
	}
	if rejected := p.rejectedConfig.Load(); rejected != nil && bytes.Equal(*rejected, content) {
		return false
	}
	routes, err := p.ports.ParseConfig(content)
	if err != nil {
		rejected := slices.Clone(content)
		p.rejectedConfig.Store(&rejected)
		p.log.WithError(err).WithField("source", source).Error("cannot decode the configuration")
		return false
	}
	next := &activeConfig{routes: routes, content: slices.Clone(content)}
	var previous uint64
	for {
		old := p.config.Load()
		if old != nil {
			previous = old.routes.Version
		}
		if previous >= routes.Version {
			return true
		}
		if p.config.CompareAndSwap(old, next) {
			break
		}
	}
	now := p.settings.Clock.Now()
	// Package logread matches this message.
	p.log.WithFields(logrus.Fields{
		"version": routes.Version, "previous": previous, "routes": routes.Routes(), "source": source,
		"after-peers": p.configTrace.delay(now, routes.Version).Round(time.Millisecond).String(),
	}).Info("configuration in force")
	return true
}

// logNewerVersion logs a version that a peer reports and that is above the
// active one, once for each version.
func (p *Process) logNewerVersion(now time.Time, peer string, version uint64) {
	if !p.configTrace.handleReport(now, version) {
		return
	}
	if own := p.configVersion(); own < version {
		p.log.WithFields(logrus.Fields{"peer": peer, "version": version, "own-version": own}).Info("a peer has a newer configuration")
	}
}

// logNoRoute logs and counts a request that no route of the active
// configuration matches.
func (p *Process) logNoRoute(host, path string) {
	p.counters.noRoute.Inc()
	p.log.WithFields(logrus.Fields{
		"host": host, "path": path, "config-version": p.configVersion(),
		"store-answered": p.configTrace.answerAge(p.settings.Clock.Now()).Round(time.Millisecond).String(),
		"config-age":     p.configAge().Round(time.Millisecond).String(),
	}).Info("no route for a request")
}

// configAge returns how long ago the active configuration was known to be the
// newest. Unlike that of configSync, any goroutine may ask for it.
func (p *Process) configAge() time.Duration {
	if at := p.configCurrentAt.Load(); at != nil {
		return p.settings.Clock.Now().Sub(*at)
	}
	return configsync.UnknownAge
}

// configVersion returns the version of the active configuration, or zero
// without one.
func (p *Process) configVersion() uint64 {
	if c := p.config.Load(); c != nil {
		return c.routes.Version
	}
	return 0
}
