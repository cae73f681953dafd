package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/adapter/operator"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/standin/fleet"
)

// capacityConfig returns a configuration with the number of services and teams
// that the design is meant for.
func capacityConfig() []byte {
	var s strings.Builder
	s.WriteString("services:\n")
	for i := range 20 {
		fmt.Fprintf(&s, "  - {name: sheet-render-%02d, expected-run-time: 100ms, max-running: 2000}\n", i)
	}
	s.WriteString("teams:\n")
	for i := range 71 {
		fmt.Fprintf(&s, "  - {name: studio-%02d, weight: %d, max-running: 400}\n", i, 1+i%4)
	}
	return []byte(s.String())
}

// BenchmarkCapacityIdleFleet reports what an instance costs without traffic:
// processor time, bytes sent on control streams, store calls, memory and
// goroutines, divided by the number of instances. Processor time, memory and
// goroutines are those of the whole process, including the simulated store.
func BenchmarkCapacityIdleFleet(b *testing.B) {
	const window = 5 * time.Second
	// Each size is a number of instances and a number of listed workers; with 0
	// the list holds the running endpoints.
	for _, size := range [][2]int{{2, 0}, {6, 0}, {12, 0}, {24, 0}, {24, 800}} {
		n, listed := size[0], size[1]
		b.Run(fmt.Sprintf("instances=%d/listed=%d", n, listed), func(b *testing.B) {
			cfg := fleet.Config{}
			dataCentres := min(7, n/2)
			for i := range n {
				cfg.Instances = append(cfg.Instances, fleet.Instance{ID: ident.InstanceID(fmt.Sprintf("entry-%03d", i)),
					DataCentre: ident.DataCentre(fmt.Sprint("dc-", i%dataCentres))})
			}
			for i := range 20 {
				cfg.Endpoints = append(cfg.Endpoints, fleet.Endpoint{ID: ident.EndpointID(fmt.Sprintf("worker-%04d", i)),
					DataCentre: ident.DataCentre(fmt.Sprint("dc-", i%dataCentres)), Service: ident.Service(fmt.Sprintf("sheet-render-%02d", i))})
			}
			f, err := fleet.Start(cfg)
			if err != nil {
				b.Fatal(err)
			}
			defer f.Close()
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			if _, err := f.Apply(ctx, capacityConfig()); err != nil {
				b.Fatal(err)
			}
			if err := f.Ready(ctx); err != nil {
				b.Fatal(err)
			}
			if listed > 0 {
				f.Store.SetInstances(instanceList(f, cfg, listed))
			}
			time.Sleep(3 * time.Second) // until links are up and the status is published
			for b.Loop() {
				before, sent, calls := processorTime(b), controlBytes(ctx, b, f), storeCalls(f)
				start := time.Now()
				time.Sleep(window)
				instanceSeconds := time.Since(start).Seconds() * float64(n)
				b.ReportMetric((processorTime(b)-before)/instanceSeconds*100, "%core/instance")
				b.ReportMetric((controlBytes(ctx, b, f)-sent)/instanceSeconds, "B-out/s/instance")
				b.ReportMetric(float64(storeCalls(f)-calls)/instanceSeconds, "calls/s/instance")
			}
			runtime.GC()
			var s runtime.MemStats
			runtime.ReadMemStats(&s)
			b.ReportMetric(float64(s.HeapAlloc+s.StackInuse)/float64(n), "B/instance")
			b.ReportMetric(float64(runtime.NumGoroutine())/float64(n), "goroutines/instance")
		})
	}
}

// instanceList returns an instance list with unreachable workers in place of
// the running endpoints, so that the list has its full size without running as
// many endpoints. cfg must have at least 7 instances.
func instanceList(f *fleet.Fleet, cfg fleet.Config, workers int) []work.Instance {
	var list []work.Instance
	for _, in := range cfg.Instances {
		list = append(list, work.Instance{ID: string(in.ID), Kind: work.KindEntry, DataCentre: in.DataCentre,
			Address: f.Instances[in.ID].PeerAddress})
	}
	for i := range workers {
		list = append(list, work.Instance{ID: fmt.Sprintf("listed-%04d", i), Kind: work.KindEndpoint,
			DataCentre: cfg.Instances[i%7].DataCentre, Address: fleet.Address(), Incarnation: 0x019ae3f40a7c1234,
			Service: ident.Service(fmt.Sprintf("sheet-render-%02d", i/7%20)), Slots: 8, Connections: 64})
	}
	return list
}

// processorTime returns the processor time of this process in seconds.
func processorTime(b *testing.B) float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e9
}

// controlBytes returns the number of bytes that all instances have sent on
// their control streams.
func controlBytes(ctx context.Context, b *testing.B, f *fleet.Fleet) float64 {
	sum := 0.0
	for _, in := range f.Instances {
		data, err := operator.FetchStatus(ctx, http.DefaultClient, in.OperatorAddress, "loopback")
		if err != nil {
			b.Fatal(err)
		}
		var status struct {
			Peers struct {
				ControlBytes float64 `json:"control-bytes"`
			} `json:"peers"`
		}
		if err := json.Unmarshal(data, &status); err != nil {
			b.Fatal(err)
		}
		sum += status.Peers.ControlBytes
	}
	return sum
}

func storeCalls(f *fleet.Fleet) int {
	sum := 0
	for _, n := range f.Store.Calls() {
		sum += n
	}
	return sum
}
