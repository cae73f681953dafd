package main

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const settingsTemplate = `node = "%[1]s"
role = "dispatcher"
class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "%[2]s"
region = "penang"
port_range = [%[3]d,%[4]d]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "rpc"
advice = "127.0.0.1:9"
[zones]
%[2]s = "penang"
[listen]
front = "%[5]s"
ready = "%[6]s"
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
stability_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_ms = 250
skew_max_ms = 5000
recover_s = 12
hold_max_ms = 1000
stop_ms = 50
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
far_x = 2
fencing = true
lease_ms = 3000
resend_ms = 1300
[platform]
addr = "%[7]s"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

// node is a process of the system.
type node struct {
	name, front, ready string
	settings           string
	port               int
	process            *exec.Cmd
	exited             chan struct{}
	// inRotation and misses are the ingress's view of the node.
	inRotation bool
	misses     int
}

// fleet holds the processes of the system and the stand-in for the ingress of
// their zone.
type fleet struct {
	record  *record
	folder  string
	store   string
	program string
	mu      sync.Mutex
	nodes   []*node
}

// start starts a process of the system with the command of the deploy file.
func (f *fleet) start(name string) *node {
	n := &node{name: name, front: free(), ready: free(), port: freePorts(), settings: filepath.Join(f.folder, name+".toml")}
	text := fmt.Sprintf(settingsTemplate, name, "bayan-a", n.port, n.port+1, n.front, n.ready, f.store)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	log, err := os.Create(filepath.Join(f.folder, name+".log"))
	if err != nil {
		panic(err)
	}
	n.process = exec.Command(f.program, "dispatch")
	n.process.Env = []string{"HORNBEAMLIFT_CONFIG=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + f.folder}
	n.process.Stdout, n.process.Stderr = log, log
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		panic(caseFailed{err})
	}
	n.exited = make(chan struct{})
	go func() {
		_ = n.process.Wait()
		close(n.exited)
	}()
	f.record.add("platform: starts %s", name)
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	return n
}

// caseFailed is the panic of a case that cannot run.
type caseFailed struct{ error }

// runIngress asks each node once a second whether it is ready. A node is out of
// rotation after two misses, and in again with the next good answer.
func (f *fleet) runIngress() {
	client := &http.Client{Timeout: 900 * time.Millisecond}
	for range time.Tick(time.Second) {
		f.mu.Lock()
		nodes := append([]*node(nil), f.nodes...)
		f.mu.Unlock()
		for _, n := range nodes {
			go f.check(client, n)
		}
	}
}

func (f *fleet) check(client *http.Client, n *node) {
	ok := false
	if r, err := client.Get("http://" + n.ready + "/hornbeamlift/ready"); err == nil {
		ok = r.StatusCode == http.StatusOK
		_ = r.Body.Close()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	before := n.inRotation
	switch {
	case ok:
		n.inRotation, n.misses = true, 0
	default:
		n.misses++
		n.inRotation = n.inRotation && n.misses < 2
	}
	if n.inRotation != before {
		f.record.add("ingress: %s in rotation: %v", n.name, n.inRotation)
	}
}

// route returns the node for a new channel of a client: by a hash of the client
// among the nodes in rotation, or among all if fewer than half of them are.
func (f *fleet) route(client string) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*node
	for _, n := range f.nodes {
		if n.inRotation {
			list = append(list, n)
		}
	}
	if 2*len(list) < len(f.nodes) {
		list = f.nodes
	}
	return list[hash(client)%len(list)]
}

// hash returns the hash of a client by which the ingress selects a node.
func hash(client string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(client))
	return int(h.Sum32() >> 8)
}

// awaitRotation waits until n nodes are in rotation.
func (f *fleet) awaitRotation(n int) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		f.mu.Lock()
		in := 0
		for _, o := range f.nodes {
			if o.inRotation {
				in++
			}
		}
		f.mu.Unlock()
		if in >= n {
			return
		}
	}
	panic(caseFailed{errors.New("the nodes are not ready")})
}

// stop ends all processes of the system.
func (f *fleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		_ = n.process.Process.Kill()
		<-n.exited
	}
}

// serveStore serves the store and returns its address.
func serveStore(s *store) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(l, s) }()
	return l.Addr().String()
}
