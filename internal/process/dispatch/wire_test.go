package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/dispatcher"
)

// TestCrashReportSurvivesWire guards against a count of crashes that the next
// owner does not get whole.
func TestCrashReportSurvivesWire(t *testing.T) {
	is := is.New(t)
	report := dispatcher.CrashReport{{Key: job.Key{Job: "j", Step: 1, Index: 2}, Crashes: 1, Outages: 2, Suspect: true, GivenUp: true}}
	decoded, ok := decode(encode(report))
	is.True(ok)
	is.Equal(decoded, any(report))
}
