package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// settingsFormat is the settings file of an instance, as the deploy page shows
// it, with the bounds of a small site.
const settingsFormat = `node = %q
role = "dispatcher"
class = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "bayan-a"
region = "penang"
port_range = [%d,%d]
seeds = []
bootstrap = true
counts_as_loss = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
orders = "rpc"
[zones]
bayan-a = "penang"
[listen]
front = "127.0.0.1:%d"
ready = "127.0.0.1:%d"
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
stability_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
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

// grace is the time from SIGTERM until the platform sends SIGKILL.
const grace = 6 * time.Second

// instance is a process of the built program on a machine.
type instance struct {
	world    *world
	name     string
	ports    [4]int
	path     *storePath
	front    string
	ready    string
	settings string
	command  *exec.Cmd
	ended    chan struct{}
}

// freePorts returns four free ports, of which the first two follow each other.
func freePorts() ([4]int, error) {
	var ports [4]int
	for range 100 {
		var listeners []net.Listener
		open := func(address string) int {
			l, err := net.Listen("tcp", address)
			if err != nil {
				return 0
			}
			listeners = append(listeners, l)
			return l.Addr().(*net.TCPAddr).Port
		}
		ports[0] = open("127.0.0.1:0")
		ports[1] = open(fmt.Sprintf("127.0.0.1:%d", ports[0]+1))
		ports[2], ports[3] = open("127.0.0.1:0"), open("127.0.0.1:0")
		for _, l := range listeners {
			_ = l.Close()
		}
		if len(listeners) == len(ports) {
			return ports, nil
		}
	}
	return ports, errors.New("no free ports")
}

// addInstance adds an instance and starts it.
func (w *world) addInstance(name string) (*instance, error) {
	ports, err := freePorts()
	if err != nil {
		return nil, err
	}
	path, err := newStorePath(w.store)
	if err != nil {
		return nil, err
	}
	i := &instance{
		world: w, name: name, ports: ports, path: path, settings: filepath.Join(w.dir, name+".toml"),
		front: fmt.Sprintf("127.0.0.1:%d", ports[2]), ready: fmt.Sprintf("127.0.0.1:%d", ports[3]),
	}
	if err := i.writeSettings(); err != nil {
		return nil, err
	}
	if err := i.start(); err != nil {
		return nil, err
	}
	w.instances = append(w.instances, i)
	return i, nil
}

// writeSettings writes the settings file.
func (i *instance) writeSettings() error {
	text := fmt.Sprintf(settingsFormat, i.name, i.ports[0], i.ports[1], i.ports[2], i.ports[3], i.path.address)
	return os.WriteFile(i.settings, []byte(text), 0o600)
}

// start starts the process.
func (i *instance) start() error {
	log, err := os.OpenFile(filepath.Join(i.world.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	i.command = exec.Command(i.world.program, "dispatch")
	i.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HORNBEAMLIFT_CONFIG=" + i.settings}
	i.command.Stdout, i.command.Stderr = log, log
	if err := i.command.Start(); err != nil {
		return err
	}
	i.world.record.note("%s: started", i.name)
	ended, command := make(chan struct{}), i.command
	i.ended = ended
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// kill kills the process, if it runs.
func (i *instance) kill() {
	_ = i.command.Process.Signal(syscall.SIGKILL)
	<-i.ended
	i.world.record.note("%s: killed", i.name)
}

// terminate stops the process as the platform does.
func (i *instance) terminate() {
	i.world.record.note("%s: SIGTERM", i.name)
	_ = i.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-i.ended:
		i.world.record.note("%s: ended by itself", i.name)
	case <-time.After(grace):
		i.kill()
	}
}

// isReady asks the process whether it is ready.
func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + i.ready + "/hornbeamlift/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// waitReady waits until all instances are ready, and for the calm before the
// traffic.
func (w *world) waitReady(calm time.Duration) error {
	deadline := time.Now().Add(15 * time.Second)
	for _, i := range w.instances {
		for !i.isReady() {
			if time.Now().After(deadline) {
				return errors.New(i.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.record.note("all instances are ready")
	time.Sleep(calm)
	return nil
}
