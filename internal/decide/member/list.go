package member

import (
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/work"
)

// SetList stores the platform's list, whose rows are entry instances and
// endpoints, and reports whether it is newer than the stored one. A process
// known only from the list is suspect until it is heard. The list never removes
// or replaces a process whose heartbeats arrive. The view keeps the slice, so
// the caller must not modify it.
func (v *View) SetList(now time.Time, version uint64, list []work.Instance) ([]StateChange, bool) {
	if version <= v.listVersion {
		return nil, false
	}
	v.listVersion = version
	if slices.Equal(list, v.list) {
		return nil, true
	}
	v.list = list
	clear(v.entryRows)
	var changes []StateChange
	for _, row := range list {
		if row.Kind == work.KindEntry {
			v.entryRows[ident.InstanceID(row.ID)] = row
		}
	}
	for _, row := range list {
		if row.Kind == work.KindEntry {
			changes = append(changes, v.applyRow(now, row)...)
		}
	}
	for _, e := range v.sorted {
		row, ok := v.entryRows[e.Process.Instance]
		e.Listed = ok && !row.Leaving
	}
	v.invalidateOwners()
	return changes, true
}

// List returns the newest list. The caller must not modify it.
func (v *View) List() []work.Instance { return v.list }

// ListVersion returns the version of the newest list, or zero before the first
// one.
func (v *View) ListVersion() uint64 { return v.listVersion }

// applyRow updates the view from the list row of an entry instance. A row of
// this instance is ignored, even with a higher incarnation, since it does not
// prove that this process was replaced: a peer that gets heartbeats of both
// processes reports that in Heartbeat.ReplacedBy.
func (v *View) applyRow(now time.Time, row work.Instance) []StateChange {
	id := ident.InstanceID(row.ID)
	if id == v.cfg.Self.Instance {
		return nil
	}
	e := v.members[id]
	if e == nil {
		if row.Leaving {
			return nil
		}
		return v.addListed(now, row)
	}
	switch {
	case row.Incarnation > e.Process.Incarnation && e.State != Alive:
		return v.addListed(now, row)
	case row.Incarnation == e.Process.Incarnation && e.State == Dead:
		// The list may have a newer address, to which heartbeats are sent until
		// the member answers again.
		v.setLocation(e, "", row.Address)
	}
	return nil
}

// addListed adds the process of a row as suspect; it replaces a lower
// incarnation.
func (v *View) addListed(now time.Time, row work.Instance) []StateChange {
	e, changes := v.ensurePeer(now, ident.Process{Instance: ident.InstanceID(row.ID), Incarnation: row.Incarnation})
	v.setLocation(e, row.DataCentre, row.Address)
	return append(changes, v.setState(e, Suspect)...)
}
