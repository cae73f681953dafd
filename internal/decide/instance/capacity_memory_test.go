package instance_test

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/decide/config"
)

// heap returns the bytes in live objects.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// BenchmarkCapacityCoreMemory reports the bytes of one core without
// submissions.
func BenchmarkCapacityCoreMemory(b *testing.B) {
	for _, size := range []struct{ instances, workers, services int }{
		{14, 200, 20}, {14, 800, 20}, {42, 800, 20}, {14, 800, 5},
	} {
		b.Run(fmt.Sprintf("instances=%d/workers=%d/services=%d", size.instances, size.workers, size.services), func(b *testing.B) {
			const cores = 20
			for b.Loop() {
				before := heap()
				var all [cores]*crowd
				for i := range all {
					all[i] = newCrowd(b, size.instances, size.workers, size.services)
				}
				b.ReportMetric((heap()-before)/cores, "B/core")
				runtime.KeepAlive(&all)
			}
		})
	}
}

// BenchmarkCapacityConfigMemory reports the bytes of one configuration held.
func BenchmarkCapacityConfigMemory(b *testing.B) {
	for _, size := range [][2]int{{5, 18}, {20, 71}} {
		b.Run(fmt.Sprintf("services=%d/teams=%d", size[0], size[1]), func(b *testing.B) {
			rev := config.Next(nil, capacityFile(size[0], size[1]), "apply-0001", "operator", time.Unix(1_700_000_000, 0))
			for b.Loop() {
				before := heap()
				var all [100]config.Holder
				for i := range all {
					if _, err := all[i].Offer(rev); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric((heap()-before)/float64(len(all)), "B/configuration")
				runtime.KeepAlive(&all)
			}
		})
	}
}

// BenchmarkCapacityOpenMemory reports the bytes of an open submission, with
// inputs of 100 bytes. Waiting tasks are behind one worker, running ones have
// 800 workers of one service.
func BenchmarkCapacityOpenMemory(b *testing.B) {
	for _, state := range []string{"waiting", "running"} {
		for _, job := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("%s/tasks=%d", state, job), func(b *testing.B) {
				for b.Loop() {
					workers, n := 1, 100_000/job
					if state == "running" {
						workers, n = designWorkers, 6400/job
					}
					c := newCrowd(b, 1, workers, 1)
					before := heap()
					for _, id := range c.core.NextIDs(c.now, n) {
						c.core.Handle(c.now, c.submission(id, job))
					}
					b.ReportMetric(math.Round((heap()-before)/float64(n)), "B/submission")
					b.ReportMetric(float64(c.core.Counters().Starts), "starts")
					runtime.KeepAlive(c)
				}
			})
		}
	}
}

// BenchmarkCapacityRetainedMemory reports the bytes of an answered submission
// that is kept, and with outputs of 100 bytes per task.
func BenchmarkCapacityRetainedMemory(b *testing.B) {
	for _, output := range []int{0, 100} {
		for _, job := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("output=%d/tasks=%d", output, job), func(b *testing.B) {
				for b.Loop() {
					c := newCrowd(b, 1, designWorkers, 1)
					n := 50_000 / job
					before := heap()
					for range n {
						c.run(job, make([]byte, output))
					}
					b.ReportMetric(math.Round((heap()-before)/float64(n)), "B/submission")
					runtime.KeepAlive(c)
				}
			})
		}
	}
}
