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
	is.True(!l.NeedsPush(baseTime, process(1), time.Minute)) // it has one
	is.True(l.NeedsPush(baseTime, process(1), listing.NoList))
	is.True(!l.NeedsPush(baseTime.Add(100*time.Millisecond), process(1), listing.NoList))
	is.True(l.NeedsPush(baseTime.Add(2*time.Second), process(1), listing.NoList))
	l.HandleLinkDown(process(1))
	is.True(!l.NeedsPush(baseTime.Add(9*time.Second), process(1), listing.NoList))
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
