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

var loadNow = time.Unix(1_700_000_000, 0)

// loadRows are an instance without endpoints of its own, and one in another
// data centre with a worker for each service.
var loadRows = []work.Instance{
	{ID: "entry-0", Kind: work.KindEntry, DataCentre: "dc-0", Address: "a", Incarnation: 1},
	{ID: "entry-1", Kind: work.KindEntry, DataCentre: "dc-1", Address: "b", Incarnation: 1},
	{ID: "worker-0", Kind: work.KindEndpoint, DataCentre: "dc-1", Address: "c", Incarnation: 1, Service: sheetPress, Slots: 3},
	{ID: "worker-1", Kind: work.KindEndpoint, DataCentre: "dc-1", Address: "d", Incarnation: 1, Service: sheetRender, Slots: 3},
}

// revisions returns one revision per list of services.
func revisions(lists ...[]string) []*configpb.Revision {
	var all []*configpb.Revision
	var last *configpb.Revision
	for _, names := range lists {
		file := &configpb.File{Teams: []*configpb.Team{{Name: "studio"}}}
		for _, name := range names {
			file.Services = append(file.Services, &configpb.Service{Name: name, ExpectedRunTime: "100ms"})
		}
		last = config.Next(last, file, "apply", "operator", loadNow)
		all = append(all, last)
	}
	return all
}

// loadCore starts the instance of a row with revisions applied in turn.
func loadCore(t *testing.T, row work.Instance, revs ...*configpb.Revision) *instance.Core {
	t.Helper()
	c, err := instance.New(loadNow, instance.Config{Self: process(row), DataCentre: row.DataCentre, Address: row.Address})
	is.New(t).NoErr(err)
	for _, rev := range revs {
		c.Handle(loadNow, instance.ConfigRead{Revision: rev})
	}
	c.Handle(loadNow, instance.Listed{Instances: slices.Clone(loadRows)})
	return c
}

// link tells c of a link to the instance of row and returns c's heartbeat.
func link(c *instance.Core, row work.Instance) *peerpb.Message {
	for _, a := range c.Handle(loadNow, instance.PeerUp{Peer: process(row), DataCentre: row.DataCentre, Address: row.Address}) {
		if s, ok := a.(instance.Send); ok && s.Message.GetHeartbeat() != nil {
			return s.Message
		}
	}
	return nil
}

// TestHeartbeatLoads guards against loads that are taken for those of another
// service, since heartbeats leave the names out, and against loads that are
// not taken at all.
func TestHeartbeatLoads(t *testing.T) {
	revs := revisions([]string{sheetPress, sheetRender}, []string{sheetRender, sheetPress})
	for name, c := range map[string]struct {
		receiver []*configpb.Revision
		service  ident.Service
		sent     bool
	}{
		"free slots":                        {revs[:1], sheetRender, true},
		"no free slot":                      {revs[:1], sheetPress, false},
		"other order, no free slot":         {revs, sheetPress, false},
		"other order, place is not trusted": {revs, sheetRender, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sender := loadCore(t, loadRows[1], revs[0])
			sender.Handle(loadNow, instance.StatusRead{Endpoint: loadRows[2], Slots: 3, Busy: 3})
			sender.Handle(loadNow, instance.StatusRead{Endpoint: loadRows[3], Slots: 3})
			receiver := loadCore(t, loadRows[0], c.receiver...)
			link(receiver, loadRows[1])
			receiver.Handle(loadNow, instance.PeerMessage{Peer: process(loadRows[1]), Message: link(sender, loadRows[0])})
			s := work.Submission{Service: c.service, Team: "studio", Deadline: loadNow.Add(time.Minute),
				Tasks: []work.Input{{Deadline: loadNow.Add(time.Minute)}}}
			sent := false
			for _, a := range receiver.Handle(loadNow, instance.Submit{Ref: instance.Ref{Request: 1}, Submission: s}) {
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

// TestRemovedServiceLoad guards against a peer that goes on sending tasks of a
// service that was removed, because it last heard of free slots.
func TestRemovedServiceLoad(t *testing.T) {
	is := is.New(t)
	revs := revisions([]string{sheetRender, sheetPress}, []string{sheetPress})
	h := link(loadCore(t, loadRows[1], revs...), loadRows[0]).GetHeartbeat()
	is.Equal(len(h.Load), 2)
	is.Equal(h.Load[0].Service, "")
	is.Equal(h.Load[0].Slots, uint32(3))
	is.Equal(h.Load[1].Service, sheetRender)
	is.Equal(h.Load[1].FreeSlots, uint32(0))
}

// TestLoadsOrder guards against loads that change places: the mesh would send
// them again with each frame.
func TestLoadsOrder(t *testing.T) {
	is := is.New(t)
	names := []string{"a", "d", "c", "b", "e"}
	c := loadCore(t, loadRows[1], revisions(append(slices.Clone(names), "z", "y"), names)...)
	for range 10 {
		var got []string
		for _, l := range c.Loads(loadNow) {
			got = append(got, l.Service)
		}
		is.Equal(got, append(slices.Clone(names), "y", "z"))
	}
}

// TestConfigPushes guards against instances that pass on a configuration which
// their data centre has already, and against a data centre that is not told of
// one from outside.
func TestConfigPushes(t *testing.T) {
	revs := revisions([]string{sheetPress}, []string{sheetRender})
	peer := func(id string, dc ident.DataCentre) work.Instance {
		return work.Instance{ID: id, Kind: work.KindEntry, DataCentre: dc, Address: id, Incarnation: 1}
	}
	near, far := peer("entry-2", "dc-0"), peer("entry-3", "dc-2")
	push := &peerpb.Message{Body: &peerpb.Message_ConfigPush{ConfigPush: &peerpb.ConfigPush{Revision: revs[1]}}}
	for name, c := range map[string]struct {
		event instance.Event
		to    []ident.InstanceID
	}{
		"store":                   {instance.ConfigRead{Revision: revs[1]}, []ident.InstanceID{"entry-2", "entry-4"}},
		"peer of the data centre": {instance.PeerMessage{Peer: process(near), Message: push}, nil},
		"peer of another":         {instance.PeerMessage{Peer: process(far), Message: push}, []ident.InstanceID{"entry-2", "entry-4"}},
	} {
		t.Run(name, func(t *testing.T) {
			core := loadCore(t, loadRows[0], revs[0])
			for _, row := range []work.Instance{near, far, peer("entry-4", "dc-0")} {
				link(core, row)
			}
			var to []ident.InstanceID
			for _, a := range core.Handle(loadNow, c.event) {
				if s, ok := a.(instance.Send); ok && s.Message.GetConfigPush() != nil {
					to = append(to, s.To.Instance)
				}
			}
			slices.Sort(to)
			is.New(t).Equal(to, c.to)
		})
	}
}
