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

const demoUsage = `Runs a small fleet in this process on loopback: a simulated store, two entry
instances and four simulated endpoints of different speeds. It applies the
example configuration, submits a job of 200 tasks through one instance, and
submits it again under the same id through the other.

The last line counts the task starts at the endpoints. The exit status is 0 only
if each task started exactly once and none failed.`

const (
	demoTasks   = 200
	demoTimeout = time.Minute
	demoService = ident.Service("sheet-press")
)

// demoCommand returns the subcommand demo, which runs a whole fleet in one
// process.
func demoCommand() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "Run a small fleet on loopback and submit a job twice.",
		Description: demoUsage,
		Action: func(ctx context.Context, _ *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, demoTimeout)
			defer cancel()
			return runDemo(ctx, os.Stdout)
		},
	}
}

// demoFleet returns the configuration of the fleet. Run times are short, so
// that the demo takes about a second.
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
	a, err := submitDemoJob(ctx, w, first, call, "entry-1")
	if err != nil {
		return err
	}
	b, err := submitDemoJob(ctx, w, second, call, "entry-2")
	if err != nil {
		return err
	}
	if !sameOutputs(a, b) {
		return fault.New(fault.Internal, fault.RanYes).WithDetail("the answers of the two instances differ")
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

// submitDemoJob submits the job and prints how long the answer took.
func submitDemoJob(ctx context.Context, w io.Writer, c *caller.Client, call caller.Call, via string) (work.Answer, error) {
	started := clock.System{}.Now()
	a, err := c.Job(ctx, call)
	if err != nil {
		return a, err
	}
	printf(w, "job of %d tasks submitted through %s: %s after %d ms\n",
		len(call.Tasks), via, a.State, clock.System{}.Now().Sub(started).Milliseconds())
	return a, nil
}

// sameOutputs reports whether two answers have the same id, state and outputs.
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

// reportDemo prints the task starts at the endpoints. It returns an error
// unless each task started exactly once and the job is complete.
func reportDemo(w io.Writer, f *fleet.Fleet, a work.Answer) error {
	starts, duplicates := 0, 0
	for _, n := range f.Starts() {
		starts += n
		duplicates += n - 1
	}
	printf(w, "tasks=%d starts=%d duplicate-starts=%d failed=%d\n", demoTasks, starts, duplicates, len(a.Failures))
	if starts != demoTasks || duplicates != 0 || a.State != work.Complete {
		return fault.New(fault.Internal, fault.RanYes).WithDetail("a task did not start exactly once, or the job is not complete")
	}
	return nil
}

func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
