package dispatch

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/listing"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

func decodeEndpoints(rows []*peerpb.LeasedEndpoint) []owner.Endpoint {
	list := make([]owner.Endpoint, len(rows))
	for i, m := range rows {
		e := owner.Endpoint{
			ID: ident.EndpointID(m.GetId()), Service: ident.Service(m.GetService()), Address: m.GetAddress(),
			DataCentre: ident.DataCentre(m.GetDataCentre()), Labels: m.GetLabels(), Room: decodeRoom(m.GetRoom()),
			Draining: m.GetDraining(), Incarnation: m.GetBorn(),
		}
		// The first label is the kind of machine, the second one its rack.
		if len(e.Labels) > 0 {
			e.Kind = e.Labels[0]
		}
		if len(e.Labels) > 1 {
			e.Rack = e.Labels[1]
		}
		list[i] = e
	}
	return list
}

func encodeEndpoints(list []owner.Endpoint) []*peerpb.LeasedEndpoint {
	rows := make([]*peerpb.LeasedEndpoint, len(list))
	for i := range list {
		e := &list[i]
		rows[i] = &peerpb.LeasedEndpoint{
			Id: string(e.ID), Service: string(e.Service), Address: e.Address, DataCentre: string(e.DataCentre),
			Labels: e.Labels, Room: encodeRoom(e.Room), Draining: e.Draining, Born: e.Incarnation,
		}
	}
	return rows
}

func encodeSnapshot(s listing.Snapshot) *peerpb.Message {
	body := &peerpb.EndpointList{AgeMs: uint32(s.Age.Milliseconds()), Endpoints: encodeEndpoints(s.Endpoints), Missing: encodeEndpoints(s.Missing)}
	return &peerpb.Message{Body: &peerpb.Message_EndpointList{EndpointList: body}}
}

func decodeSnapshot(body *peerpb.EndpointList) listing.Snapshot {
	return listing.Snapshot{
		Endpoints: decodeEndpoints(body.GetEndpoints()), Missing: decodeEndpoints(body.GetMissing()),
		Age: time.Duration(body.GetAgeMs()) * time.Millisecond,
	}
}

func encodeChanges(c listing.Changes) *peerpb.Message {
	body := &peerpb.EndpointChanges{AgeMs: uint32(c.Age.Milliseconds()), Changed: encodeEndpoints(c.Changed)}
	for _, id := range c.Removed {
		body.Removed = append(body.Removed, string(id))
	}
	return &peerpb.Message{Body: &peerpb.Message_EndpointChanges{EndpointChanges: body}}
}

func decodeChanges(body *peerpb.EndpointChanges) listing.Changes {
	c := listing.Changes{
		Changed: decodeEndpoints(body.GetChanged()),
		Age:     time.Duration(body.GetAgeMs()) * time.Millisecond,
	}
	for _, id := range body.GetRemoved() {
		c.Removed = append(c.Removed, ident.EndpointID(id))
	}
	return c
}
