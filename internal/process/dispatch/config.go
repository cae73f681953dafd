package dispatch

import (
	"bytes"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
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
	}).Info("no route for a request")
}

// addConfig adds the configuration to a heartbeat.
func (p *Process) addConfig(now time.Time, to ident.Process, heartbeat *peerpb.Pulse) {
	if c := p.config.Load(); c != nil {
		heartbeat.ConfigVersion, heartbeat.ConfigSize = c.routes.Version, uint32(len(c.content))
	}
	heartbeat.ConfigAge, heartbeat.Sent = encodeAge(p.configSync.Age(now)), p.sentTime(now)
	heartbeat.EvacuationRevision = uint64(p.evacuations.revision())
	heartbeat.ReadConfig = p.configSync.TakeHelper(to)
}

// configVersion returns the version of the active configuration, or zero
// without one.
func (p *Process) configVersion() uint64 {
	if c := p.config.Load(); c != nil {
		return c.routes.Version
	}
	return 0
}

// tickConfig asks a peer for a newer configuration and reads it from the store,
// if these are due.
func (p *Process) tickConfig(now time.Time) {
	if peer, ok := p.configFetcher.Tick(now, max(p.configVersion(), p.rejectedVersion)); ok {
		p.log.WithFields(logrus.Fields{"peer": peer.Instance, "version": p.configFetcher.Version(peer), "own-version": p.configVersion()}).
			Info("asking a peer for the configuration")
		p.requestConfig(peer)
	}
	if p.configReadDue(now) {
		p.readOperatorNow <- struct{}{}
	}
	p.updateRelays(now)
}

// configReadDue reports whether this instance must read the configuration from
// the store. The watch does not tell whether it can: one that the store has left
// unanswered takes seconds to fail.
func (p *Process) configReadDue(now time.Time) bool {
	if p.core.IsOwner() {
		return p.configSync.TickOwner(now, p.core.Peers())
	}
	return p.configSync.Tick(now)
}

const (
	// relayCount is the number of relays at a time, in different data centres
	// if possible. relayInterval is how long they are kept, before others are
	// chosen: they may be as unable to read the store.
	relayCount    = 2
	relayInterval = 500 * time.Millisecond
)

// updateRelays chooses the relays: instances of other groups that this one
// links to for their configuration. On a new link both sides send a heartbeat
// with the version, and the core closes the link soon afterwards.
func (p *Process) updateRelays(now time.Time) {
	if !p.configSync.NeedsRelays(now) {
		if len(p.relays) > 0 {
			clear(p.relays)
			p.selectTargets()
		}
		return
	}
	if now.Sub(p.relaysAt) < relayInterval {
		return
	}
	p.relaysAt = now
	clear(p.relays)
	outside := p.outsideMembers()
	rand.Shuffle(len(outside), func(i, k int) { outside[i], outside[k] = outside[k], outside[i] })
	used := map[ident.DataCentre]bool{}
	for _, again := range []bool{false, true} {
		for _, m := range outside {
			if len(p.relays) < relayCount && (again || !used[m.DataCentre]) {
				p.relays[m.Process.Instance] = m
				used[m.DataCentre] = true
			}
		}
	}
	if len(p.relays) > 0 {
		p.log.WithField("relays", slices.Sorted(maps.Keys(p.relays))).Info("asking other data centres for the configuration")
		p.selectTargets()
	}
}

// requestConfig asks a peer for its configuration.
func (p *Process) requestConfig(peer ident.Process) {
	p.sendToPeer(peer, &peerpb.Message{Body: &peerpb.Message_ConfigRequest{ConfigRequest: &peerpb.ConfigRequest{Version: p.configVersion()}}})
}

// receiveConfig handles the configuration of a peer. One that cannot be decoded
// is not asked for again.
func (p *Process) receiveConfig(from ident.Process, c *peerpb.StoredConfig) {
	if !p.activateConfig(c.GetContent(), "peer "+string(from.Instance)) {
		p.rejectedVersion = max(p.rejectedVersion, c.GetVersion())
	}
}

// sendConfig answers a peer that has asked for a configuration above a version.
func (p *Process) sendConfig(now time.Time, to ident.Process, above uint64) {
	c := p.config.Load()
	if c == nil || c.routes.Version <= above {
		p.sendToPeer(to, p.noticeMessage(now))
		return
	}
	p.sendToPeer(to, &peerpb.Message{Body: &peerpb.Message_StoredConfig{
		StoredConfig: &peerpb.StoredConfig{Version: c.routes.Version, Content: c.content},
	}})
	// On the same stream: the age counts once the receiver has the version.
	p.sendToPeer(to, p.noticeMessage(now))
}

// configReport is what a peer says about its configuration. Size is in bytes,
// and zero if unknown. Age and sent are as in the peer protocol.
type configReport struct {
	version uint64
	age     uint32
	sent    uint64
	size    int
}

// handleConfigReport handles what a peer says about its configuration.
func (p *Process) handleConfigReport(now time.Time, from ident.Process, r configReport) {
	own := p.configVersion()
	var delay time.Duration
	if r.sent > 0 {
		delay = p.peerDelays.Observe(now, from, time.Duration(r.sent-1)*time.Millisecond)
	}
	if r.age > 0 {
		age := time.Duration(r.age-1) * time.Millisecond
		p.configSync.Observe(now.Add(-age-delay), r.version, own)
	}
	p.logNewerVersion(now, string(from.Instance), r.version)
	p.configFetcher.Observe(now, from, r.version, own, r.size)
}

// readConfigFor reads the configuration for a peer, which is sent the result in
// a notice.
func (p *Process) readConfigFor(now time.Time, from ident.Process) {
	if !p.configSync.StartRead(now) {
		return
	}
	p.noticeTo = from
	p.readOperatorNow <- struct{}{}
}

// encodeAge converts the age of the configuration to the peer protocol.
func encodeAge(age time.Duration) uint32 {
	if age.Milliseconds() >= math.MaxUint32 {
		return 0
	}
	return uint32(age.Milliseconds()) + 1
}

// sentTime returns the time as messages to peers carry it.
func (p *Process) sentTime(now time.Time) uint64 {
	return uint64(now.Sub(p.startedAt).Milliseconds()) + 1
}

// noticeMessage returns a message with the version in force, its age, and the
// evacuations.
func (p *Process) noticeMessage(now time.Time) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_ConfigNotice{ConfigNotice: &peerpb.ConfigNotice{
		Version: p.configVersion(), Age: encodeAge(p.configSync.Age(now)), Evacuations: p.evacuations.encode(), Sent: p.sentTime(now),
	}}}
}
