package instance_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
	"hornbeamlift.example/hornbeamlift/internal/decide/config"
	"hornbeamlift.example/hornbeamlift/internal/decide/instance"
	"hornbeamlift.example/hornbeamlift/internal/schema/configpb"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

var testTime = time.Unix(1_700_000_000, 0)

// testList holds an instance without endpoints in its data centre, and one in
// another data centre with a worker for each service.
var testList = []work.Instance{
	{ID: "entry-0", Kind: work.KindEntry, DataCentre: "dc-0", Address: "a", Incarnation: 1},
	{ID: "entry-1", Kind: work.KindEntry, DataCentre: "dc-1", Address: "b", Incarnation: 1},
	{ID: "worker-0", Kind: work.KindEndpoint, DataCentre: "dc-1", Address: "c", Incarnation: 1, Service: sheetPress, Slots: 3},
	{ID: "worker-1", Kind: work.KindEndpoint, DataCentre: "dc-1", Address: "d", Incarnation: 1, Service: sheetRender, Slots: 3},
}

// configRevisions returns one revision of the configuration per list of
// services.
func configRevisions(lists ...[]string) []*configpb.Revision {
	var all []*configpb.Revision
	var last *configpb.Revision
	for _, names := range lists {
		file := &configpb.File{Teams: []*configpb.Team{{Name: "studio"}}}
		for _, name := range names {
			file.Services = append(file.Services, &configpb.Service{Name: name, ExpectedRunTime: "100ms"})
		}
		last = config.Next(last, file, "apply", "operator", testTime)
		all = append(all, last)
	}
	return all
}

// newTestCore returns the core of the instance of a row, with the revisions
// applied in order.
func newTestCore(t *testing.T, row work.Instance, revs ...*configpb.Revision) *instance.Core {
	t.Helper()
	c, err := instance.New(testTime, instance.Config{Self: process(row), DataCentre: row.DataCentre, Address: row.Address})
	is.New(t).NoErr(err)
	for _, rev := range revs {
		c.Handle(testTime, instance.ConfigRead{Revision: rev})
	}
	c.Handle(testTime, instance.ListRead{Instances: slices.Clone(testList)})
	return c
}

// connect reports a link to the instance of row to c, and returns the heartbeat
// that c then sends.
func connect(c *instance.Core, row work.Instance) *peerpb.Message {
	for _, a := range c.Handle(testTime, instance.PeerUp{Peer: process(row), DataCentre: row.DataCentre, Address: row.Address}) {
		if s, ok := a.(instance.Send); ok && s.Message.GetHeartbeat() != nil {
			return s.Message
		}
	}
	return nil
}

// TestHeartbeatLoads guards against loads that are assigned to the wrong
// service, since heartbeats omit the service names, and against loads that are
// ignored.
func TestHeartbeatLoads(t *testing.T) {
	revs := configRevisions([]string{sheetPress, sheetRender}, []string{sheetRender, sheetPress})
	for name, c := range map[string]struct {
		receiver []*configpb.Revision
		service  ident.Service
		sent     bool
	}{
		"free slots":                            {revs[:1], sheetRender, true},
		"no free slot":                          {revs[:1], sheetPress, false},
		"other service order, no free slot":     {revs, sheetPress, false},
		"other service order, position ignored": {revs, sheetRender, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sender := newTestCore(t, testList[1], revs[0])
			sender.Handle(testTime, instance.StatusRead{Endpoint: testList[2], Slots: 3, Busy: 3})
			sender.Handle(testTime, instance.StatusRead{Endpoint: testList[3], Slots: 3})
			receiver := newTestCore(t, testList[0], c.receiver...)
			connect(receiver, testList[1])
			receiver.Handle(testTime, instance.PeerMessage{Peer: process(testList[1]), Message: connect(sender, testList[0])})
			s := work.Submission{Service: c.service, Team: "studio", Deadline: testTime.Add(time.Minute),
				Tasks: []work.Input{{Deadline: testTime.Add(time.Minute)}}}
			sent := false
			for _, a := range receiver.Handle(testTime, instance.Submit{Ref: instance.RequestRef{Request: 1}, Submission: s}) {
				if r, ok := a.(instance.Reply); ok {
					t.Fatal("refused:", r.Failure)
				}
				if m, ok := a.(instance.Send); ok && m.Message.GetTasks() != nil {
					sent = true
				}
			}
			is.Equal(sent, c.sent)
		})
	}
}

// TestRemovedServiceLoad guards against a peer that keeps sending tasks of a
// removed service, because the last load it received reported free slots.
func TestRemovedServiceLoad(t *testing.T) {
	is := is.New(t)
	revs := configRevisions([]string{sheetRender, sheetPress}, []string{sheetPress})
	h := connect(newTestCore(t, testList[1], revs...), testList[0]).GetHeartbeat()
	is.Equal(len(h.Load), 2)
	is.Equal(h.Load[0].Service, "")
	is.Equal(h.Load[0].Slots, uint32(3))
	is.Equal(h.Load[1].Service, sheetRender)
	is.Equal(h.Load[1].FreeSlots, uint32(0))
}

// TestLoadsOrder guards against loads whose order changes from call to call:
// the peer connections would send them again with each frame.
func TestLoadsOrder(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "d", "c", "b", "e"}
	c := newTestCore(t, testList[1], configRevisions(append(slices.Clone(names), "z", "y"), names)...)
	for range 10 {
		var got []string
		for _, l := range c.Loads(testTime) {
			got = append(got, l.Service)
		}
		is.Equal(got, append(slices.Clone(names), "y", "z"))
	}
}

// TestConfigPushes guards against an instance that pushes a configuration which
// the peers of its data centre already have, and against one that does not push
// a configuration from the store or another data centre to them.
func TestConfigPushes(t *testing.T) {
	revs := configRevisions([]string{sheetPress}, []string{sheetRender})
	peer := func(id string, dc ident.DataCentre) work.Instance {
		return work.Instance{ID: id, Kind: work.KindEntry, DataCentre: dc, Address: id, Incarnation: 1}
	}
	sameDataCentre, otherDataCentre := peer("entry-2", "dc-0"), peer("entry-3", "dc-2")
	push := &peerpb.Message{Body: &peerpb.Message_ConfigPush{ConfigPush: &peerpb.ConfigPush{Revision: revs[1]}}}
	for name, c := range map[string]struct {
		event instance.Event
		to    []ident.InstanceID
	}{
		"store":                       {instance.ConfigRead{Revision: revs[1]}, []ident.InstanceID{"entry-2", "entry-4"}},
		"peer of the data centre":     {instance.PeerMessage{Peer: process(sameDataCentre), Message: push}, nil},
		"peer of another data centre": {instance.PeerMessage{Peer: process(otherDataCentre), Message: push}, []ident.InstanceID{"entry-2", "entry-4"}},
	} {
		t.Run(name, func(t *testing.T) {
			core := newTestCore(t, testList[0], revs[0])
			for _, row := range []work.Instance{sameDataCentre, otherDataCentre, peer("entry-4", "dc-0")} {
				connect(core, row)
			}
			var to []ident.InstanceID
			for _, a := range core.Handle(testTime, c.event) {
				if s, ok := a.(instance.Send); ok && s.Message.GetConfigPush() != nil {
					to = append(to, s.To.Instance)
				}
			}
			slices.Sort(to)
			is.New(t).Equal(to, c.to)
		})
	}
}
