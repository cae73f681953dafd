package listing

import (
	"hash/fnv"
	"io"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// Push is what an owner sends of its list to a peer because of a heartbeat.
type Push int

const (
	// PushNothing is for a peer that knows the list, or to which its changes
	// are on the way.
	PushNothing Push = iota
	// PushMissing is for a peer that has the same list, but may not know the
	// endpoints that the owner still polls although the list lacks them.
	PushMissing
	// PushList is for a peer that has no list or another one. It gets the whole
	// list and the missing endpoints.
	PushList
)

// PeerList is what a peer's heartbeat says about its list.
type PeerList struct {
	// Age is the age of the list, NoList without one.
	Age time.Duration
	// Digest is that of the list. It is zero for peers that do not send it.
	Digest uint64
}

// pushState is what the owner knows about the list of a linked peer.
type pushState struct {
	// pushedAt is when the owner last sent the whole list, or zero.
	pushedAt time.Time
	// compared is set once the lists were compared.
	compared bool
	// differsSince is since when the peer's list differs from the owner's, or
	// zero.
	differsSince time.Time
}

// HandleLinkUp records a new link to a peer.
func (l *List) HandleLinkUp(p ident.Process) { l.pushes[p] = &pushState{} }

// HandleLinkDown records that the link to a peer ended.
func (l *List) HandleLinkDown(p ident.Process) { delete(l.pushes, p) }

// HandleTakeover records that this instance has become the owner, so that it
// compares its list with those of all linked peers.
func (l *List) HandleTakeover() {
	for p := range l.pushes {
		l.pushes[p] = &pushState{}
	}
}

// NextPush returns what the owner has to send to a linked peer that has sent a
// heartbeat, and counts it as sent. The parameter missing says whether the owner
// polls endpoints that its list lacks. A peer that becomes the owner must poll
// all endpoints that may have runs, so it gets the list at once if it has none or
// another one when the two are first compared. Later the list must have differed
// for Config.DifferenceDelay.
func (l *List) NextPush(now time.Time, p ident.Process, peer PeerList, missing bool) Push {
	s := l.pushes[p]
	if s == nil || !l.Known() {
		return PushNothing
	}
	switch {
	case peer.Age >= NoList:
	case peer.Digest == 0:
		return PushNothing
	case peer.Digest == l.digest:
		first := !s.compared && s.pushedAt.IsZero()
		s.compared, s.differsSince = true, time.Time{}
		if first && missing {
			return PushMissing
		}
		return PushNothing
	case !s.compared:
	case s.differsSince.IsZero():
		s.differsSince = now
		return PushNothing
	case now.Sub(s.differsSince) < l.cfg.DifferenceDelay:
		return PushNothing
	}
	if now.Sub(s.pushedAt) < l.cfg.PushInterval {
		return PushNothing
	}
	s.pushedAt, s.compared, s.differsSince = now, peer.Age < NoList, time.Time{}
	return PushList
}

// Digest returns a digest of the ids of the listed endpoints, or zero without a
// list.
func (l *List) Digest() uint64 { return l.digest }

// digest returns the digest of a sorted list, which is never zero.
func digest(sorted []owner.Endpoint) uint64 {
	h := fnv.New64a()
	for i := range sorted {
		_, _ = io.WriteString(h, string(sorted[i].ID))
		_, _ = h.Write([]byte{0}) // separates the ids
	}
	return max(h.Sum64(), 1)
}
