package quota

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"maps"
	"sort"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// expiryTicks is the number of ticks of one data centre after which the lease
// of another that has not written since has expired. A tick is a write that
// came at least RenewInterval after the previous tick; see Record. The first
// tick may follow at once, so five of them take at least 40 s, which is 10 s
// more than StoreLease.
const expiryTicks = 5

// rotateTicks determines how often the remainder of a limit that does not
// divide evenly goes to other data centres: each time the data centres have
// counted rotateTicks more ticks on average.
const rotateTicks = 6

// Record is the value in the store that holds the shares of all limits.
//
// A share becomes free when its lease has expired. This is decided from the
// record alone, without a common clock: each data centre counts its own writes
// that are at least RenewInterval apart by its own monotonic clock, and each
// write records the counts of the others. Once another data centre has counted
// expiryTicks more, the lease has expired. Wall clocks with a margin would be
// simpler, but a clock that is off by more than the margin would break the
// limit unnoticed.
type Record struct {
	// Hour is the latest hour in which a data centre wrote the record. Units of
	// hourly limits are granted for this hour only.
	Hour        int64                                `json:"hour"`
	DataCentres map[ident.DataCentre]DataCentreState `json:"data-centres"`
}

// DataCentreState is the state of one data centre in a Record.
type DataCentreState struct {
	// Granter and Incarnation identify the process that wrote last.
	Granter     ident.InstanceID  `json:"granter"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// WriteNumber is the number that the process gave to its write. It lets the
	// process recognise a write whose reply was lost.
	WriteNumber uint64 `json:"attempt"`
	// Ticks counts the writes that were at least RenewInterval apart. It never
	// decreases.
	Ticks uint64 `json:"ticks"`
	// SeenTicks holds the ticks of the other data centres at the last write.
	SeenTicks map[ident.DataCentre]uint64 `json:"seen,omitempty"`
	// Shares are the leased units of limits on running tasks.
	Shares map[LimitName]Count `json:"shares,omitempty"`
	// HourlyUnits are the units of hourly limits that were granted in Hour.
	// They do not expire with the lease, since they may have been spent.
	HourlyUnits map[LimitName]Count `json:"spend,omitempty"`
	// Wants are the units that the data centre requested.
	Wants map[LimitName]Count `json:"wants,omitempty"`
}

// ParseRecord decodes a value of the store. An empty value gives an empty
// Record. Errors have kind fault.Internal. While the stored value cannot be
// read, no granter can renew its shares: they expire and only the floors
// remain.
func ParseRecord(value []byte) (Record, error) {
	var r Record
	if len(value) == 0 {
		return r, nil
	}
	uncompressed, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return Record{}, fault.Wrap(err, fault.Internal, fault.RanNo)
	}
	if err := json.NewDecoder(io.LimitReader(uncompressed, maxUncompressed)).Decode(&r); err != nil {
		return Record{}, fault.Wrap(err, fault.Internal, fault.RanNo)
	}
	for _, s := range r.DataCentres {
		clampCounts(s.Shares)
		clampCounts(s.HourlyUnits)
		clampCounts(s.Wants)
	}
	return r, nil
}

// clampCounts limits each count to the range from 0 to maxUnits, so that those of
// all data centres can be added, and subtracted from a limit.
func clampCounts(counts map[LimitName]Count) {
	for name, n := range counts {
		counts[name] = min(max(n, 0), maxUnits)
	}
}

// maxUncompressed is the largest uncompressed size of a stored value, in bytes.
const maxUncompressed = 16 << 20

// Value returns the encoding that ParseRecord reads: JSON compressed with gzip.
// It is compressed because each granter reads and writes the whole record every
// 10 s, and the name of a limit occurs in it twice for each data centre, as a
// key of Wants and of Shares or HourlyUnits.
func (r Record) Value() ([]byte, error) {
	var value bytes.Buffer
	w := gzip.NewWriter(&value)
	err := json.NewEncoder(w).Encode(r)
	if closeErr := w.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, fault.RanNo)
	}
	return value.Bytes(), nil
}

// RebalanceRequest holds the arguments of Rebalance: what a granter wants and
// must keep.
type RebalanceRequest struct {
	Granter ident.Process
	// WriteNumber is the number of the write.
	WriteNumber uint64
	// Tick is true when RenewInterval has passed since the granter saw its last
	// tick in the record.
	Tick   bool
	Limits []Limit
	// Want is the total wanted of each limit. Keep is the part that instances
	// may be using, which cannot be returned now.
	Want, Keep map[LimitName]Count
}

// Rebalance returns the record that a data centre proposes to write, and the
// units of each limit that the data centre holds once the write has taken
// effect. The record passed in is not changed. Units beyond the fair share are
// returned, except those in Keep. Missing units are taken as far as they are
// free. When another process was the granter before, all units that it held are
// kept as well.
func Rebalance(r Record, dc ident.DataCentre, req RebalanceRequest, now time.Time) (Record, map[LimitName]Count) {
	next := r.clone()
	if hour := HourOf(now); hour > next.Hour {
		next.Hour = hour
		for name, s := range next.DataCentres {
			s.HourlyUnits = nil
			next.DataCentres[name] = s
		}
	}
	own := next.DataCentres[dc]
	granterChanged := own.process() != req.Granter
	if req.Tick {
		own.Ticks++
	}
	next.DataCentres[dc] = own
	for name, s := range next.DataCentres {
		if (name != dc || granterChanged) && next.leaseExpired(name) {
			s.Shares, s.Wants = nil, nil
			next.DataCentres[name] = s
		}
	}
	own = next.DataCentres[dc]
	before := own
	own.Granter, own.Incarnation, own.WriteNumber = req.Granter.Instance, req.Granter.Incarnation, req.WriteNumber
	own.Wants = positiveCounts(req.Want)
	own.Shares = keepUnits(before.Shares, req.Keep, granterChanged)
	own.HourlyUnits = keepUnits(before.HourlyUnits, req.Keep, granterChanged)
	own.SeenTicks = make(map[ident.DataCentre]uint64, len(next.DataCentres))
	for name, s := range next.DataCentres {
		if name != dc {
			own.SeenTicks[name] = s.Ticks
		}
	}
	next.DataCentres[dc] = own
	for _, l := range req.Limits {
		switch {
		case !l.PerHour:
			next.raiseToFairShare(own.Shares, dc, l, DataCentreState.shares)
		case HourOf(now) == next.Hour:
			next.raiseToFairShare(own.HourlyUnits, dc, l, DataCentreState.hourlyUnits)
		}
	}
	granted := maps.Clone(own.Shares)
	if HourOf(now) == next.Hour {
		maps.Copy(granted, own.HourlyUnits)
	}
	return next, granted
}

// raiseToFairShare raises the units of the data centre in held to its fair
// share, as far as units are free. It never lowers them.
func (r Record) raiseToFairShare(held map[LimitName]Count, dc ident.DataCentre, l Limit, unitsOf func(DataCentreState) map[LimitName]Count) {
	free := l.pool()
	for name, s := range r.DataCentres {
		if name != dc {
			free -= unitsOf(s)[l.Name]
		}
	}
	fair := r.dataCentreShare(dc, l, r.DataCentres[dc].Wants[l.Name])
	if units := max(held[l.Name], min(fair, free)); units > 0 {
		held[l.Name] = units
	}
}

// dataCentreShare returns the units of the pool that a data centre is entitled
// to if it wants the given number.
func (r Record) dataCentreShare(dc ident.DataCentre, l Limit, want Count) Count {
	names := make([]ident.DataCentre, 0, len(r.DataCentres))
	ticks := uint64(0)
	for name, s := range r.DataCentres {
		names = append(names, name)
		ticks += s.Ticks
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	wants := make([]Count, len(names))
	ownIndex := 0
	for i, name := range names {
		wants[i] = r.DataCentres[name].Wants[l.Name]
		if name == dc {
			ownIndex, wants[i] = i, want
		}
	}
	offset := int(ticks / uint64(rotateTicks*len(names)) % uint64(len(names)))
	return fairShares(wants, l.pool(), offset)[ownIndex]
}

// leaseExpired reports whether the lease of a data centre has certainly
// expired.
func (r Record) leaseExpired(dc ident.DataCentre) bool {
	seen := r.DataCentres[dc].SeenTicks
	for name, s := range r.DataCentres {
		if name != dc && s.Ticks >= seen[name]+expiryTicks {
			return true
		}
	}
	return false
}

// clone returns a copy whose map of data centres can be changed. The maps
// inside a DataCentreState are shared with r: they are replaced as a whole, not
// changed in place.
func (r Record) clone() Record {
	c := Record{Hour: r.Hour, DataCentres: make(map[ident.DataCentre]DataCentreState, len(r.DataCentres)+1)}
	maps.Copy(c.DataCentres, r.DataCentres)
	return c
}

func (s DataCentreState) process() ident.Process {
	return ident.Process{Instance: s.Granter, Incarnation: s.Incarnation}
}

func (s DataCentreState) shares() map[LimitName]Count { return s.Shares }

func (s DataCentreState) hourlyUnits() map[LimitName]Count { return s.HourlyUnits }

// keepUnits returns the counts above zero in held: as they are if all is true,
// otherwise capped at those in keep.
func keepUnits(held, keep map[LimitName]Count, all bool) map[LimitName]Count {
	units := make(map[LimitName]Count, len(held))
	for name, n := range held {
		if !all {
			n = min(n, keep[name])
		}
		if n > 0 {
			units[name] = n
		}
	}
	return units
}

// positiveCounts returns the counts above zero.
func positiveCounts(counts map[LimitName]Count) map[LimitName]Count {
	return keepUnits(counts, nil, true)
}
