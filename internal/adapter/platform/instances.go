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
// kind fault.BadField. One invalid row makes the whole list invalid.
func DecodeInstances(data []byte) ([]work.Instance, error) {
	var rows []instanceRow
	if err := json.Unmarshal(data, &rows); err != nil {
		return nil, fault.Wrap(err, fault.BadField, fault.RanNo).WithField("instances")
	}
	list := make([]work.Instance, 0, len(rows))
	for i, row := range rows {
		instance, err := row.decode(i)
		if err != nil {
			return nil, err
		}
		list = append(list, instance)
	}
	return list, nil
}

// decodeValidRows reads the list like DecodeInstances, but leaves invalid rows
// out, and returns the error of the first one as invalid. An instance whose row
// has become invalid keeps its row of the list before: without a row it would
// look as if it had left. The error err means that the whole is no list.
func decodeValidRows(data []byte, before []work.Instance) (list []work.Instance, invalid, err error) {
	if list, invalid = DecodeInstances(data); invalid == nil {
		return list, nil, nil
	}
	var rows []json.RawMessage
	if err := json.Unmarshal(data, &rows); err != nil {
		return nil, nil, fault.Wrap(err, fault.BadField, fault.RanNo).WithField("instances")
	}
	known := make(map[string]work.Instance, len(before))
	for _, instance := range before {
		known[instance.ID] = instance
	}
	list = make([]work.Instance, 0, len(rows))
	for i, data := range rows {
		var row instanceRow
		// If a field has another type, the others are decoded nevertheless.
		faulty := json.Unmarshal(data, &row) != nil
		instance, err := row.decode(i)
		if faulty || err != nil {
			if instance = known[row.ID]; instance.ID == "" {
				continue
			}
		}
		list = append(list, instance)
	}
	return list, invalid, nil
}

// maxSlots bounds the slots and the connections of an endpoint. It is far above
// what a machine has, and keeps sums over all endpoints within range.
const maxSlots = 1_000_000

// decode validates the row with an index in the list.
func (row *instanceRow) decode(i int) (work.Instance, error) {
	incarnation, err := strconv.ParseUint(row.Incarnation, 16, 64)
	switch {
	case err != nil:
		return work.Instance{}, badRow(i, "incarnation")
	case row.ID == "":
		return work.Instance{}, badRow(i, "id")
	case row.Kind != work.KindEntry && row.Kind != work.KindEndpoint:
		return work.Instance{}, badRow(i, "kind")
	case row.State != stateLive && row.State != stateLeaving:
		return work.Instance{}, badRow(i, "state")
	case row.Slots < 0 || row.Slots > maxSlots:
		return work.Instance{}, badRow(i, "slots")
	case row.Connections < 0 || row.Connections > maxSlots:
		return work.Instance{}, badRow(i, "connections")
	}
	return work.Instance{
		ID: row.ID, Kind: row.Kind, DataCentre: row.DataCentre, Address: row.Address,
		Incarnation: ident.Incarnation(incarnation), Leaving: row.State == stateLeaving,
		Service: row.Service, Slots: row.Slots, Connections: row.Connections,
	}, nil
}

func badRow(i int, field string) error {
	return fault.New(fault.BadField, fault.RanNo).WithField("instances[" + strconv.Itoa(i) + "]." + field)
}
