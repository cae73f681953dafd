package listing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/listing"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

var baseTime = time.Unix(1_800_000_000, 0)

func process(i int) ident.Process {
	return ident.Process{Instance: ident.InstanceID(fmt.Sprintf("n-%03d", i)), Incarnation: 1}
}

func entries(n int) []owner.Endpoint {
	list := make([]owner.Endpoint, n)
	for i := range list {
		list[i] = owner.Endpoint{ID: ident.EndpointID(fmt.Sprintf("e-%04d", i)), Labels: []string{"a", "r-1"}}
	}
	return list
}

// TestOnlyChangesAreSent guards against a fleet of many endpoints whose owner
// sends the whole list to all peers each time one endpoint changes.
func TestOnlyChangesAreSent(t *testing.T) {
	is := is.New(t)
	l, peer := listing.New(listing.Config{}), listing.New(listing.Config{})
	list := entries(1100)
	l.Read(baseTime, list)
	is.True(peer.Receive(baseTime, l.Snapshot(baseTime)))
	now := baseTime.Add(time.Second)
	list[5].Draining = true
	list = append(list[:700:700], list[701:]...)
	list = append(list, owner.Endpoint{ID: "a-new"})
	changes := l.Read(now, list)
	is.Equal(len(changes.Changed), 2)
	is.Equal(changes.Removed, []ident.EndpointID{"e-0700"})
	is.True(peer.Apply(now, changes))
	is.Equal(peer.Endpoints(), l.Endpoints())
	is.True(!peer.Apply(now, changes)) // they arrive a second time
	is.True(l.Read(now.Add(time.Second), list).Empty())
}

// TestChangesNeedList guards against an instance that takes changes for the
// whole list.
func TestChangesNeedList(t *testing.T) {
	is := is.New(t)
	l := listing.New(listing.Config{})
	is.True(!l.Apply(baseTime, listing.Changes{Changed: entries(1)}))
	is.Equal(l.Age(baseTime), time.Duration(listing.NoList))
}

// TestPeerWithoutListGetsIt guards against an instance that has no list, since
// the store is down, and gets none from the owner.
func TestPeerWithoutListGetsIt(t *testing.T) {
	is := is.New(t)
	l := listing.New(listing.Config{})
	l.Read(baseTime, entries(3))
	l.HandleLinkUp(process(1))
	none := listing.PeerList{Age: listing.NoList}
	// A peer of an earlier version has one.
	is.Equal(l.NextPush(baseTime, process(1), listing.PeerList{Age: time.Minute}, true), listing.PushNothing)
	is.Equal(l.NextPush(baseTime, process(1), none, false), listing.PushList)
	is.Equal(l.NextPush(baseTime.Add(100*time.Millisecond), process(1), none, false), listing.PushNothing)
	is.Equal(l.NextPush(baseTime.Add(2*time.Second), process(1), none, false), listing.PushList)
	l.HandleLinkDown(process(1))
	is.Equal(l.NextPush(baseTime.Add(9*time.Second), process(1), none, false), listing.PushNothing)
}

// TestPeerWithOtherListGetsWhole guards against a peer that keeps a partial list
// since the owner only sends changes, and against whole lists that are sent
// because of changes that are on the way.
func TestPeerWithOtherListGetsWhole(t *testing.T) {
	is := is.New(t)
	cfg := listing.Config{}.Defaults()
	l, partial := listing.New(cfg), listing.New(cfg)
	l.Read(baseTime, entries(3))
	partial.Read(baseTime, entries(2))
	same := listing.PeerList{Digest: l.Digest()}
	other := listing.PeerList{Digest: partial.Digest()}
	next := func(after time.Duration, peer listing.PeerList) listing.Push {
		return l.NextPush(baseTime.Add(after), process(1), peer, false)
	}
	compareFirst := func(missing bool, peer listing.PeerList) listing.Push {
		l.HandleLinkUp(process(1))
		return l.NextPush(baseTime, process(1), peer, missing)
	}
	is.Equal(compareFirst(false, same), listing.PushNothing)
	is.Equal(compareFirst(true, same), listing.PushMissing)
	is.Equal(compareFirst(true, other), listing.PushList)
	is.Equal(next(cfg.DifferenceDelay-time.Millisecond, other), listing.PushNothing) // it is on the way
	is.Equal(next(2*cfg.DifferenceDelay, other), listing.PushList)

	is.Equal(compareFirst(false, same), listing.PushNothing)
	is.Equal(next(time.Second, other), listing.PushNothing) // changes are on the way
	is.Equal(next(time.Second+cfg.DifferenceDelay-1, other), listing.PushNothing)
	is.Equal(next(time.Second+cfg.DifferenceDelay, other), listing.PushList)
	is.Equal(next(time.Second+cfg.DifferenceDelay+cfg.PushInterval, other), listing.PushNothing)
	is.Equal(next(10*time.Second, same), listing.PushNothing)
	is.Equal(next(20*time.Second, other), listing.PushNothing)
	l.HandleTakeover()
	is.Equal(next(20*time.Second, other), listing.PushList)
}

// TestDigestFollowsList guards against lists of different endpoints whose
// digests agree, and against equal lists whose digests do not.
func TestDigestFollowsList(t *testing.T) {
	is := is.New(t)
	l, peer := listing.New(listing.Config{}), listing.New(listing.Config{})
	is.Equal(l.Digest(), uint64(0))
	list := entries(3)
	l.Read(baseTime, []owner.Endpoint{list[2], list[0], list[1]})
	is.True(l.Digest() != 0)
	is.True(peer.Receive(baseTime, l.Snapshot(baseTime)))
	is.Equal(peer.Digest(), l.Digest())
	now := baseTime.Add(time.Second)
	changes := l.Read(now, list[:2])
	is.True(peer.Digest() != l.Digest())
	is.True(peer.Apply(now, changes))
	is.Equal(peer.Digest(), l.Digest())
	// A snapshot of the missing endpoints only has no list.
	is.True(!listing.New(listing.Config{}).Receive(now, listing.Snapshot{Age: listing.NoList, Missing: list}))
	l.Read(now, []owner.Endpoint{{ID: "ab"}, {ID: "c"}})
	peer.Read(now, []owner.Endpoint{{ID: "a"}, {ID: "bc"}})
	is.True(peer.Digest() != l.Digest())
}

// TestFewHelpers guards against a fleet in which all instances read the list
// and send it to an owner that the store turns away, and against an owner that
// keeps helpers which the store turns away as well.
func TestFewHelpers(t *testing.T) {
	is := is.New(t)
	l := listing.New(listing.Config{})
	var peers []ident.Process
	for i := range 146 {
		peers = append(peers, process(i))
	}
	l.Read(baseTime, entries(10))
	is.Equal(len(l.SelectHelpers(baseTime.Add(time.Second), peers)), 0)
	asked := map[ident.Process]bool{}
	now := baseTime.Add(2 * time.Second)
	for range 40 {
		now = now.Add(50 * time.Millisecond)
		helpers := l.SelectHelpers(now, peers)
		is.Equal(len(helpers), 2)
		for _, h := range helpers {
			asked[h] = true
		}
	}
	is.True(len(asked) >= 6) // helpers that did not answer are replaced
	is.True(len(asked) <= 10)
	helpers := l.SelectHelpers(now, peers)
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		l.Apply(now, listing.Changes{Age: 5 * time.Millisecond})
		is.Equal(l.SelectHelpers(now, peers), helpers) // helpers that answer remain
	}
	l.Read(now, entries(10))
	is.Equal(len(l.SelectHelpers(now, peers)), 0)
}

// TestHelperSendsChanges guards against a helper that sends the whole list each
// time it has read it.
func TestHelperSendsChanges(t *testing.T) {
	is := is.New(t)
	l := listing.New(listing.Config{})
	l.Read(baseTime, entries(10))
	_, asked := l.ReplyToRequest(baseTime)
	is.True(!asked)
	is.True(l.HandleRequest(baseTime, process(1)))
	is.True(!l.HandleRequest(baseTime, process(1)))
	reply, _ := l.ReplyToRequest(baseTime)
	is.Equal(reply.To, process(1))
	is.Equal(len(reply.Snapshot.Endpoints), 10)
	now := baseTime.Add(400 * time.Millisecond)
	l.HandleRequest(now, process(1))
	l.Read(now, entries(11))
	reply, _ = l.ReplyToRequest(now)
	is.True(reply.Snapshot == nil)
	is.Equal(len(reply.Changes.Changed), 1)
	_, asked = l.ReplyToRequest(now.Add(time.Second)) // the request has expired
	is.True(!asked)
}
