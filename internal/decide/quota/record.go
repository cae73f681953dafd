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

// lapseTicks is the number of ticks of one data centre after which the shares
// of another that did not write meanwhile are free. Ticks are at least
// RenewEvery apart, so five of them, the first of which may follow at once,
// take 40 s. That is StoreLease and 10 s more.
const lapseTicks = 5

// rotateTicks is the number of ticks of a data centre after which the odd
// units of a limit that does not divide evenly go to others.
const rotateTicks = 6

// Record is the value in the store that holds the shares of all limits.
//
// A share whose lease has lapsed becomes free by a rule on the record alone,
// which needs no common clock: each data centre counts its own writes that are
// at least RenewEvery apart by its own monotonic clock, and each write notes
// the counts of the others. Once another data centre has counted lapseTicks
// more, the lease is over. Wall clocks with a margin would be simpler, but a
// clock that is off by more than the margin would break the limit unnoticed.
type Record struct {
	// Hour is the latest hour that a data centre has asked for. Units of
	// limits per hour are given for this hour only.
	Hour        int64                       `json:"hour"`
	DataCentres map[ident.DataCentre]Holder `json:"data-centres"`
}

// Holder is the part of one data centre.
type Holder struct {
	// Granter and Incarnation name the process that wrote last.
	Granter     ident.InstanceID  `json:"granter"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// Attempt is the number that the process gave to its write, from which it
	// recognises a write whose reply was lost.
	Attempt uint64 `json:"attempt"`
	// Ticks counts the writes that were at least RenewEvery apart. It never
	// falls.
	Ticks uint64 `json:"ticks"`
	// Seen holds the ticks of the others at the last write.
	Seen map[ident.DataCentre]uint64 `json:"seen,omitempty"`
	// Shares are the leased units of limits on running tasks.
	Shares map[LimitName]Count `json:"shares,omitempty"`
	// Spend are the units of limits per hour that were given in Hour. They do
	// not lapse, since they may have been spent.
	Spend map[LimitName]Count `json:"spend,omitempty"`
	// Wants are the units that the data centre asked for.
	Wants map[LimitName]Count `json:"wants,omitempty"`
}

// ParseRecord reads the value of the store. No value is an empty Record. Its
// failure has kind fault.Internal; the shares then run out and floors remain.
func ParseRecord(value []byte) (Record, error) {
	var r Record
	if len(value) == 0 {
		return r, nil
	}
	unpacked, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return Record{}, fault.Wrap(err, fault.Internal, fault.RanNo)
	}
	if err := json.NewDecoder(io.LimitReader(unpacked, maxUnpacked)).Decode(&r); err != nil {
		return Record{}, fault.Wrap(err, fault.Internal, fault.RanNo)
	}
	return r, nil
}

// maxUnpacked bounds what a value of the store may unpack to.
const maxUnpacked = 16 << 20

// Value returns the form that ParseRecord reads: JSON, compressed, since each
// granter reads and writes the whole record every 10 s and names recur in it
// up to 21 times.
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

// Demand is what a granter asks the record for.
type Demand struct {
	Granter ident.Process
	// Attempt numbers the write.
	Attempt uint64
	// Tick is true when RenewEvery has passed since the granter saw its last
	// tick in the record.
	Tick   bool
	Limits []Limit
	// Want is the total wanted of each limit. Keep is the part that instances
	// may be using, which cannot be given back now.
	Want, Keep map[LimitName]Count
}

// Rebalance returns the record that a data centre proposes to write, and what
// it holds of each limit once the write has taken effect. The record passed in
// is not changed. Units beyond the fair share are given back, except those to
// be kept; others are taken as far as they are free. When another process was
// the granter before, its units are kept as well.
func Rebalance(r Record, dc ident.DataCentre, d Demand, now time.Time) (Record, map[LimitName]Count) {
	next := r.clone()
	if hour := HourOf(now); hour > next.Hour {
		next.Hour = hour
		for name, h := range next.DataCentres {
			h.Spend = nil
			next.DataCentres[name] = h
		}
	}
	own := next.DataCentres[dc]
	replaced := own.process() != d.Granter
	if d.Tick {
		own.Ticks++
	}
	next.DataCentres[dc] = own
	for name, h := range next.DataCentres {
		if (name != dc || replaced) && next.lapsed(name) {
			h.Shares, h.Wants = nil, nil
			next.DataCentres[name] = h
		}
	}
	own = next.DataCentres[dc]
	before := own
	own.Granter, own.Incarnation, own.Attempt = d.Granter.Instance, d.Granter.Incarnation, d.Attempt
	own.Wants = positive(d.Want)
	own.Shares = kept(before.Shares, d.Keep, replaced)
	own.Spend = kept(before.Spend, d.Keep, replaced)
	own.Seen = make(map[ident.DataCentre]uint64, len(next.DataCentres))
	for name, h := range next.DataCentres {
		if name != dc {
			own.Seen[name] = h.Ticks
		}
	}
	next.DataCentres[dc] = own
	for _, l := range d.Limits {
		switch {
		case !l.PerHour:
			next.raise(own.Shares, dc, l, Holder.shares)
		case HourOf(now) == next.Hour:
			next.raise(own.Spend, dc, l, Holder.spend)
		}
	}
	granted := maps.Clone(own.Shares)
	if HourOf(now) == next.Hour {
		maps.Copy(granted, own.Spend)
	}
	return next, granted
}

// raise sets the units of the data centre in held to its fair share, as far as
// that is free and no less than what it keeps.
func (r Record) raise(held map[LimitName]Count, dc ident.DataCentre, l Limit, of func(Holder) map[LimitName]Count) {
	free := l.pool()
	for name, h := range r.DataCentres {
		if name != dc {
			free -= of(h)[l.Name]
		}
	}
	fair := r.fairShare(dc, l, r.DataCentres[dc].Wants[l.Name])
	if units := max(held[l.Name], min(fair, free)); units > 0 {
		held[l.Name] = units
	}
}

// fairShare returns the part of the pool that is due to a data centre that
// wants so many units.
func (r Record) fairShare(dc ident.DataCentre, l Limit, want Count) Count {
	names := make([]ident.DataCentre, 0, len(r.DataCentres))
	ticks := uint64(0)
	for name, h := range r.DataCentres {
		names = append(names, name)
		ticks += h.Ticks
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	wants := make([]Count, len(names))
	own := 0
	for i, name := range names {
		wants[i] = r.DataCentres[name].Wants[l.Name]
		if name == dc {
			own, wants[i] = i, want
		}
	}
	offset := int(ticks / uint64(rotateTicks*len(names)) % uint64(len(names)))
	return fairShares(wants, l.pool(), offset)[own]
}

// lapsed reports whether the lease of a data centre is certainly over.
func (r Record) lapsed(dc ident.DataCentre) bool {
	seen := r.DataCentres[dc].Seen
	for name, h := range r.DataCentres {
		if name != dc && h.Ticks >= seen[name]+lapseTicks {
			return true
		}
	}
	return false
}

// clone returns a copy whose map of data centres can be changed. The maps
// inside a Holder are replaced as a whole.
func (r Record) clone() Record {
	c := Record{Hour: r.Hour, DataCentres: make(map[ident.DataCentre]Holder, len(r.DataCentres)+1)}
	maps.Copy(c.DataCentres, r.DataCentres)
	return c
}

func (h Holder) process() ident.Process {
	return ident.Process{Instance: h.Granter, Incarnation: h.Incarnation}
}

func (h Holder) shares() map[LimitName]Count { return h.Shares }

func (h Holder) spend() map[LimitName]Count { return h.Spend }

// kept returns the units held that must be kept: all of them, or no more than
// the counts of keep.
func kept(held, keep map[LimitName]Count, all bool) map[LimitName]Count {
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

// positive returns the counts above zero.
func positive(counts map[LimitName]Count) map[LimitName]Count {
	return kept(counts, nil, true)
}
