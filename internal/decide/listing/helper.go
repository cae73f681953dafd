package listing

import (
	"slices"
	"strings"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// helpers holds the peers that read the list for this instance while it owns
// the endpoints and its own list is stale.
type helpers struct {
	peers   []ident.Process
	askedAt time.Time
}

// SelectHelpers returns the peers that shall read the list for this instance,
// the owner, out of its linked peers in the order of their ids. It returns none
// while this instance can read the list itself. Helpers are replaced by the
// next peers if no list has arrived within Config.HelperTimeout.
func (l *List) SelectHelpers(now time.Time, peers []ident.Process) []ident.Process {
	if now.Sub(l.ownReadAt) <= l.cfg.MaxAge {
		l.helpers = helpers{}
		return nil
	}
	waiting := now.Sub(l.helpers.askedAt) < l.cfg.HelperTimeout
	if len(l.helpers.peers) > 0 && (waiting || l.Age(now) <= l.cfg.MaxAge) {
		return l.helpers.peers
	}
	l.helpers = helpers{peers: l.nextHelpers(peers), askedAt: now}
	return l.helpers.peers
}

// nextHelpers returns the peers that follow the present helpers.
func (l *List) nextHelpers(peers []ident.Process) []ident.Process {
	first := 0
	if n := len(l.helpers.peers); n > 0 {
		at, found := slices.BinarySearchFunc(peers, l.helpers.peers[n-1], compareProcesses)
		if first = at; found {
			first++
		}
	}
	var next []ident.Process
	for i := range min(l.cfg.Helpers, len(peers)) {
		next = append(next, peers[(first+i)%len(peers)])
	}
	return next
}

func compareProcesses(a, b ident.Process) int {
	return strings.Compare(string(a.Instance), string(b.Instance))
}

// request is a request of an owner to read the list for it.
type request struct {
	from ident.Process
	at   time.Time
	// sent is the list that the owner was last sent, for a difference.
	sent []owner.Endpoint
}

// requestValidity is how long a request of an owner holds; owners repeat it
// with each heartbeat.
const requestValidity = 500 * time.Millisecond

// HandleRequest records that an owner asks for the list, and reports whether
// the request is new, so that the list must be read at once.
func (l *List) HandleRequest(now time.Time, from ident.Process) bool {
	isNew := l.request.from != from || !l.Requested(now)
	if isNew {
		l.request = request{from: from}
	}
	l.request.at = now
	return isNew
}

// Requested reports whether an owner asks this instance to read the list.
func (l *List) Requested(now time.Time) bool {
	return l.request.from.Instance != "" && now.Sub(l.request.at) < requestValidity
}

// Reply is what a helper sends to an owner: a whole list, or the changes since
// the last one if Snapshot is nil.
type Reply struct {
	To       ident.Process
	Snapshot *Snapshot
	Changes  Changes
}

// ReplyToRequest returns what to send to the owner that asked for the list,
// which has just been read. It returns false when no owner asks for it.
func (l *List) ReplyToRequest(now time.Time) (Reply, bool) {
	if !l.Requested(now) {
		return Reply{}, false
	}
	reply := Reply{To: l.request.from}
	if l.request.sent == nil {
		whole := l.Snapshot(now)
		reply.Snapshot = &whole
	} else {
		reply.Changes = difference(l.request.sent, l.endpoints)
		reply.Changes.Age = l.Age(now)
	}
	l.request.sent = l.endpoints
	return reply, true
}
