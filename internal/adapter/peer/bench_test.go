package peer_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"hornbeamlift.example/hornbeamlift/internal/adapter/peer"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// BenchmarkHeartbeat reports the bytes of one heartbeat in its frame, without
// what yamux (12 bytes) and TCP add.
func BenchmarkHeartbeat(b *testing.B) {
	for _, services := range []int{0, 3} {
		b.Run(fmt.Sprint("services=", services), func(b *testing.B) {
			hb := &peerpb.Heartbeat{
				Instance: "entry-penang-1", Incarnation: 0x019ae3f40a7c1234, Sequence: 100_000,
				ConfigRevision: 5_000, ListVersion: 80_000,
			}
			for i := range services {
				hb.Load = append(hb.Load, &peerpb.Load{
					Service: fmt.Sprint("render-", i), FreeSlots: 40, Queued: 300, EndMs: 250, Slots: 64,
				})
			}
			batch := &peerpb.Batch{Messages: []*peerpb.Message{{Body: &peerpb.Message_Heartbeat{Heartbeat: hb}}}}
			size := 0
			for b.Loop() {
				body, err := proto.Marshal(batch)
				if err != nil {
					b.Fatal(err)
				}
				size = 4 + len(body)
			}
			b.ReportMetric(float64(size), "bytes/heartbeat")
		})
	}
}

// BenchmarkMesh measures messages of 200 bytes from one mesh to another over
// loopback, with as many in flight as the queue takes.
func BenchmarkMesh(b *testing.B) {
	x, y := start(b, "entry-a", 1, nil), start(b, "entry-b", 1, nil)
	x.SetTargets([]peer.Target{y.target()})
	until(b, "link", connected(x, y))
	in := &y.Stats().Traffic.In.Messages
	m := message(string(make([]byte, 200)))
	b.ReportAllocs()
	sent := uint64(0)
	for b.Loop() {
		for !x.Send(y.self.Instance, y.self.Incarnation, false, m) {
			time.Sleep(20 * time.Microsecond)
		}
		sent++
	}
	until(b, "all messages", func() bool { return in.Load() == sent })
	b.ReportMetric(float64(sent)/b.Elapsed().Seconds(), "messages/s")
	b.ReportMetric(float64(sent)/float64(x.Stats().Traffic.Out.Frames.Load()), "messages/frame")
}

// BenchmarkRoundTrip measures one message and its answer on an idle link.
func BenchmarkRoundTrip(b *testing.B) {
	x, y := start(b, "entry-a", 1, nil), start(b, "entry-b", 1, nil)
	x.SetTargets([]peer.Target{y.target()})
	until(b, "link", connected(x, y))
	m := message("x")
	b.ReportAllocs()
	for n := uint64(1); b.Loop(); n++ {
		x.Send(y.self.Instance, 1, false, m)
		for y.Stats().Traffic.In.Messages.Load() < n {
			runtime.Gosched()
		}
	}
}

// BenchmarkLinkMemory reports the heap and stacks that one link takes up at
// both of its ends together, idle and after traffic.
func BenchmarkLinkMemory(b *testing.B) {
	const peers = 40
	for b.Loop() {
		hub := start(b, "entry-a", 1, nil)
		nodes := make([]*node, peers)
		targets := make([]peer.Target, peers)
		for i := range nodes {
			nodes[i] = start(b, fmt.Sprint("entry-b", i), 1, nil)
			targets[i] = nodes[i].target()
		}
		before := memory()
		hub.SetTargets(targets)
		until(b, "links", func() bool { return hub.Stats().Links.Load() == peers })
		b.ReportMetric((memory()-before)/peers, "B/idle-link")
		for _, n := range nodes {
			for range 100 {
				hub.send(n, false, string(make([]byte, 2000)))
			}
		}
		for _, n := range nodes {
			until(b, "messages", func() bool { return n.received() == 100 })
			n.note(func() { n.messages, n.from = nil, nil })
		}
		b.ReportMetric((memory()-before)/peers, "B/used-link")
	}
}

func memory() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc + s.StackInuse)
}
