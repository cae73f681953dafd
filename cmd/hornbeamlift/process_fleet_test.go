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

// processFleet is a fleet of separate processes of the built program.
type processFleet struct {
	t *testing.T
	// binary and tokenFile are paths.
	binary       string
	tokenFile    string
	storeAddress string
	// instanceList is the platform's list: the endpoints, then the entry
	// instances.
	instanceList      []work.Instance
	endpointAddresses []string
	// instances holds the entry instances by id.
	instances map[string]*process
}

// process is a process of an entry instance.
type process struct {
	cmd             *exec.Cmd
	callerAddress   string
	operatorAddress string
	client          *caller.Client
}

// buildDir is the folder of the built program, which the tests of this package
// share.
var buildDir string

// TestMain removes buildDir after the tests.
func TestMain(m *testing.M) {
	status := m.Run()
	if buildDir != "" {
		_ = os.RemoveAll(buildDir)
	}
	os.Exit(status)
}

// build builds the program on the first call and returns its path.
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

// startProcessFleet starts a simulated store, two simulated endpoints in each
// of two data centres, and three entry instances, two of them in the first data
// centre. It marks the test as parallel.
func startProcessFleet(t *testing.T) *processFleet {
	t.Helper()
	t.Parallel()
	binary, err := build()
	if err != nil {
		t.Fatal(err)
	}
	p := &processFleet{t: t, binary: binary, tokenFile: filepath.Join(t.TempDir(), "token"), storeAddress: fleet.Address(), instances: map[string]*process{}}
	if err := os.WriteFile(p.tokenFile, []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	p.startProgram("stand-in", "store", "--address", p.storeAddress)
	for i := range 4 {
		dc := "penang-" + strconv.Itoa(1+i/2)
		address := fleet.Address()
		p.startProgram("stand-in", "endpoint", "--address", address, "--run-time", "100ms", "--speed", strconv.Itoa(1+i%2))
		p.endpointAddresses = append(p.endpointAddresses, address)
		p.instanceList = append(p.instanceList, work.Instance{ID: "worker-" + strconv.Itoa(i), Kind: work.KindEndpoint,
			DataCentre: ident.DataCentre(dc), Address: address, Incarnation: 1, Service: "sheet-press", Slots: 8, Connections: 64})
	}
	peers := map[string]string{}
	for id, dc := range map[string]string{"entry-1": "penang-1", "entry-2": "penang-1", "entry-3": "penang-2"} {
		peers[id] = fleet.Address()
		p.instanceList = append(p.instanceList, work.Instance{ID: id, Kind: work.KindEntry, DataCentre: ident.DataCentre(dc), Address: peers[id]})
	}
	p.waitFor("the store", func() bool { return p.setInstanceList(p.instanceList) })
	for _, instance := range p.instanceList[4:] {
		p.startInstance(instance)
	}
	return p
}

// startInstance starts an entry instance, or a new process of one that has
// exited.
func (p *processFleet) startInstance(instance work.Instance, extra ...string) *process {
	e := &process{callerAddress: fleet.Address(), operatorAddress: fleet.Address()}
	e.cmd = p.startProgram(append([]string{"serve", "--instance", instance.ID, "--data-centre", string(instance.DataCentre), "--platform-address", p.storeAddress,
		"--caller-address", e.callerAddress, "--operator-address", e.operatorAddress, "--peer-address", instance.Address, "--token-file", p.tokenFile}, extra...)...)
	e.client = caller.NewClient(e.callerAddress, clock.System{})
	p.instances[instance.ID] = e
	return e
}

// listedInstance returns an instance as the platform's list describes it.
func (p *processFleet) listedInstance(id string) work.Instance {
	return p.instanceList[slices.IndexFunc(p.instanceList, func(r work.Instance) bool { return r.ID == id })]
}

// setSwitch sets a value or injects a fault at a simulated store or endpoint.
func (p *processFleet) setSwitch(address, name string, value any) {
	p.t.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		p.t.Fatal(err)
	}
	if !putSwitch(address, name, data) {
		p.t.Fatalf("switch %s of %s failed", name, address)
	}
}

// putSwitch is setSwitch for an encoded value. It reports whether the request
// succeeded.
func putSwitch(address, name string, data []byte) bool {
	req, _ := http.NewRequest(http.MethodPut, "http://"+address+"/stand-in/"+name, bytes.NewReader(data))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode < 300
}

// ready reports whether an instance says that it is ready.
func (p *processFleet) ready(id string) bool {
	resp, err := http.Get("http://" + p.instances[id].operatorAddress + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// status returns the status that an instance reports to operators, or the zero
// status if it does not answer.
func (p *processFleet) status(id string) entry.Status {
	var s entry.Status
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	data, err := operator.FetchStatus(ctx, http.DefaultClient, p.instances[id].operatorAddress, "secret")
	if err == nil {
		err = json.Unmarshal(data, &s)
	}
	if err != nil {
		return entry.Status{}
	}
	return s
}

// ownedEndpoints returns the number of endpoints that an instance owns.
func (p *processFleet) ownedEndpoints(id string) int {
	n := 0
	for _, sv := range p.status(id).Services {
		n += len(sv.Endpoints)
	}
	return n
}

// jobResult is the result of a caller's job.
type jobResult struct {
	answer work.Answer
	err    error
}

// submit submits a job in the background. The result is sent on the channel.
func (p *processFleet) submit(via string, c caller.Call) <-chan jobResult {
	got := make(chan jobResult, 1)
	client := p.instances[via].client
	go func() {
		a, err := client.Job(context.Background(), c)
		got <- jobResult{a, err}
	}()
	return got
}

// checkServing checks that an instance completes a job that is submitted to it.
func (p *processFleet) checkServing(via string) {
	p.t.Helper()
	id := p.newID(via)
	a, err := p.instances[via].client.Job(context.Background(), pressJob(id, 50))
	if err != nil || a.State != work.Complete || len(a.Outputs) != 50 {
		p.t.Fatalf("job through %s: state %q, %d outputs, failure %v", via, a.State, len(a.Outputs), err)
	}
	p.checkStartedOnce(id, p.starts(id))
}

// pause stops a process with SIGSTOP, which it cannot catch. resume continues
// it.
func (p *processFleet) pause(id string)  { p.signal(id, syscall.SIGSTOP) }
func (p *processFleet) resume(id string) { p.signal(id, syscall.SIGCONT) }

func (p *processFleet) signal(id string, s syscall.Signal) {
	p.t.Helper()
	if err := p.instances[id].cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// startProgram starts the program and kills it when the test ends.
func (p *processFleet) startProgram(args ...string) *exec.Cmd {
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

// waitFor checks a condition every 10 ms until it holds, for at most 30 s.
func (p *processFleet) waitFor(what string, done func() bool) {
	p.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); {
		if done() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	p.t.Fatalf("waited 30 s for %s", what)
}

// setInstanceList replaces the platform's list of instances. It reports whether
// the store accepted it.
func (p *processFleet) setInstanceList(list []work.Instance) bool {
	data, err := platform.EncodeInstances(list)
	if err != nil {
		p.t.Fatal(err)
	}
	return putSwitch(p.storeAddress, "instances", data)
}

// configFile writes a configuration without limits and with the given weight of
// the team, and returns its path.
func (p *processFleet) configFile(weight int) string {
	name := filepath.Join(p.t.TempDir(), "file.yaml")
	data := fmt.Sprintf("services:\n  - name: sheet-press\n    expected-run-time: 100ms\nteams:\n  - name: studio\n    weight: %d\n", weight)
	if err := os.WriteFile(name, []byte(data), 0o600); err != nil {
		p.t.Fatal(err)
	}
	return name
}

// applyFile runs the subcommand apply and returns its output.
func (p *processFleet) applyFile(name, operator string) (string, error) {
	out, err := exec.Command(p.binary, "apply", "-f", name, "--platform-address", p.storeAddress, "--operator", operator).CombinedOutput()
	return string(out), err
}

// applyAndWait applies a file and waits until the instances are ready.
func (p *processFleet) applyAndWait(name string) {
	p.t.Helper()
	if out, err := p.applyFile(name, "test"); err != nil {
		p.t.Fatalf("apply: %v\n%s", err, out)
	}
	for id := range p.instances {
		p.waitFor(id+" to be ready", func() bool { return p.ready(id) })
	}
}

// starts returns the number of times that the endpoints started each task
// of a submission, by task id.
func (p *processFleet) starts(id ident.SubmissionID) map[string]int {
	all := map[string]int{}
	for _, address := range p.endpointAddresses {
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

// newID returns a new submission id of an instance.
func (p *processFleet) newID(via string) ident.SubmissionID {
	ids, err := p.instances[via].client.IDs(context.Background(), 1)
	if err != nil {
		p.t.Fatal(err)
	}
	return ids[0]
}

// pressJob returns a call with n tasks for the service "sheet-press".
func pressJob(id ident.SubmissionID, n int) caller.Call {
	c := caller.Call{ID: id, Service: "sheet-press", Team: "studio", Deadline: time.Minute}
	for i := range n {
		c.Tasks = append(c.Tasks, caller.Task{Input: []byte(`{"echo":"` + strconv.Itoa(i) + `"}`)})
	}
	return c
}

// checkStartedOnce fails the test if any task started more than once.
func (p *processFleet) checkStartedOnce(id ident.SubmissionID, starts map[string]int) {
	p.t.Helper()
	for task, n := range starts {
		if n > 1 {
			p.t.Errorf("task %s of %s started %d times", task, id, n)
		}
	}
}
