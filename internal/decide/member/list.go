package member

import (
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// SetList takes in the platform's list and reports whether it is newer than
// the known one. A process that only the list names is suspect until it is
// heard. The list never removes or replaces a process whose heartbeats arrive.
// The view keeps the slice.
func (v *View) SetList(now time.Time, version uint64, list []work.Instance) ([]Change, bool) {
	if version <= v.listVersion {
		return nil, false
	}
	v.listVersion = version
	if slices.Equal(list, v.list) {
		return nil, true
	}
	v.list = list
	clear(v.rows)
	var changes []Change
	for _, row := range list {
		if row.Kind == work.KindEntry {
			v.rows[ident.InstanceID(row.ID)] = row
		}
	}
	for _, row := range list {
		if row.Kind == work.KindEntry {
			changes = append(changes, v.setRow(now, row)...)
		}
	}
	for _, e := range v.order {
		row, ok := v.rows[e.Process.Instance]
		e.Listed = ok && !row.Leaving
	}
	v.reassign()
	return changes, true
}

// List returns the newest list. The caller does not change it.
func (v *View) List() []work.Instance { return v.list }

// ListVersion returns the version of the newest list, zero before the first.
func (v *View) ListVersion() uint64 { return v.listVersion }

// setRow takes in one entry row. A row of this instance is not evidence that
// this process was replaced: a peer that hears both processes tells it so.
func (v *View) setRow(now time.Time, row work.Instance) []Change {
	id := ident.InstanceID(row.ID)
	if id == v.cfg.Self.Instance {
		return nil
	}
	e := v.members[id]
	if e == nil {
		if row.Leaving {
			return nil
		}
		return v.replaceByRow(now, row)
	}
	switch {
	case row.Incarnation > e.Process.Incarnation && e.State != Alive:
		return v.replaceByRow(now, row)
	case row.Incarnation == e.Process.Incarnation && e.State == Dead:
		// The list may know a newer address of a member that is to be found
		// again.
		v.place(e, "", row.Address)
	}
	return nil
}

// replaceByRow introduces the process of a row as suspect.
func (v *View) replaceByRow(now time.Time, row work.Instance) []Change {
	e, changes := v.introduce(now, ident.Process{Instance: ident.InstanceID(row.ID), Incarnation: row.Incarnation})
	v.place(e, row.DataCentre, row.Address)
	return append(changes, v.become(e, Suspect)...)
}
