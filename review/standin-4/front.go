package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// front is an entry instance: a process of the product.
type front struct {
	world   *world
	name    string
	zone    string
	address string
	ready   string
	peer    int
	cmd     *exec.Cmd
	exited  chan struct{}
	once    sync.Once
}

const settingsFormat = `node = %q
role = "dispatcher"
class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = %q
region = "penang"
port_range = [%d,%d]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
orders = "rpc"
[listen]
front = %q
ready = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
[bounds]
stability_ms = 3000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
hold_max_ms = 1000
stop_ms = 50
cancel_ms = 3000
far_x = 2
resend_ms = 1300
[platform]
addr = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

// freePorts returns ports on which nothing listens.
func freePorts(n int) ([]int, error) {
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	var ports []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// startFront starts a process with the command of the deploy file.
func startFront(w *world, name, zone string) (*front, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	local := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	f := &front{world: w, name: name, zone: zone, address: local(ports[0]), ready: local(ports[1]), exited: make(chan struct{})}
	path := filepath.Join(w.dir, name+".toml")
	// The second port is that of the metrics, which nothing reads here.
	settings := fmt.Sprintf(settingsFormat, name, zone, min(ports[2], ports[3]), max(ports[2], ports[3]), f.address, f.ready, w.storeAddress)
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(w.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	f.cmd = exec.Command(w.program, "dispatch")
	f.cmd.Env = append(os.Environ(), "HORNBEAMLIFT_CONFIG="+path)
	f.cmd.Stdout, f.cmd.Stderr = log, log
	f.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := f.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = f.cmd.Wait()
		_ = log.Close()
		w.record.printf("front %s has ended", name)
		close(f.exited)
	}()
	return f, nil
}

// end kills the process and waits for it.
func (f *front) end() {
	f.once.Do(func() {
		_ = f.cmd.Process.Kill()
		<-f.exited
	})
}

// waitReady waits until the instance reports that it is ready.
func (f *front) waitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := client.Get("http://" + f.ready + "/hornbeamlift/ready")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("front %s is not ready", f.name)
}
