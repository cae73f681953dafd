package member_test

import (
	"fmt"
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/member"
)

// BenchmarkTick measures one tick of a view whose peers all send heartbeats.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			s := newSim(b)
			for i := range n - 1 {
				s.heartbeating = append(s.heartbeating, process(fmt.Sprint("entry-", i), 1))
			}
			s.advance(time.Second)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.now = s.now.Add(step)
				if i%10 == 0 {
					for _, p := range s.heartbeating {
						s.heartbeat(p)
					}
					s.changes = nil
				}
				s.Tick(s.now)
			}
		})
	}
}

// BenchmarkOwned measures the assignment of endpoints after a change of
// membership, with six instances in the data centre.
func BenchmarkOwned(b *testing.B) {
	for _, n := range []int{50, 200, 800} {
		b.Run(fmt.Sprint("endpoints=", n), func(b *testing.B) {
			s := newSim(b)
			for i := range 5 {
				s.heartbeat(process(fmt.Sprint("entry-", i), 1))
			}
			var rows []work.Instance
			for i := range n {
				rows = append(rows, endpointRow(fmt.Sprint("worker-", i)))
			}
			s.SetList(s.now, 1, rows)
			draining := false
			b.ReportAllocs()
			for b.Loop() {
				draining = !draining
				s.HandleHeartbeat(s.now, member.Heartbeat{Process: process("entry-1", 1), Draining: draining})
				if len(s.Owned(ident.Service("render"))) == 0 {
					b.Fatal("nothing is owned")
				}
			}
		})
	}
}
