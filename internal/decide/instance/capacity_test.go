package instance_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/config"
	"hornbeamlift.example/hornbeamlift/internal/decide/instance"
	"hornbeamlift.example/hornbeamlift/internal/decide/quota"
	"hornbeamlift.example/hornbeamlift/internal/schema/configpb"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// The size of the largest fleet that the design is made for (docs/CAPACITY.md).
const (
	designServices = 20
	designTeams    = 71
	designWorkers  = 800
)

// benchCore is the core of entry-000 in data centre 0, with the peers, list and
// configuration of a whole fleet.
type benchCore struct {
	b     *testing.B
	core  *instance.Core
	now   time.Time
	peers []work.Instance
	rows  []work.Instance
	rev   *configpb.Revision
	// statusReads holds the endpoints whose status the last event asked for.
	statusReads []work.Instance
	// sent counts the messages to peers, sentBytes their encoded bytes.
	sent, sentBytes int
}

func serviceName(i int) string { return fmt.Sprintf("sheet-render-%02d", i) }

// capacityFile returns a configuration in which most keys are set.
func capacityFile(services, teams int) *configpb.File {
	file := &configpb.File{}
	for i := range services {
		file.Services = append(file.Services, &configpb.Service{
			Name: serviceName(i), DataCentres: []string{"dc-0", "dc-1", "dc-2"},
			MaxRunning: 2000, MaxQueued: 4_000_000, ExpectedRunTime: "100ms", CostPerSlotSecondMicros: 120,
			Objective: &configpb.Objective{ResponseTime: "2s", Share: 0.99}, ResponseWeight: 0.7,
			FloorShare: proto.Float64(0.5),
		})
	}
	for i := range teams {
		file.Teams = append(file.Teams, &configpb.Team{
			Name: fmt.Sprintf("studio-%02d", i), Services: []string{serviceName(0), serviceName(i % services)}[:1+min(1, i%services)],
			Weight: uint32(1 + i%4), MaxRunning: 400, MaxCostPerHourMicros: 9_000_000, FloorShare: proto.Float64(0.5),
		})
	}
	return file
}

// fleetList returns a platform's list with instances and workers spread evenly
// over the data centres.
func fleetList(instances, workers, services int) []work.Instance {
	dcs := 7
	if instances < dcs {
		dcs = max(1, instances/2)
	}
	dc := func(i int) ident.DataCentre { return ident.DataCentre(fmt.Sprint("dc-", i%dcs)) }
	var rows []work.Instance
	for i := range instances {
		rows = append(rows, work.Instance{ID: fmt.Sprintf("entry-%03d", i), Kind: work.KindEntry, DataCentre: dc(i),
			Address: fmt.Sprintf("10.20.%d.%d:7400", i%dcs, i), Incarnation: 0x019ae3f40a7c1234})
	}
	for i := range workers {
		rows = append(rows, work.Instance{ID: fmt.Sprintf("worker-%04d", i), Kind: work.KindEndpoint, DataCentre: dc(i),
			Address: fmt.Sprintf("10.30.%d.%d:7500", i/200, i%200), Incarnation: 0x019ae3f40a7c1234,
			Service: ident.Service(serviceName(i / dcs % services)), Slots: 8, Connections: 64})
	}
	return rows
}

func newBenchCore(b *testing.B, instances, workers, services int) *benchCore {
	c := &benchCore{b: b, now: time.Unix(1_700_000_000, 0), rows: fleetList(instances, workers, services)}
	var err error
	c.core, err = instance.New(c.now, instance.Config{
		Self:       ident.Process{Instance: "entry-000", Incarnation: c.rows[0].Incarnation},
		DataCentre: c.rows[0].DataCentre, Address: c.rows[0].Address})
	if err != nil {
		b.Fatal(err)
	}
	c.rev = config.Next(nil, capacityFile(services, designTeams), "apply-0001", "operator", c.now)
	c.handle(instance.ConfigRead{Revision: c.rev})
	c.peers = c.rows[1:instances]
	for _, p := range c.peers {
		c.handle(instance.PeerUp{Peer: process(p), DataCentre: p.DataCentre, Address: p.Address})
	}
	c.handle(instance.ListRead{Instances: c.rows})
	for _, p := range c.peers {
		c.heartbeat(p)
	}
	if !c.core.Ready() {
		b.Fatal("the core is not ready")
	}
	c.sent, c.sentBytes = 0, 0
	return c
}

func process(row work.Instance) ident.Process {
	return ident.Process{Instance: ident.InstanceID(row.ID), Incarnation: row.Incarnation}
}

// handle passes an event to the core and answers its status requests to
// endpoints. It returns the actions, or nil when there were such requests.
func (c *benchCore) handle(ev instance.Event) []instance.Action {
	actions := c.core.Handle(c.now, ev)
	c.statusReads = c.statusReads[:0]
	for _, a := range actions {
		switch a := a.(type) {
		case instance.Send:
			c.sent++
			c.sentBytes += frameBytes(a.Message)
		case instance.ReadStatus:
			c.statusReads = append(c.statusReads, a.Endpoint)
		}
	}
	if len(c.statusReads) == 0 {
		return actions
	}
	for _, row := range c.statusReads {
		c.core.Handle(c.now, instance.StatusRead{Endpoint: row, Slots: row.Slots, Running: map[string]bool{}})
	}
	return nil
}

// frameBytes returns the bytes of a frame that carries only the message on a
// peer link.
func frameBytes(m *peerpb.Message) int {
	return 4 + proto.Size(&peerpb.Batch{Messages: []*peerpb.Message{m}})
}

func (c *benchCore) heartbeatMessage(p work.Instance, services int, draining bool) *peerpb.Message {
	h := &peerpb.Heartbeat{Instance: p.ID, Incarnation: uint64(p.Incarnation), ConfigRevision: c.rev.Revision,
		ListVersion: 1, Draining: draining}
	for range services {
		h.Load = append(h.Load, &peerpb.Load{FreeSlots: 20, Slots: 24})
	}
	return &peerpb.Message{Body: &peerpb.Message_Heartbeat{Heartbeat: h}}
}

func (c *benchCore) heartbeat(p work.Instance) {
	c.handle(instance.PeerMessage{Peer: process(p), Message: c.heartbeatMessage(p, designServices, false)})
}

var fleetSizes = []int{6, 14, 28, 42}

// BenchmarkCapacityIdleSecond measures the events of one second without
// traffic: 50 ticks, each with the loads that the process publishes, and the
// heartbeats of all peers.
func BenchmarkCapacityIdleSecond(b *testing.B) {
	for _, n := range append(fleetSizes, 48) {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			c := newBenchCore(b, n, designWorkers, designServices)
			heartbeats := make([]instance.PeerMessage, len(c.peers))
			for i, p := range c.peers {
				heartbeats[i] = instance.PeerMessage{Peer: process(p), Message: c.heartbeatMessage(p, designServices, false)}
			}
			second, in := 0, 0
			for b.Loop() {
				for tick := range 50 {
					c.now = c.now.Add(instance.TickInterval)
					c.handle(instance.Tick{})
					c.core.Loads(c.now)
					for i, p := range c.peers {
						sameDataCentre := p.DataCentre == c.rows[0].DataCentre && (tick+i)%25 == 0
						if sameDataCentre || (second*50+tick+i)%100 == 0 {
							c.handle(heartbeats[i])
							c.core.Loads(c.now)
							in++
						}
					}
				}
				second++
			}
			b.ReportMetric(float64(c.sent)/float64(second), "messages-out/s")
			b.ReportMetric(float64(in)/float64(second), "messages-in/s")
			b.ReportMetric(float64(c.sentBytes)/float64(second), "B-out/s")
		})
	}
}

// BenchmarkCapacityTick measures one tick in which nothing is due.
func BenchmarkCapacityTick(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			c := newBenchCore(b, n, designWorkers, designServices)
			c.handle(instance.Tick{})
			for b.Loop() {
				c.core.Handle(c.now, instance.Tick{})
			}
		})
	}
}

// BenchmarkCapacityHeartbeat measures the handling of one heartbeat.
func BenchmarkCapacityHeartbeat(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			c := newBenchCore(b, n, designWorkers, designServices)
			ev := instance.PeerMessage{Peer: process(c.peers[0]), Message: c.heartbeatMessage(c.peers[0], designServices, false)}
			for b.Loop() {
				c.core.Handle(c.now, ev)
			}
		})
	}
}

// BenchmarkCapacityOwnership measures a change of ownership: a peer of the
// data centre drains or comes back, among 14 instances.
func BenchmarkCapacityOwnership(b *testing.B) {
	for _, workers := range []int{50, 200, 800} {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			c := newBenchCore(b, 14, workers, designServices)
			peer := c.peers[6] // the other instance of dc-0
			var heartbeats [2]instance.PeerMessage
			for i := range heartbeats {
				heartbeats[i] = instance.PeerMessage{Peer: process(peer), Message: c.heartbeatMessage(peer, designServices, i == 0)}
			}
			statusReads, n := 0, 0
			for b.Loop() {
				c.handle(heartbeats[n%2])
				statusReads += len(c.statusReads)
				n++
			}
			b.ReportMetric(float64(statusReads)/float64(n), "asked/op")
		})
	}
}

// BenchmarkCapacityList measures the handling of a changed list by the store
// reader. 14 of the rows are entry instances.
func BenchmarkCapacityList(b *testing.B) {
	for _, rows := range []int{214, 850} {
		b.Run(fmt.Sprint("rows=", rows), func(b *testing.B) {
			c := newBenchCore(b, 14, rows-14, designServices)
			other := append([]work.Instance(nil), c.rows...)
			other[rows-1].Leaving = true
			lists := [][]work.Instance{other, c.rows}
			n := 0
			for b.Loop() {
				c.handle(instance.ListRead{Instances: lists[n%2]})
				n++
			}
			b.ReportMetric(float64(c.sentBytes)/float64(c.sent), "B/push")
			b.ReportMetric(float64(c.sent)/float64(n), "pushes/op")
		})
	}
}

// BenchmarkCapacityConfig measures the handling of a new configuration by the
// store reader, and by an instance that gets it from a peer, among 42
// instances. The pushes go to the other five instances of the data centre.
func BenchmarkCapacityConfig(b *testing.B) {
	for _, size := range [][2]int{{5, 18}, {20, 71}} {
		for _, from := range []string{"store", "peer"} {
			b.Run(fmt.Sprintf("services=%d/teams=%d/from=%s", size[0], size[1], from), func(b *testing.B) {
				c := newBenchCore(b, 42, designWorkers, size[0])
				file := capacityFile(size[0], size[1])
				peer := process(c.peers[6])
				n := 0
				for b.Loop() {
					c.now = c.now.Add(2 * time.Second)
					c.rev = config.Next(c.rev, file, fmt.Sprint("apply-", n), "operator", c.now)
					if from == "store" {
						c.handle(instance.ConfigRead{Revision: c.rev})
					} else {
						c.handle(instance.PeerMessage{Peer: peer, Message: &peerpb.Message{
							Body: &peerpb.Message_ConfigPush{ConfigPush: &peerpb.ConfigPush{Revision: c.rev}}}})
					}
					n++
				}
				stored, err := config.Marshal(c.rev)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(stored)), "B/stored")
				b.ReportMetric(float64(c.sentBytes)/float64(max(1, c.sent)), "B/push")
				b.ReportMetric(float64(c.sent)/float64(n), "pushes/op")
			})
		}
	}
}

// BenchmarkCapacityMessages measures the encoding of messages and reports their
// bytes: heartbeats with idle and busy services, tasks and results with bodies
// of 100 bytes, and requests and grants of shares.
func BenchmarkCapacityMessages(b *testing.B) {
	c := newBenchCore(b, 14, 50, designServices)
	id := c.core.NextIDs(c.now, 1)[0].String()
	busy := c.heartbeatMessage(c.peers[0], designServices, false)
	for _, l := range busy.GetHeartbeat().Load {
		l.FreeSlots, l.Queued, l.EndMs = 20, 300, 250
	}
	tasks, results := &peerpb.Tasks{}, &peerpb.TaskResults{}
	for i := range 100 {
		tasks.Tasks = append(tasks.Tasks, &peerpb.Task{Submission: id, Index: uint32(i), Attempt: 1,
			Service: serviceName(0), Team: "studio-00", Input: make([]byte, 100), DeadlineMs: 30_000, Size: 1})
		results.Results = append(results.Results, &peerpb.TaskResult{Submission: id, Index: uint32(i), Attempt: 1,
			Output: make([]byte, 100), Endpoint: "worker-0001", RunMs: 300})
	}
	for name, m := range map[string]*peerpb.Message{
		"heartbeat/services=0":       c.heartbeatMessage(c.peers[0], 0, false),
		"heartbeat/services=10":      c.heartbeatMessage(c.peers[0], 10, false),
		"heartbeat/services=20":      c.heartbeatMessage(c.peers[0], designServices, false),
		"heartbeat/busy-services=20": busy,
		"tasks/tasks=100":            {Body: &peerpb.Message_Tasks{Tasks: tasks}},
		"task-results/tasks=100":     {Body: &peerpb.Message_TaskResults{TaskResults: results}},
		"share-request": {Body: &peerpb.Message_ShareRequest{ShareRequest: &peerpb.ShareRequest{
			Request: 1 << 20, Limit: string(quota.TeamLimit("studio-00-bench")), Units: 60}}},
		"share-grant": {Body: &peerpb.Message_ShareGrant{ShareGrant: &peerpb.ShareGrant{
			Request: 1 << 20, Limit: string(quota.TeamLimit("studio-00-bench")), Units: 60, LeaseMs: 18_000}}},
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if _, err := proto.Marshal(m); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(frameBytes(m)), "B/message")
		})
	}
}

// BenchmarkCapacityJob measures large jobs with free slots for all of their
// tasks. A submission is one event, during which the event loop handles no
// other.
func BenchmarkCapacityJob(b *testing.B) {
	for _, tasks := range []int{130, 1300} {
		b.Run(fmt.Sprint("tasks=", tasks), func(b *testing.B) {
			c := newBenchCore(b, 1, designWorkers, 1)
			var submit time.Duration
			n := 0
			for b.Loop() {
				c.now = c.now.Add(time.Duration(tasks) * time.Second / 1200)
				submit += c.runJob(tasks, nil)
				n++
				c.core.Handle(c.now, instance.Tick{})
			}
			b.ReportMetric(float64(submit.Nanoseconds())/float64(n), "ns/submit")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n*tasks), "ns/task")
		})
	}
}

// runJob submits a job of the given number of tasks, finishes each of them and
// returns how long the submission took.
func (c *benchCore) runJob(tasks int, output []byte) time.Duration {
	id := c.core.NextIDs(c.now, 1)[0]
	done := 0
	finished := make([]instance.CallFinished, 0, tasks)
	collect := func(actions []instance.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case instance.StartCall:
				finished = append(finished, instance.CallFinished{Call: a.Call, Result: work.Result{
					Task: a.Task.ID, Attempt: a.Task.Attempt, Output: output, Took: 100 * time.Millisecond}})
			case instance.Reply:
				if a.Failure != nil || a.Answer.State != work.Complete {
					c.b.Fatal("refused or failed:", a.Failure, a.Answer.State)
				}
			}
		}
	}
	submission := c.submission(id, tasks)
	start := time.Now()
	actions := c.core.Handle(c.now, submission)
	took := time.Since(start)
	collect(actions)
	for ; done < len(finished); done++ {
		if output != nil {
			finished[done].Result.Output = append([]byte(nil), output...)
		}
		collect(c.core.Handle(c.now, finished[done]))
	}
	if done != tasks {
		c.b.Fatalf("%d of %d tasks started here", done, tasks)
	}
	return took
}

func (c *benchCore) submission(id ident.SubmissionID, tasks int) instance.Submit {
	s := work.Submission{ID: id, Service: ident.Service(serviceName(0)), Team: "studio-00", Job: tasks > 1,
		Deadline: c.now.Add(1000 * time.Hour), Tasks: make([]work.Input, tasks)}
	for i := range s.Tasks {
		s.Tasks[i] = work.Input{Body: make([]byte, 100), Deadline: s.Deadline, Size: 1}
	}
	return instance.Submit{Ref: instance.RequestRef{Request: id.Sequence}, Submission: s, Digest: id.Sequence}
}

// BenchmarkCapacityTask measures the handling of one task from submission to
// the end of its call, as a single request and as part of a job of eight, among
// 14 instances.
func BenchmarkCapacityTask(b *testing.B) {
	for _, tasks := range []int{1, 8} {
		for _, size := range [][2]int{{50, 1}, {200, 1}, {800, 1}, {800, 20}} {
			b.Run(fmt.Sprintf("job=%d/workers=%d/services=%d", tasks, size[0], size[1]), func(b *testing.B) {
				c := newBenchCore(b, 14, size[0], size[1])
				b.ReportAllocs()
				n := 0
				for b.Loop() {
					// Each instance starts 1,200 tasks per second.
					c.now = c.now.Add(time.Duration(tasks) * time.Second / 1200)
					c.runJob(tasks, nil)
					if n += tasks; n%1200 < tasks {
						for _, p := range c.peers {
							c.heartbeat(p)
						}
						c.core.Handle(c.now, instance.Tick{})
					}
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n), "ns/task")
			})
		}
	}
}

// BenchmarkCapacityStoreReaders counts the instances that read the store.
func BenchmarkCapacityStoreReaders(b *testing.B) {
	for _, n := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			rows := fleetList(n, 0, 1)
			readers := 0
			for b.Loop() {
				readers = 0
				for i := range n {
					core, err := instance.New(time.Unix(1_700_000_000, 0), instance.Config{
						Self: process(rows[i]), DataCentre: rows[i].DataCentre, Address: rows[i].Address})
					if err != nil {
						b.Fatal(err)
					}
					reading := false
					collect := func(actions []instance.Action) {
						for _, a := range actions {
							if r, ok := a.(instance.SetStoreReading); ok {
								reading = r.Active
							}
						}
					}
					for j, p := range rows {
						if j != i {
							collect(core.Handle(time.Unix(1_700_000_000, 0), instance.PeerUp{
								Peer: process(p), DataCentre: p.DataCentre, Address: p.Address}))
						}
					}
					if reading {
						readers++
					}
				}
			}
			b.ReportMetric(float64(readers), "readers")
		})
	}
}
