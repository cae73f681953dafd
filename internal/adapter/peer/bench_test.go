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

// BenchmarkHeartbeat reports the size of a heartbeat in its frame, without the
// overhead of yamux (12 bytes) and TCP.
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

// BenchmarkMesh measures the throughput of messages of 200 bytes from one mesh
// to another over loopback, with as many in flight as the queue accepts.
func BenchmarkMesh(b *testing.B) {
	x, y := startPeer(b, "entry-a", 1, nil), startPeer(b, "entry-b", 1, nil)
	x.SetTargets([]peer.Target{y.target()})
	waitFor(b, "link", connected(x, y))
	in := &y.Stats().Traffic.In.Messages
	m := newMessage(string(make([]byte, 200)))
	b.ReportAllocs()
	sent := uint64(0)
	for b.Loop() {
		for !x.Send(y.self.Instance, y.self.Incarnation, false, m) {
			time.Sleep(20 * time.Microsecond)
		}
		sent++
	}
	waitFor(b, "all messages", func() bool { return in.Load() == sent })
	b.ReportMetric(float64(sent)/b.Elapsed().Seconds(), "messages/s")
	b.ReportMetric(float64(sent)/float64(x.Stats().Traffic.Out.Frames.Load()), "messages/frame")
}

// BenchmarkOneWayLatency measures the time until a message on an idle link has
// been received. No answer is sent.
func BenchmarkOneWayLatency(b *testing.B) {
	x, y := startPeer(b, "entry-a", 1, nil), startPeer(b, "entry-b", 1, nil)
	x.SetTargets([]peer.Target{y.target()})
	waitFor(b, "link", connected(x, y))
	m := newMessage("x")
	b.ReportAllocs()
	for n := uint64(1); b.Loop(); n++ {
		x.Send(y.self.Instance, 1, false, m)
		for y.Stats().Traffic.In.Messages.Load() < n {
			runtime.Gosched()
		}
	}
}

// BenchmarkLinkMemory reports the heap and stack memory of one link, at both
// ends together, while idle and after traffic.
func BenchmarkLinkMemory(b *testing.B) {
	const peers = 40
	for b.Loop() {
		hub := startPeer(b, "entry-a", 1, nil)
		remotes := make([]*testPeer, peers)
		targets := make([]peer.Target, peers)
		for i := range remotes {
			remotes[i] = startPeer(b, fmt.Sprint("entry-b", i), 1, nil)
			targets[i] = remotes[i].target()
		}
		before := heapAndStackBytes()
		hub.SetTargets(targets)
		waitFor(b, "links", func() bool { return hub.Stats().Links.Load() == peers })
		b.ReportMetric((heapAndStackBytes()-before)/peers, "B/idle-link")
		for _, remote := range remotes {
			for range 100 {
				hub.send(remote, false, string(make([]byte, 2000)))
			}
		}
		for _, remote := range remotes {
			waitFor(b, "messages", func() bool { return remote.received() == 100 })
			remote.withLock(func() { remote.messages, remote.from = nil, nil })
		}
		b.ReportMetric((heapAndStackBytes()-before)/peers, "B/used-link")
	}
}

func heapAndStackBytes() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc + s.StackInuse)
}
