package leader_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/decide/leader"
)

// TestLargerGroupKeepsOwner guards against a second change of the owner when a
// network partition ends, since the earlier owner, which was separated, is more
// senior.
func TestLargerGroupKeepsOwner(t *testing.T) {
	of := func(owner, followers int, seniority leader.Seniority) leader.Heartbeat {
		return leader.Heartbeat{Seniority: seniority, Owner: process(owner), Followers: followers}
	}
	tests := map[string]struct {
		self      int
		seniority leader.Seniority
		// own is the heartbeat of another member of the instance's part.
		own         int
		ownMember   leader.Heartbeat
		other       int
		otherMember leader.Heartbeat
		want        int
	}{
		"the owner of more stays":               {1, 100, 2, of(1, 2, 120), 0, of(0, 1, 50), 1},
		"its follower stays":                    {2, 120, 1, of(1, 2, 100), 0, of(0, 1, 50), 1},
		"a senior follower returns":             {1, 100, 2, of(1, 2, 120), 3, of(0, 1, 60), 1},
		"the owner of fewer yields":             {0, 50, 3, of(0, 2, 60), 1, of(1, 5, 100), 1},
		"equal numbers: the senior one leads":   {0, 50, 3, of(0, 2, 60), 1, of(1, 2, 100), 0},
		"a follower of fewer does not lead":     {3, 60, 0, of(1, 5, 101), 4, of(1, 5, 130), 0},
		"before any owner seniority is decides": {3, 60, 0, leader.Heartbeat{Seniority: 50}, 4, leader.Heartbeat{Seniority: 70}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			v := newView(t, tt.self, "a", tt.seniority)
			now := baseTime.Add(2 * time.Second)
			v.HandleLinkUp(now, process(tt.own), "a")
			first := tt.ownMember
			if first.Owner == process(1) && tt.own == 0 {
				first = of(0, 2, 50) // the owner has not yielded yet
			}
			v.HandleHeartbeat(now, process(tt.own), first)
			v.Tick(now)
			v.HandleHeartbeat(now, process(tt.own), tt.ownMember)
			v.HandleLinkUp(now, process(tt.other), "b")
			v.HandleHeartbeat(now, process(tt.other), tt.otherMember)
			v.Tick(now)
			owner, _ := v.Owner()
			is.Equal(owner, process(tt.want))
		})
	}
}
