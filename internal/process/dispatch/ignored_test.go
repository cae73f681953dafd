package dispatch

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

// TestIgnoredEntryLoggedOnce guards against an invalid entry that nobody learns
// of, or that fills the log because its writer repeats it.
func TestIgnoredEntryLoggedOnce(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	log := logrus.New()
	log.SetOutput(&out)
	ignored := ignoredEntries{log: logrus.NewEntry(log)}
	lines := func() int { return strings.Count(out.String(), "entry in the store is ignored") }
	invalid := fault.New(fault.BadField, fault.RanNo).WithField("addr")
	for range 3 {
		ignored.report("e-1", invalid)
		ignored.report("e-2", nil)
	}
	is.Equal(lines(), 1)
	is.True(strings.Contains(out.String(), "e-1") && strings.Contains(out.String(), "addr"))
	ignored.report("e-1", invalid.WithField("state"))
	is.Equal(lines(), 2)
	ignored.report("e-1", nil)
	ignored.report("e-1", invalid)
	is.Equal(lines(), 3)
	for range 2 * maxIgnored {
		ignored.report(strings.Repeat("x", len(ignored.reasons)), invalid)
	}
	is.True(len(ignored.reasons) <= maxIgnored)
}
