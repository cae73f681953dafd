package endpoints_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/endpoints"
)

// BenchmarkPick measures one Pick and one Finish per operation, with 90% of the
// slots in use. The pool's time advances by 60 us per operation, as at 17,000
// starts/s, so that the result includes the cost of a refresh every second.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{50, 200, 800} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			p := endpoints.NewPool(endpoints.Defaults(), 500*time.Millisecond)
			now := epoch
			var instances []work.Instance
			for i := range n {
				instances = append(instances, work.Instance{ID: fmt.Sprintf("worker-%03d", i), Incarnation: 1, Slots: 8})
			}
			p.SetOwned(now, instances)
			running := make([]work.Instance, 0, n*8)
			for range n * 8 * 9 / 10 {
				c, _ := p.Pick(now, 1)
				running = append(running, c.Endpoint)
			}
			outcomes := make([]endpoints.Outcome, 1024)
			for i := range outcomes {
				took := time.Duration(50+random.ExpFloat64()*450) * time.Millisecond
				outcomes[i] = endpoints.Outcome{Took: took, Size: 1 + random.Float64()}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(60 * time.Microsecond)
				j := random.IntN(len(running))
				p.Finish(now, ident.EndpointID(running[j].ID), 1, outcomes[i%len(outcomes)])
				c, ok := p.Pick(now, outcomes[i%len(outcomes)].Size)
				if !ok {
					b.Fatal("no free slot")
				}
				running[j] = c.Endpoint
			}
		})
	}
}
