package config

import (
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// faults collects the faults of one configuration in the order in which the
// checks report them. A fault here is one error in the file.
type faults struct {
	list []*fault.Error
}

func (f *faults) add(path, detail string) {
	f.list = append(f.list, invalid(path, detail))
}

// err returns the collected faults as a *fault.List, or nil when there are
// none.
func (f *faults) err() error {
	if len(f.list) == 0 {
		return nil
	}
	return &fault.List{Faults: f.list}
}

func invalid(path, detail string) *fault.Error {
	return fault.New(fault.ConfigInvalid, fault.RanNo).WithField(path).WithDetail(detail)
}
