package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the settings, as on the pages of both deployments.
const (
	holdMaxMS = 1000
	cancelMS  = 3000
	stopMS    = 50
	resendMS  = 1300
)

// node is a process of the project, started with the command of the deploy
// file.
type node struct {
	name, zone, ip string
	front, ready   string
	cmd            *exec.Cmd
	settings       string
	log            *os.File
	misses         int
	inRotation     bool
	stopped        bool
}

// fleet holds the stand-ins and the project's processes of a case.
type fleet struct {
	dir     string
	program string
	rec     *record
	st      *store
	workers []*worker
	mu      sync.Mutex
	nodes   []*node
	port    int
	netByte int
}

// newFleet starts the store with a manifest and the workers.
func newFleet(recordPath, program string, manifest any) (*fleet, error) {
	dir, err := os.MkdirTemp("", "case-")
	if err != nil {
		return nil, err
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	st.put("op/config", manifest)
	f := &fleet{dir: dir, program: program, rec: rec, st: st, netByte: 10 + os.Getpid()%200}
	f.port, err = f.freePorts()
	return f, err
}

// freePorts finds a port base whose ports are free on this fleet's addresses.
func (f *fleet) freePorts() (int, error) {
	for base := 20_000 + os.Getpid()%5000; base < 30_000; base += 10 {
		free := true
		for i := 1; i <= 8 && free; i++ {
			for p := base; p < base+4 && free; p++ {
				l, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:%d", f.netByte, i, p))
				if free = err == nil; free {
					_ = l.Close()
				}
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func (f *fleet) addWorker(id, zone string, labels []string, cpu int64) error {
	w, err := newWorker(f.st, f.rec, id, zone, labels, cpu)
	if err == nil {
		f.workers = append(f.workers, w)
	}
	return err
}

const settingsFormat = `node = %q
role = "dispatcher"
class = "front"
serves = ["front"]
ip = %q
zone = %q
region = "r"
port_range = [%d,%d]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "rpc"
[zones]
a = "r"
b = "r"
c = "r"
[listen]
front = %q
ready = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stability_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_ms = 250
skew_max_ms = 5000
recover_s = 12
hold_max_ms = 1000
stop_ms = 50
gang_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
far_x = 2
checkpoint_s = 1
restore_ms = 100
notice_ms = 4500
move_s = 1.5
upkeep_s = 2
fencing = true
lease_ms = 3000
thaw_ms = 300
pace_ms = 100
harm_ms = 4000
resend_ms = 1300
[platform]
addr = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
[cloud]
addr = "127.0.0.1:9"
rate_per_s = 60.0
duties = []
duty_per_s = 60.0
`

// addNode prepares a machine with a process; start starts it.
func (f *fleet) addNode(name, zone string) (*node, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ip := fmt.Sprintf("127.0.%d.%d", f.netByte, len(f.nodes)+1)
	n := &node{name: name, zone: zone, ip: ip, front: fmt.Sprintf("%s:%d", ip, f.port+2), ready: fmt.Sprintf("%s:%d", ip, f.port+3)}
	n.settings = filepath.Join(f.dir, name+".toml")
	text := fmt.Sprintf(settingsFormat, name, ip, zone, f.port, f.port+1, n.front, n.ready, f.st.addr)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	if n.log, err = os.Create(filepath.Join(f.dir, name+".log")); err != nil {
		return nil, err
	}
	f.nodes = append(f.nodes, n)
	return n, nil
}

func (f *fleet) start(n *node) error {
	cmd := exec.Command(f.program, "dispatch")
	cmd.Env = append(os.Environ(), "HORNBEAMLIFT_CONFIG="+n.settings)
	cmd.Stdout, cmd.Stderr = n.log, n.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	f.rec.logf("start process %s", n.name)
	if err := cmd.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	n.cmd, n.stopped = cmd, false
	f.mu.Unlock()
	go func() { _ = cmd.Wait() }()
	return nil
}

func (f *fleet) signal(n *node, s syscall.Signal) {
	f.rec.logf("signal %v to %s", s, n.name)
	_ = n.cmd.Process.Signal(s)
}

// watchReadiness plays the platform's readiness checks.
func (f *fleet) watchReadiness() {
	client := &http.Client{Timeout: 800 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		f.mu.Lock()
		nodes := append([]*node(nil), f.nodes...)
		f.mu.Unlock()
		var wg sync.WaitGroup
		for _, n := range nodes {
			if n.cmd == nil {
				continue
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				ok := false
				if resp, err := client.Get("http://" + n.ready + "/hornbeamlift/ready"); err == nil {
					ok = resp.StatusCode == http.StatusOK
					_ = resp.Body.Close()
				}
				f.mu.Lock()
				defer f.mu.Unlock()
				was := n.inRotation
				if ok {
					n.misses, n.inRotation = 0, true
				} else if n.misses++; n.misses >= 2 {
					n.inRotation = false
				}
				if was != n.inRotation {
					f.rec.logf("platform: %s in rotation: %v", n.name, n.inRotation)
				}
			}()
		}
		wg.Wait()
		time.Sleep(time.Second)
	}
}

// waitReady waits until all nodes are in rotation.
func (f *fleet) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		f.mu.Lock()
		all := true
		for _, n := range f.nodes {
			all = all && (n.cmd == nil || n.inRotation)
		}
		f.mu.Unlock()
		if all {
			return true
		}
	}
	return false
}

// pick returns the node that a new channel of a client is forwarded to: the one
// with the highest hash with the client's name among the nodes of its zone in
// rotation, or of all zones.
func (f *fleet) pick(client, zone string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return best(f.nodes, client, zone)
}

func best(nodes []*node, client, zone string) *node {
	var chosen *node
	var highest uint64
	for _, inZone := range []bool{true, false} {
		for _, n := range nodes {
			if n.cmd == nil || !n.inRotation || (inZone && n.zone != zone) {
				continue
			}
			if h := weight(client, n.name); chosen == nil || h > highest {
				chosen, highest = n, h
			}
		}
		if chosen != nil {
			return chosen
		}
	}
	return nil
}

func weight(client, name string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, name+"/"+client)
	x := h.Sum64()
	x ^= x >> 31
	x *= 0x9E3779B97F4A7C15
	return x ^ x>>29
}

// request sends a request of a client on a new channel and returns the status,
// or zero, and the body.
func (f *fleet) request(client, zone, method, path, body string, deadline time.Duration) (status int, text string, by *node) {
	n := f.pick(client, zone)
	if n == nil {
		return 0, "no node in rotation", nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error(), n
	}
	req.Host = "render.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	f.rec.logf("client %s: %s %s by %s", client, method, path, n.name)
	t := &http.Transport{DisableKeepAlives: true}
	resp, err := t.RoundTrip(req)
	if err != nil {
		f.rec.logf("client %s: %s %s by %s: no answer: %v", client, method, path, n.name, err)
		return 0, err.Error(), n
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	f.rec.logf("client %s: %s %s by %s: %d %s", client, method, path, n.name, resp.StatusCode, strings.TrimSpace(string(data)))
	return resp.StatusCode, string(data), n
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	for _, n := range f.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println(f.dir)
	}
}

func manifest(version int, timeoutMS int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r-1", "host": "render.example", "prefix": "/jobs/", "kind": "unsafe", "timeout_ms": timeoutMS,
			"target_latency_ms": 60, "priority": 0, "service": "render", "attempts": 3, "stretch": 1.6,
		}},
		"services": []map[string]any{{"name": "render", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_control": false, "standby": false}},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func jsonText(v any) string {
	data, _ := json.Marshal(v)
	return string(data)
}
