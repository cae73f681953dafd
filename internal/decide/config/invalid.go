package config

import (
	"strings"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// Invalid lists every fault of a configuration. Each fault has kind
// fault.ConfigInvalid, ran no, and the path of the faulty key.
type Invalid struct {
	Faults []*fault.Error
}

// Error returns the faults, one per line.
func (e *Invalid) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults, so that fault.KindOf finds the kind.
func (e *Invalid) Unwrap() []error {
	errs := make([]error, len(e.Faults))
	for i, f := range e.Faults {
		errs[i] = f
	}
	return errs
}

// faults collects the faults of one configuration in the order in which they
// are found.
type faults struct {
	list []*fault.Error
}

func (f *faults) add(path, detail string) {
	f.list = append(f.list, invalid(path, detail))
}

// err returns nil when nothing was collected.
func (f *faults) err() error {
	if len(f.list) == 0 {
		return nil
	}
	return &Invalid{Faults: f.list}
}

func invalid(path, detail string) *fault.Error {
	return fault.New(fault.ConfigInvalid, fault.RanNo).WithField(path).WithDetail(detail)
}
