package instance_test

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/decide/config"
)

// heapBytes returns the bytes in live heap objects.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// BenchmarkCapacityCoreMemory reports the heap bytes of one core without
// submissions.
func BenchmarkCapacityCoreMemory(b *testing.B) {
	for _, size := range []struct{ instances, workers, services int }{
		{14, 200, 20}, {14, 800, 20}, {42, 800, 20}, {14, 800, 5},
	} {
		b.Run(fmt.Sprintf("instances=%d/workers=%d/services=%d", size.instances, size.workers, size.services), func(b *testing.B) {
			const cores = 20
			for b.Loop() {
				before := heapBytes()
				var all [cores]*benchCore
				for i := range all {
					all[i] = newBenchCore(b, size.instances, size.workers, size.services)
				}
				b.ReportMetric((heapBytes()-before)/cores, "B/core")
				runtime.KeepAlive(&all)
			}
		})
	}
}

// BenchmarkCapacityConfigMemory reports the heap bytes of one configuration.
func BenchmarkCapacityConfigMemory(b *testing.B) {
	for _, size := range [][2]int{{5, 18}, {20, 71}} {
		b.Run(fmt.Sprintf("services=%d/teams=%d", size[0], size[1]), func(b *testing.B) {
			rev := config.Next(nil, capacityFile(size[0], size[1]), "apply-0001", "operator", time.Unix(1_700_000_000, 0))
			for b.Loop() {
				before := heapBytes()
				var all [100]config.Holder
				for i := range all {
					if _, err := all[i].Update(rev); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric((heapBytes()-before)/float64(len(all)), "B/configuration")
				runtime.KeepAlive(&all)
			}
		})
	}
}

// BenchmarkCapacityOpenMemory reports the heap bytes of an open submission,
// with inputs of 100 bytes. In the waiting case the service has one worker, in
// the running case 800.
func BenchmarkCapacityOpenMemory(b *testing.B) {
	for _, state := range []string{"waiting", "running"} {
		for _, tasks := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("%s/tasks=%d", state, tasks), func(b *testing.B) {
				for b.Loop() {
					workers, n := 1, 100_000/tasks
					if state == "running" {
						workers, n = designWorkers, 6400/tasks
					}
					c := newBenchCore(b, 1, workers, 1)
					before := heapBytes()
					for _, id := range c.core.NextIDs(c.now, n) {
						c.core.Handle(c.now, c.submission(id, tasks))
					}
					b.ReportMetric(math.Round((heapBytes()-before)/float64(n)), "B/submission")
					b.ReportMetric(float64(c.core.Counters().Starts), "starts")
					runtime.KeepAlive(c)
				}
			})
		}
	}
}

// BenchmarkCapacityRetainedMemory reports the heap bytes of an answered
// submission that is retained, without outputs and with outputs of 100 bytes
// per task.
func BenchmarkCapacityRetainedMemory(b *testing.B) {
	for _, output := range []int{0, 100} {
		for _, tasks := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("output=%d/tasks=%d", output, tasks), func(b *testing.B) {
				for b.Loop() {
					c := newBenchCore(b, 1, designWorkers, 1)
					n := 50_000 / tasks
					before := heapBytes()
					for range n {
						c.runJob(tasks, make([]byte, output))
					}
					b.ReportMetric(math.Round((heapBytes()-before)/float64(n)), "B/submission")
					runtime.KeepAlive(c)
				}
			})
		}
	}
}
