package fault

import (
	"errors"
	"strings"
)

// List is an error that reports several errors together, such as all invalid
// fields of a file.
type List struct {
	Faults []*Error
}

// Error returns the texts of the errors, one per line.
func (l *List) Error() string {
	lines := make([]string, len(l.Faults))
	for i, f := range l.Faults {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the errors, so that KindOf returns the kind of the first.
func (l *List) Unwrap() []error {
	errs := make([]error, len(l.Faults))
	for i, f := range l.Faults {
		errs[i] = f
	}
	return errs
}

// Add appends err, or all its errors if it is a List itself. It does nothing
// if err is nil.
func (l *List) Add(err error) {
	if err == nil {
		return
	}
	var list *List
	if errors.As(err, &list) {
		l.Faults = append(l.Faults, list.Faults...)
		return
	}
	l.Faults = append(l.Faults, From(err))
}

// Err returns l, or nil if l is empty.
func (l *List) Err() error {
	if len(l.Faults) == 0 {
		return nil
	}
	return l
}
