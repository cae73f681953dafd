package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/member"
)

// referenceOwners assigns endpoints one by one: each time it takes the pair
// with the highest score among the endpoints without an owner and the instances
// below their bound.
func referenceOwners(endpoints []string, instances []ident.InstanceID) map[ident.EndpointID]ident.InstanceID {
	owners := map[ident.EndpointID]ident.InstanceID{}
	ownedEndpoints := map[ident.InstanceID]int{}
	bound := (len(endpoints) + len(instances) - 1) / len(instances)
	for len(owners) < len(endpoints) {
		var best uint64
		var endpoint ident.EndpointID
		var instance ident.InstanceID
		for _, e := range endpoints {
			for _, i := range instances {
				score := xxhash.Sum64String(e + "\x00" + string(i))
				if owners[ident.EndpointID(e)] == "" && ownedEndpoints[i] < bound && score > best {
					best, endpoint, instance = score, ident.EndpointID(e), i
				}
			}
		}
		owners[endpoint] = instance
		ownedEndpoints[instance]++
	}
	return owners
}

// TestOwnersMatchReference guards against owners that differ from those of a
// simple reference implementation, and against an uneven distribution. Every
// instance must compute the same owners.
func TestOwnersMatchReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(&testing.T{})
		instances := []ident.InstanceID{"entry-a"}
		for i := range rapid.IntRange(0, 6).Draw(t, "peers") {
			p := process(fmt.Sprintf("entry-%d", i), 1)
			instances = append(instances, p.Instance)
			s.heartbeat(p)
		}
		var endpoints []string
		var rows []work.Instance
		for i := range rapid.IntRange(1, 60).Draw(t, "endpoints") {
			id := fmt.Sprintf("worker-%d-%d", rapid.IntRange(0, 1000).Draw(t, "rack"), i)
			endpoints = append(endpoints, id)
			rows = append(rows, endpointRow(id))
		}
		s.SetList(s.now, 1, rows)
		owned := 0
		for e, want := range referenceOwners(endpoints, instances) {
			got, ok := s.Owner(e, "dc-1")
			if !ok || got != want {
				t.Fatalf("%s is owned by %q instead of %q", e, got, want)
			}
			if got == "entry-a" {
				owned++
			}
		}
		if len(s.Owned("render")) != owned {
			t.Fatalf("Owned has %d endpoints instead of %d", len(s.Owned("render")), owned)
		}
	})
}

// TestOwnersWithUnevenSlots guards against endpoints without an owner. With
// different slot counts, the last endpoint may fit no instance within the
// bound.
func TestOwnersWithUnevenSlots(t *testing.T) {
	for trial := range 100 {
		s := newSim(t)
		s.heartbeat(process("entry-b", 1))
		var rows []work.Instance
		for i, slots := range []int{8, 7, 7, 7, 3} { // the bound is 16; after 8+7 and 7+7, the 3 exceeds it on both instances
			row := endpointRow(fmt.Sprintf("w-%d-%d", trial, i))
			row.Slots = slots
			rows = append(rows, row)
		}
		s.SetList(s.now, 1, rows)
		ownedSlots := map[ident.InstanceID]int{}
		for _, row := range rows {
			owner, ok := s.Owner(ident.EndpointID(row.ID), "dc-1")
			if !ok {
				t.Fatalf("%s has no owner", row.ID)
			}
			ownedSlots[owner] += row.Slots
		}
		own := 0
		for _, row := range s.Owned("render") {
			own += row.Slots
		}
		if own != ownedSlots["entry-a"] || own < 14 || own > 18 {
			t.Fatalf("%d slots in Owned, loads are %v", own, ownedSlots)
		}
	}
}

// TestViewsAgreeOnRandomEvents guards against two incarnations of an instance
// that are members at once, views that disagree on ownership after the same
// events, and cached owners that are stale after a change.
func TestViewsAgreeOnRandomEvents(t *testing.T) {
	ids := []string{"entry-a", "entry-b", "entry-c", "entry-d", "entry-e"}
	rapid.Check(t, func(t *rapid.T) {
		views := make([]*member.View, 3)
		// The first two are views of entry-a and entry-b. The third is also a
		// view of entry-a, but is queried for owners only at the end, so it has
		// no cached ones.
		for i, id := range []string{"entry-a", "entry-b", "entry-a"} {
			views[i], _ = member.NewView(member.Config{Self: process(id, 1), DataCentre: "dc-1"}, startTime)
		}
		now, listVersion := startTime, uint64(0)
		highest := map[ident.InstanceID]ident.Incarnation{"entry-a": 1, "entry-b": 1}
		var rows []work.Instance
		exchangeHeartbeats := func() {
			for i, other := range []string{"entry-b", "entry-a", "entry-b"} {
				views[i].HandleHeartbeat(now, member.Heartbeat{Process: process(other, 1), DataCentre: "dc-1"})
			}
		}
		exchangeHeartbeats()
		forEachView := func(f func(*member.View)) {
			for _, v := range views {
				f(v)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"heartbeat": func(t *rapid.T) {
				p := process(rapid.SampledFrom(ids[2:]).Draw(t, "id"), ident.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")))
				hb := member.Heartbeat{Process: p, DataCentre: "dc-1", Draining: rapid.Bool().Draw(t, "draining")}
				forEachView(func(v *member.View) { v.HandleHeartbeat(now, hb) })
				highest[p.Instance] = max(highest[p.Instance], p.Incarnation)
			},
			"link down": func(t *rapid.T) {
				p := process(rapid.SampledFrom(ids[2:]).Draw(t, "id"), ident.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")))
				forEachView(func(v *member.View) { v.HandleLinkDown(now, p) })
			},
			"list": func(t *rapid.T) {
				rows = nil
				for _, id := range ids {
					if rapid.Bool().Draw(t, id) {
						row := entryRow(id, 1)
						row.Leaving = rapid.Bool().Draw(t, "leaving")
						rows = append(rows, row)
						if !row.Leaving {
							highest[ident.InstanceID(id)] = max(highest[ident.InstanceID(id)], 1)
						}
					}
				}
				for i := range rapid.IntRange(0, 9).Draw(t, "endpoints") {
					rows = append(rows, endpointRow(fmt.Sprint("w-", i)))
				}
				listVersion++
				forEachView(func(v *member.View) { v.SetList(now, listVersion, rows) })
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "steps")) * step)
				exchangeHeartbeats()
				forEachView(func(v *member.View) { v.Tick(now) })
			},
			"": func(t *rapid.T) {
				checkStates(t, views[0], highest)
				compareOwners(t, views[0], views[1])
			},
		})
		compareOwners(t, views[0], views[2])
	})
}

// checkStates fails unless exactly the incarnations below the highest are
// replaced and exactly those above it are unknown.
func checkStates(t *rapid.T, v *member.View, highest map[ident.InstanceID]ident.Incarnation) {
	for id, top := range highest {
		for i := ident.Incarnation(1); i <= 3; i++ {
			state := v.State(ident.Process{Instance: id, Incarnation: i})
			if (i < top) != (state == member.Replaced) || (i > top) != (state == member.Unknown) {
				t.Fatalf("%s.%d is %v while %d is the highest", id, i, state, top)
			}
		}
	}
}

// compareOwners fails if the two views disagree on the owner of an endpoint.
func compareOwners(t *rapid.T, a, b *member.View) {
	for i := range 10 { // w-9 is never listed
		id := ident.EndpointID(fmt.Sprint("w-", i))
		x, ok := a.Owner(id, "dc-1")
		y, ok2 := b.Owner(id, "dc-1")
		if x != y || ok != ok2 {
			t.Fatalf("%s is owned by %q and %q", id, x, y)
		}
	}
}
