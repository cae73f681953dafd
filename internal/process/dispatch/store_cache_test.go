package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// TestEndpointCache guards against a list that differs from the store's after
// reads that transfer only what has changed.
func TestEndpointCache(t *testing.T) {
	is := is.New(t)
	entry := func(id ident.EndpointID, address string) owner.Endpoint {
		return owner.Endpoint{ID: id, Address: address}
	}
	row := func(id ident.EndpointID, address string) EndpointRow {
		return EndpointRow{ID: id, Endpoint: entry(id, address)}
	}
	var c endpointCache
	c.apply(EndpointUpdate{Whole: true, Rows: []EndpointRow{row("b", "1"), row("a", "1"), row("c", "1")}, Revision: 7})
	is.Equal(c.list, []owner.Endpoint{entry("a", "1"), entry("b", "1"), entry("c", "1")})
	before := c.list
	c.apply(EndpointUpdate{Revision: 8})
	is.Equal(c.list, before)
	// Within an update the latest change of a key counts.
	c.apply(EndpointUpdate{Rows: []EndpointRow{row("d", "1"), {ID: "b", Removed: true}, row("a", "2"), row("a", "3")}, Revision: 9})
	is.Equal(c.list, []owner.Endpoint{entry("a", "3"), entry("c", "1"), entry("d", "1")})
	is.Equal(c.revision, StoreRevision(9))
	is.Equal(before, []owner.Endpoint{entry("a", "1"), entry("b", "1"), entry("c", "1")}) // not modified
	// A whole list replaces everything.
	c.apply(EndpointUpdate{Whole: true, Rows: []EndpointRow{row("e", "1")}, Revision: 12})
	is.Equal(c.list, []owner.Endpoint{entry("e", "1")})
}

// TestMemberCache guards against members that stay after their key was removed.
func TestMemberCache(t *testing.T) {
	is := is.New(t)
	member := func(id ident.InstanceID) Member { return Member{Process: ident.Process{Instance: id}} }
	var c memberCache
	is.Equal(c.apply(MemberUpdate{Whole: true, Rows: []MemberRow{{Instance: "b", Member: member("b")}, {Instance: "a", Member: member("a")}}}), []Member{member("a"), member("b")})
	is.Equal(c.apply(MemberUpdate{Rows: []MemberRow{{Instance: "a", Removed: true}}}), []Member{member("b")})
}
