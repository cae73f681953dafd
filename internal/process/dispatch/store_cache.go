package dispatch

import (
	"maps"
	"slices"
	"strings"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// EndpointRow is an entry of an endpoint, or its removal.
type EndpointRow struct {
	ID       ident.EndpointID
	Endpoint owner.Endpoint
	// Removed is also set if the entry is invalid, and Invalid then says why.
	Removed bool
	Invalid error
}

// EndpointUpdate is what a read of the endpoints returned: all of them if Whole
// is set, and otherwise, in the order of the changes, what has changed since
// the revision of the read before. Revision is the store's.
type EndpointUpdate struct {
	Whole    bool
	Rows     []EndpointRow
	Revision StoreRevision
}

// MemberRow is the key of an instance, or its removal.
type MemberRow struct {
	Instance ident.InstanceID
	Member   Member
	// Removed is also set if the key is invalid, and Invalid then says why.
	Removed bool
	Invalid error
}

// MemberUpdate is what a read of the instances' keys returned, like
// EndpointUpdate.
type MemberUpdate struct {
	Whole    bool
	Rows     []MemberRow
	Revision StoreRevision
}

// endpointCache holds the list of endpoints between reads, so that a read
// transfers only what has changed. The zero value is empty, and so its next
// read must be of the whole list.
type endpointCache struct {
	revision StoreRevision
	entries  map[ident.EndpointID]owner.Endpoint
	// list holds the entries sorted by id. It is replaced and not modified when
	// they change.
	list []owner.Endpoint
}

// apply updates the cache and returns the list.
func (c *endpointCache) apply(u EndpointUpdate) []owner.Endpoint {
	c.revision = u.Revision
	if u.Whole || c.entries == nil {
		c.entries = make(map[ident.EndpointID]owner.Endpoint, len(u.Rows))
	} else if len(u.Rows) == 0 {
		return c.list
	}
	for _, row := range u.Rows {
		if row.Removed {
			delete(c.entries, row.ID)
			continue
		}
		c.entries[row.ID] = row.Endpoint
	}
	c.list = slices.SortedFunc(maps.Values(c.entries), func(a, b owner.Endpoint) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return c.list
}

// memberCache holds the members between reads, like endpointCache.
type memberCache struct {
	revision StoreRevision
	members  map[ident.InstanceID]Member
}

// apply updates the cache and returns the members in the order of their ids.
func (c *memberCache) apply(u MemberUpdate) []Member {
	c.revision = u.Revision
	if u.Whole || c.members == nil {
		c.members = make(map[ident.InstanceID]Member, len(u.Rows))
	}
	for _, row := range u.Rows {
		if row.Removed {
			delete(c.members, row.Instance)
			continue
		}
		c.members[row.Instance] = row.Member
	}
	return slices.SortedFunc(maps.Values(c.members), func(a, b Member) int {
		return strings.Compare(string(a.Process.Instance), string(b.Process.Instance))
	})
}
