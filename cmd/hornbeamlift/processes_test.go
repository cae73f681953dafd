package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/adapter/caller"
	"hornbeamlift.example/hornbeamlift/internal/adapter/operator"
	"hornbeamlift.example/hornbeamlift/internal/adapter/platform"
	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/process/entry"
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

// buildDir holds the program that the tests of this package share.
var buildDir string

// TestMain removes what build made.
func TestMain(m *testing.M) {
	status := m.Run()
	if buildDir != "" {
		_ = os.RemoveAll(buildDir)
	}
	os.Exit(status)
}

// build builds the program once.
var build = sync.OnceValues(func() (string, error) {
	var err error
	if buildDir, err = os.MkdirTemp("", "hornbeamlift-test-"); err != nil {
		return "", err
	}
	binary := filepath.Join(buildDir, "hornbeamlift")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	if err != nil {
		err = fault.Wrap(err, fault.Internal, fault.RanNo).WithDetail(string(out))
	}
	return binary, err
})

// startProcesses starts a store, two endpoints in each of two data centres and
// three entry instances, two of them in the first. Other tests run beside it.
func startProcesses(t *testing.T) *processes {
	t.Helper()
	t.Parallel()
	binary, err := build()
	if err != nil {
		t.Fatal(err)
	}
	p := &processes{t: t, binary: binary, token: filepath.Join(t.TempDir(), "token"), store: fleet.Address(), entries: map[string]*process{}}
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
		p.serve(row)
	}
	return p
}

// serve starts an entry instance, or a new process of one that ended.
func (p *processes) serve(row work.Instance, extra ...string) *process {
	e := &process{caller: fleet.Address(), operator: fleet.Address()}
	e.cmd = p.start(append([]string{"serve", "--instance", row.ID, "--data-centre", string(row.DataCentre), "--platform-address", p.store,
		"--caller-address", e.caller, "--operator-address", e.operator, "--peer-address", row.Address, "--token-file", p.token}, extra...)...)
	e.client = caller.NewClient(e.caller, clock.System{})
	p.entries[row.ID] = e
	return e
}

// row returns the row of an entry instance in the list.
func (p *processes) row(id string) work.Instance {
	return p.rows[slices.IndexFunc(p.rows, func(r work.Instance) bool { return r.ID == id })]
}

// set sets a switch of a stand-in.
func (p *processes) set(address, name string, value any) {
	p.t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		p.t.Fatal(err)
	}
	if !put(address, name, data) {
		p.t.Fatalf("switch %s of %s failed", name, address)
	}
}

func put(address, name string, data []byte) bool {
	req, _ := http.NewRequest(http.MethodPut, "http://"+address+"/stand-in/"+name, bytes.NewReader(data))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode < 300
}

// ready reports whether an instance's readiness holds.
func (p *processes) ready(id string) bool {
	resp, err := http.Get("http://" + p.entries[id].operator + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// status returns what an instance tells operators, or the zero status.
func (p *processes) status(id string) entry.Status {
	var s entry.Status
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	data, err := operator.FetchStatus(ctx, http.DefaultClient, p.entries[id].operator, "secret")
	if err == nil {
		err = json.Unmarshal(data, &s)
	}
	if err != nil {
		return entry.Status{}
	}
	return s
}

// owned returns how many endpoints an instance owns.
func (p *processes) owned(id string) int {
	n := 0
	for _, sv := range p.status(id).Services {
		n += len(sv.Endpoints)
	}
	return n
}

// answered is what a caller got.
type answered struct {
	answer work.Answer
	err    error
}

// submit submits a job in the background.
func (p *processes) submit(via string, c caller.Call) <-chan answered {
	got := make(chan answered, 1)
	client := p.entries[via].client
	go func() {
		a, err := client.Job(context.Background(), c)
		got <- answered{a, err}
	}()
	return got
}

// serves checks that an instance completes a job of its own.
func (p *processes) serves(via string) {
	p.t.Helper()
	id := p.newID(via)
	a, err := p.entries[via].client.Job(context.Background(), pressJob(id, 50))
	if err != nil || a.State != work.Complete || len(a.Outputs) != 50 {
		p.t.Fatalf("job through %s: state %q, %d outputs, failure %v", via, a.State, len(a.Outputs), err)
	}
	p.onceEach(id, p.starts(id))
}

// freeze stops a process without its knowledge; thaw lets it go on.
func (p *processes) freeze(id string) { p.signal(id, syscall.SIGSTOP) }
func (p *processes) thaw(id string)   { p.signal(id, syscall.SIGCONT) }

func (p *processes) signal(id string, s syscall.Signal) {
	p.t.Helper()
	if err := p.entries[id].cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
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
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); {
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
	return put(p.store, "instances", data)
}

// fileOf returns a configuration without limits, in which teams have a weight.
func (p *processes) fileOf(weight int) string {
	name := filepath.Join(p.t.TempDir(), "file.yaml")
	data := fmt.Sprintf("services:\n  - name: sheet-press\n    expected-run-time: 100ms\nteams:\n  - name: studio\n    weight: %d\n", weight)
	if err := os.WriteFile(name, []byte(data), 0o600); err != nil {
		p.t.Fatal(err)
	}
	return name
}

// applyFile applies a file as an operator does and returns what was printed.
func (p *processes) applyFile(name, operator string) (string, error) {
	out, err := exec.Command(p.binary, "apply", "-f", name, "--platform-address", p.store, "--operator", operator).CombinedOutput()
	return string(out), err
}

// apply applies a file and waits until the instances are ready.
func (p *processes) apply(name string) {
	p.t.Helper()
	if out, err := p.applyFile(name, "test"); err != nil {
		p.t.Fatalf("apply: %v\n%s", err, out)
	}
	for id := range p.entries {
		p.wait(id+" to be ready", func() bool { return p.ready(id) })
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
			if strings.HasPrefix(s.Task, id.String()+"/") {
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
