package dispatch

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/configsync"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// configSync is what an instance knows about the configuration in the store and
// at its peers. It is used by loop only.
type configSync struct {
	// fetcher decides when to ask a peer for the configuration, and syncer when
	// to read it whole from the store.
	fetcher *configsync.Fetcher
	syncer  *configsync.Syncer
	// delays estimates the delays of messages that say how old a configuration
	// is.
	delays *configsync.Delays
	// relays holds the instances of other groups that are linked to for their
	// configuration, and relaysAt when they were chosen.
	relays   map[ident.InstanceID]Member
	relaysAt time.Time
	// rejectedVersion is the highest version of a peer that could not be
	// decoded.
	rejectedVersion uint64
	// noticeTo is the peer that waits for the read that has been started.
	noticeTo ident.Process
	// evacuationsAskedAt is when a peer was last asked for its evacuations.
	evacuationsAskedAt time.Time
}

func newConfigSync(now time.Time) configSync {
	newRand := func() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	return configSync{
		fetcher: configsync.NewFetcher(newRand()), syncer: configsync.New(now, newRand()), delays: configsync.NewDelays(now),
		relays: map[ident.InstanceID]Member{},
	}
}

// tickConfig asks a peer for a newer configuration and reads it from the store,
// if these are due.
func (p *Process) tickConfig(now time.Time) {
	if age := p.configSync.syncer.Age(now); age != configsync.UnknownAge {
		at := now.Add(-age)
		p.configCurrentAt.Store(&at)
	}
	if peer, ok := p.configSync.fetcher.Tick(now, max(p.configVersion(), p.configSync.rejectedVersion)); ok {
		p.log.WithFields(logrus.Fields{"peer": peer.Instance, "version": p.configSync.fetcher.Version(peer), "own-version": p.configVersion()}).
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
		return p.configSync.syncer.TickOwner(now, p.core.Peers())
	}
	return p.configSync.syncer.Tick(now)
}

// addConfig adds the configuration to a heartbeat.
func (p *Process) addConfig(now time.Time, to ident.Process, heartbeat *peerpb.Pulse) {
	if c := p.config.Load(); c != nil {
		heartbeat.ConfigVersion, heartbeat.ConfigSize = c.routes.Version, uint32(len(c.content))
	}
	heartbeat.ConfigAge, heartbeat.Sent = encodeAge(p.configSync.syncer.Age(now)), p.sentTime(now)
	heartbeat.EvacuationRevision = uint64(p.evacuations.revision())
	heartbeat.ReadConfig = p.configSync.syncer.TakeHelper(to)
}

// requestConfig asks a peer for its configuration.
func (p *Process) requestConfig(peer ident.Process) {
	p.sendToPeer(peer, &peerpb.Message{Body: &peerpb.Message_ConfigRequest{ConfigRequest: &peerpb.ConfigRequest{Version: p.configVersion()}}})
}

// receiveConfig handles the configuration of a peer. One that cannot be decoded
// is not asked for again.
func (p *Process) receiveConfig(from ident.Process, c *peerpb.StoredConfig) {
	if !p.activateConfig(c.GetContent(), "peer "+string(from.Instance)) {
		p.configSync.rejectedVersion = max(p.configSync.rejectedVersion, c.GetVersion())
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
	p.configSync.observeAge(now, from, r, own)
	p.logNewerVersion(now, string(from.Instance), r.version)
	p.configSync.fetcher.Observe(now, from, r.version, own, r.size)
}

// maxUptime bounds the time since the start of a peer that it sends, so that it
// can be subtracted from other times.
const maxUptime = 100 * 365 * 24 * time.Hour

// observeAge records how old a peer says its configuration is. It ignores a report
// whose time of sending is out of range.
func (s *configSync) observeAge(now time.Time, from ident.Process, r configReport, own uint64) {
	if r.sent > uint64(maxUptime.Milliseconds()) {
		return
	}
	var delay time.Duration
	if r.sent > 0 {
		delay = s.delays.Observe(now, from, time.Duration(r.sent-1)*time.Millisecond)
	}
	if r.age > 0 {
		age := time.Duration(r.age-1) * time.Millisecond
		s.syncer.Observe(now.Add(-age-delay), r.version, own)
	}
}

// readConfigFor reads the configuration for a peer, which is sent the result in
// a notice.
func (p *Process) readConfigFor(now time.Time, from ident.Process) {
	if !p.configSync.syncer.StartRead(now) {
		return
	}
	p.configSync.noticeTo = from
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
		Version: p.configVersion(), Age: encodeAge(p.configSync.syncer.Age(now)), Evacuations: p.evacuations.encode(), Sent: p.sentTime(now),
	}}}
}
