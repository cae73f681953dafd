package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/adapter/caller"
	"hornbeamlift.example/hornbeamlift/internal/adapter/platform"
	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/standin/fleet"
)

// processes is a fleet of separate processes of the built program.
type processes struct {
	t         *testing.T
	binary    string
	token     string
	store     string
	rows      []work.Instance
	endpoints []string
	entries   map[string]*process
}

type process struct {
	cmd      *exec.Cmd
	caller   string
	operator string
	client   *caller.Client
}

// startProcesses builds the program and starts a store, two endpoints in each
// of two data centres and three entry instances, two of them in the first.
func startProcesses(t *testing.T) *processes {
	t.Helper()
	dir := t.TempDir()
	p := &processes{t: t, binary: filepath.Join(dir, "hornbeamlift"), token: filepath.Join(dir, "token"), store: fleet.Address(), entries: map[string]*process{}}
	if out, err := exec.Command("go", "build", "-o", p.binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	if err := os.WriteFile(p.token, []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	p.start("stand-in", "store", "--address", p.store)
	for i := range 4 {
		dc := "penang-" + strconv.Itoa(1+i/2)
		address := fleet.Address()
		p.start("stand-in", "endpoint", "--address", address, "--run-time", "100ms", "--speed", strconv.Itoa(1+i%2))
		p.endpoints = append(p.endpoints, address)
		p.rows = append(p.rows, work.Instance{ID: "worker-" + strconv.Itoa(i), Kind: work.KindEndpoint,
			DataCentre: ident.DataCentre(dc), Address: address, Incarnation: 1, Service: "sheet-press", Slots: 8, Connections: 64})
	}
	peers := map[string]string{}
	for id, dc := range map[string]string{"entry-1": "penang-1", "entry-2": "penang-1", "entry-3": "penang-2"} {
		peers[id] = fleet.Address()
		p.rows = append(p.rows, work.Instance{ID: id, Kind: work.KindEntry, DataCentre: ident.DataCentre(dc), Address: peers[id]})
	}
	p.wait("the store", func() bool { return p.list(p.rows) })
	for _, row := range p.rows[4:] {
		e := &process{caller: fleet.Address(), operator: fleet.Address()}
		e.cmd = p.start("serve", "--instance", row.ID, "--data-centre", string(row.DataCentre), "--platform-address", p.store,
			"--caller-address", e.caller, "--operator-address", e.operator, "--peer-address", row.Address, "--token-file", p.token)
		e.client = caller.NewClient(e.caller, clock.System{})
		p.entries[row.ID] = e
	}
	return p
}

// start starts the program and ends it with the test.
func (p *processes) start(args ...string) *exec.Cmd {
	cmd := exec.Command(p.binary, args...)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd
}

// wait polls until a condition holds.
func (p *processes) wait(what string, done func() bool) {
	p.t.Helper()
	for range 3000 {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	p.t.Fatalf("waited 30 s for %s", what)
}

// list sets the platform's list.
func (p *processes) list(rows []work.Instance) bool {
	data, err := platform.EncodeInstances(rows)
	if err != nil {
		p.t.Fatal(err)
	}
	req, _ := http.NewRequest(http.MethodPut, "http://"+p.store+"/stand-in/instances", bytes.NewReader(data))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode < 300
}

// apply applies the example file and waits until the instances are ready.
func (p *processes) apply() {
	out, err := exec.Command(p.binary, "apply", "-f", "example.yaml", "--platform-address", p.store, "--operator", "test").CombinedOutput()
	if err != nil {
		p.t.Fatalf("apply: %v\n%s", err, out)
	}
	for id, e := range p.entries {
		p.wait(id+" to be ready", func() bool {
			resp, err := http.Get("http://" + e.operator + "/ready")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		})
	}
}

// starts returns how often the endpoints started each task of a submission.
func (p *processes) starts(id ident.SubmissionID) map[string]int {
	all := map[string]int{}
	for _, address := range p.endpoints {
		resp, err := http.Get("http://" + address + "/stand-in/starts")
		if err != nil {
			p.t.Fatal(err)
		}
		var body struct {
			Starts []struct {
				Task string `json:"task"`
			} `json:"starts"`
		}
		err = json.NewDecoder(resp.Body).Decode(&body)
		_ = resp.Body.Close()
		if err != nil {
			p.t.Fatal(err)
		}
		for _, s := range body.Starts {
			if len(s.Task) > len(id.String()) && s.Task[:len(id.String())+1] == id.String()+"/" {
				all[s.Task]++
			}
		}
	}
	return all
}

func (p *processes) newID(via string) ident.SubmissionID {
	ids, err := p.entries[via].client.IDs(context.Background(), 1)
	if err != nil {
		p.t.Fatal(err)
	}
	return ids[0]
}

func pressJob(id ident.SubmissionID, n int) caller.Call {
	c := caller.Call{ID: id, Service: "sheet-press", Team: "studio", Deadline: time.Minute}
	for i := range n {
		c.Tasks = append(c.Tasks, caller.Task{Input: []byte(`{"echo":"` + strconv.Itoa(i) + `"}`)})
	}
	return c
}

func (p *processes) onceEach(id ident.SubmissionID, starts map[string]int) {
	p.t.Helper()
	for task, n := range starts {
		if n > 1 {
			p.t.Errorf("task %s of %s started %d times", task, id, n)
		}
	}
}

// TestProcesses guards the whole path through separate processes: a request
// and a job are answered whole, a resubmission through another instance starts
// nothing again, and a job whose home is killed in the middle ends as failed
// with an unknown outcome, never started twice.
func TestProcesses(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := startProcesses(t)
	p.apply()

	a, err := p.entries["entry-1"].client.Request(ctx, pressJob(p.newID("entry-1"), 1))
	is.NoErr(err)
	is.Equal(a.State, work.Complete)

	id := p.newID("entry-1")
	for _, via := range []string{"entry-2", "entry-3"} {
		a, err := p.entries[via].client.Job(ctx, pressJob(id, 100))
		is.NoErr(err)
		is.Equal(a.State, work.Complete)
		is.Equal(len(a.Outputs), 100)
	}
	starts := p.starts(id)
	is.Equal(len(starts), 100)
	p.onceEach(id, starts)

	p.killHome(p.newID("entry-1"))
}

// killHome kills a submission's home, entry-1, in the middle of its job.
func (p *processes) killHome(id ident.SubmissionID) {
	is := is.New(p.t)
	ctx := context.Background()
	const n = 600
	ended := make(chan error, 1)
	go func() {
		a, err := p.entries["entry-2"].client.Job(ctx, pressJob(id, n))
		if err == nil && a.State == work.Complete {
			err = fault.New(fault.Internal, fault.RanYes).WithDetail("complete answer from a home that was killed")
		}
		ended <- err
	}()
	p.wait("the job to be under way", func() bool { return len(p.starts(id)) > 40 })
	is.NoErr(p.entries["entry-1"].cmd.Process.Signal(syscall.SIGKILL))
	first := fault.From(<-ended)
	is.Equal(first.Ran, fault.RanUnknown)
	var rows []work.Instance
	for _, row := range p.rows {
		if row.ID != "entry-1" {
			rows = append(rows, row)
		}
	}
	is.True(p.list(rows))
	p.wait("the outcome to be declared unknown", func() bool {
		_, err := p.entries["entry-3"].client.Job(ctx, pressJob(id, n))
		return fault.KindOf(err) == fault.OutcomeUnknown
	})
	starts := p.starts(id)
	is.True(len(starts) < n)
	p.onceEach(id, starts)
	a, err := p.entries["entry-2"].client.Job(ctx, pressJob(p.newID("entry-2"), 50))
	is.NoErr(err)
	is.Equal(a.State, work.Complete)
}
