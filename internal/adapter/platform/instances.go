package platform

import (
	"encoding/json"
	"strconv"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// The states of an instance in the platform's list.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// instanceRow is one row of the list in JSON. The incarnation is in
// hexadecimal, as in submission ids, because many JSON readers round numbers
// above 2^53.
type instanceRow struct {
	ID          string            `json:"id"`
	Kind        work.InstanceKind `json:"kind"`
	DataCentre  ident.DataCentre  `json:"data-centre"`
	Address     string            `json:"address"`
	Incarnation string            `json:"incarnation"`
	State       string            `json:"state"`
	Service     ident.Service     `json:"service,omitempty"`
	Slots       int               `json:"slots,omitempty"`
	Connections int               `json:"connections,omitempty"`
}

// EncodeInstances returns the list in the platform's JSON form.
func EncodeInstances(list []work.Instance) ([]byte, error) {
	rows := make([]instanceRow, 0, len(list))
	for _, instance := range list {
		state := stateLive
		if instance.Leaving {
			state = stateLeaving
		}
		rows = append(rows, instanceRow{
			ID: instance.ID, Kind: instance.Kind, DataCentre: instance.DataCentre, Address: instance.Address,
			Incarnation: strconv.FormatUint(uint64(instance.Incarnation), 16),
			State:       state, Service: instance.Service, Slots: instance.Slots, Connections: instance.Connections,
		})
	}
	data, err := json.Marshal(rows)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, fault.RanNo)
	}
	return data, nil
}

// DecodeInstances reads the platform's JSON form of the list. The error has
// kind fault.BadField. One invalid row makes the whole list invalid: a list
// without that row would look as if the instance had left.
func DecodeInstances(data []byte) ([]work.Instance, error) {
	var rows []instanceRow
	if err := json.Unmarshal(data, &rows); err != nil {
		return nil, fault.Wrap(err, fault.BadField, fault.RanNo).WithField("instances")
	}
	list := make([]work.Instance, 0, len(rows))
	for i, row := range rows {
		incarnation, err := strconv.ParseUint(row.Incarnation, 16, 64)
		if err != nil {
			return nil, badRow(i, "incarnation")
		}
		switch {
		case row.ID == "":
			return nil, badRow(i, "id")
		case row.Kind != work.KindEntry && row.Kind != work.KindEndpoint:
			return nil, badRow(i, "kind")
		case row.State != stateLive && row.State != stateLeaving:
			return nil, badRow(i, "state")
		}
		list = append(list, work.Instance{
			ID: row.ID, Kind: row.Kind, DataCentre: row.DataCentre, Address: row.Address,
			Incarnation: ident.Incarnation(incarnation), Leaving: row.State == stateLeaving,
			Service: row.Service, Slots: row.Slots, Connections: row.Connections,
		})
	}
	return list, nil
}

func badRow(i int, field string) error {
	return fault.New(fault.BadField, fault.RanNo).WithField("instances[" + strconv.Itoa(i) + "]." + field)
}
