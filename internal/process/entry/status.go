package entry

import (
	"reflect"
	"strings"
	"time"
	"unicode"

	"hornbeamlift.example/hornbeamlift/internal/adapter/endpoint"
	"hornbeamlift.example/hornbeamlift/internal/adapter/platform"
	"hornbeamlift.example/hornbeamlift/internal/decide/instance"
)

// loadInterval is the least time between two computations of the loads that are
// sent along with peer frames.
const loadInterval = 2 * time.Millisecond

// publishLoads stores the current loads for the mesh to read, at most once per
// loadInterval.
func (p *Process) publishLoads() {
	now := p.cfg.Clock.Now()
	if now.Before(p.nextLoad) {
		return
	}
	p.nextLoad = now.Add(loadInterval)
	loads := p.core.Loads(now)
	p.publishedLoads.Store(&loads)
}

// Status is the status of an instance, as operators read it.
type Status struct {
	instance.Status
	Counters  instance.Counters `json:"counters"`
	Store     platform.Stats    `json:"store"`
	Endpoints endpoint.Stats    `json:"endpoint-calls"`
	Peers     PeerStatus        `json:"peers"`
}

// PeerStatus holds the number of open links to peers, counters of the links
// that were refused or went silent, and counters of what was sent to peers on
// each of the two kinds of stream, control and traffic. Bytes do not include
// the overhead of yamux and TCP.
type PeerStatus struct {
	Links           int64  `json:"links"`
	ControlMessages uint64 `json:"control-messages"`
	ControlBytes    uint64 `json:"control-bytes"`
	TrafficFrames   uint64 `json:"traffic-frames"`
	TrafficMessages uint64 `json:"traffic-messages"`
	TrafficBytes    uint64 `json:"traffic-bytes"`
	Refused         uint64 `json:"refused"`
	Silent          uint64 `json:"silent"`
}

func (p *Process) peerStatus() PeerStatus {
	s := p.mesh.Stats()
	return PeerStatus{
		Links:           s.Links.Load(),
		ControlMessages: s.Control.Out.Messages.Load(),
		ControlBytes:    s.Control.Out.Bytes.Load(),
		TrafficFrames:   s.Traffic.Out.Frames.Load(),
		TrafficMessages: s.Traffic.Out.Messages.Load(),
		TrafficBytes:    s.Traffic.Out.Bytes.Load(),
		Refused:         s.Refused.Load(),
		Silent:          s.Silent.Load(),
	}
}

// publishStatus stores the current status for the other goroutines to read.
func (p *Process) publishStatus() {
	now := p.cfg.Clock.Now()
	p.status.Store(&Status{
		Status:    p.core.Status(now),
		Counters:  p.core.Counters(),
		Store:     p.store.Stats(),
		Endpoints: p.endpoints.Stats(),
		Peers:     p.peerStatus(),
	})
}

// registerMetrics registers a metric for each field of instance.Counters. Names
// are in snake case, as the Prometheus text format expects.
func (p *Process) registerMetrics() {
	t := reflect.TypeOf(instance.Counters{})
	for i := range t.NumField() {
		name := "hornbeamlift_" + snakeCase(t.Field(i).Name) + "_total"
		p.metrics.NewGauge(name, func() float64 {
			s := p.status.Load()
			if s == nil {
				return 0
			}
			return float64(reflect.ValueOf(s.Counters).Field(i).Uint())
		})
	}
}

// snakeCase converts a Go field name to snake case.
func snakeCase(name string) string {
	var b strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
