package main

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"hornbeamlift.example/hornbeamlift/internal/adapter/caller"
	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/standin/fleet"
)

//go:embed example.yaml
var exampleFile []byte

const usageDemo = `Runs a small fleet in this process on loopback: a stand-in store, two entry
instances and four endpoints of unlike speed. It applies the example
configuration, submits a job of 200 tasks through one instance, and submits it
again under the same id through the other.

The last line counts what the endpoints saw. The exit status is 0 only if each
task started once and none failed.`

const (
	demoTasks   = 200
	demoTimeout = time.Minute
	demoService = ident.Service("sheet-press")
)

// demoCommand shows the whole path on one machine.
func demoCommand() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "Run a small fleet on loopback and submit a job twice.",
		Description: usageDemo,
		Action: func(ctx context.Context, _ *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, demoTimeout)
			defer cancel()
			return runDemo(ctx, os.Stdout)
		},
	}
}

// demoFleet describes the fleet of the demo. Run times are short, so that the
// demo takes about a second.
func demoFleet() fleet.Config {
	cfg := fleet.Config{Instances: []fleet.Instance{
		{ID: "entry-1", DataCentre: "penang-1"},
		{ID: "entry-2", DataCentre: "penang-1"},
	}}
	for i, speed := range []float64{1, 0.75, 0.5, 0.25} {
		cfg.Endpoints = append(cfg.Endpoints, fleet.Endpoint{
			ID:         ident.EndpointID(fmt.Sprintf("worker-%d", i+1)),
			DataCentre: "penang-1",
			Service:    demoService,
			Speed:      speed,
			RunTime:    40 * time.Millisecond,
		})
	}
	return cfg
}

func runDemo(ctx context.Context, w io.Writer) error {
	cfg := demoFleet()
	f, err := fleet.Start(cfg)
	if err != nil {
		return err
	}
	defer f.Close()
	revision, err := f.Apply(ctx, exampleFile)
	if err != nil {
		return err
	}
	if err := f.Ready(ctx); err != nil {
		return err
	}
	printf(w, "2 entry instances and 4 endpoints are ready, configuration revision %d is in force\n", revision)
	first, second := f.Instances["entry-1"].Client, f.Instances["entry-2"].Client
	ids, err := first.IDs(ctx, 1)
	if err != nil {
		return err
	}
	call := demoJob(ids[0])
	a, err := submitDemo(ctx, w, first, call, "entry-1")
	if err != nil {
		return err
	}
	b, err := submitDemo(ctx, w, second, call, "entry-2")
	if err != nil {
		return err
	}
	if !sameOutputs(a, b) {
		return fault.New(fault.Internal, fault.RanYes).WithDetail("the two answers differ")
	}
	printf(w, "both answers are the same\n")
	for _, e := range cfg.Endpoints {
		printf(w, "  %s at speed %.2f started %d tasks\n", e.ID, e.Speed, len(f.Endpoints[e.ID].Starts()))
	}
	return reportDemo(w, f, a)
}

func demoJob(id ident.SubmissionID) caller.Call {
	c := caller.Call{ID: id, Service: demoService, Team: "studio", Deadline: demoTimeout}
	for i := range demoTasks {
		c.Tasks = append(c.Tasks, caller.Task{Input: fmt.Appendf(nil, `{"echo":"sheet %d"}`, i)})
	}
	return c
}

// submitDemo submits the job and says how long the answer took.
func submitDemo(ctx context.Context, w io.Writer, c *caller.Client, call caller.Call, via string) (work.Answer, error) {
	started := clock.System{}.Now()
	a, err := c.Job(ctx, call)
	if err != nil {
		return a, err
	}
	printf(w, "job of %d tasks submitted through %s: %s after %d ms\n",
		len(call.Tasks), via, a.State, clock.System{}.Now().Sub(started).Milliseconds())
	return a, nil
}

func sameOutputs(a, b work.Answer) bool {
	if a.ID != b.ID || a.State != b.State || len(a.Outputs) != len(b.Outputs) {
		return false
	}
	for i := range a.Outputs {
		if string(a.Outputs[i]) != string(b.Outputs[i]) {
			return false
		}
	}
	return true
}

// reportDemo prints the counts of the endpoints and fails if they are not as
// promised.
func reportDemo(w io.Writer, f *fleet.Fleet, a work.Answer) error {
	starts, duplicates := 0, 0
	for _, n := range f.Starts() {
		starts += n
		duplicates += n - 1
	}
	printf(w, "tasks=%d starts=%d duplicate-starts=%d failed=%d\n", demoTasks, starts, duplicates, len(a.Failures))
	if starts != demoTasks || duplicates != 0 || a.State != work.Complete {
		return fault.New(fault.Internal, fault.RanYes).WithDetail("the counts are not as promised")
	}
	return nil
}

func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
