package logread_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/adapter/logread"
)

// logs holds lines of several instances as a log collector may store them, out
// of order and with text before them.
const logs = `  2.290 entry-1 {"instance":"entry-1","msg":"state of the owner","time":"2026-01-01T10:00:02.290Z","endpoints":48,"usable":40,"held":44,"cooling-down":3,"waiting":120,"running":71,"list-age":"364ms"}
not a line of an instance
{"instance":"entry-2","msg":"job answered","time":"2026-01-01T10:00:03.452Z","job":"a1","result":"finished","open":"771ms","target":"145ms","reason":"","ends":"a1.0.0.0/1 done i-1 waited 0s ran 46ms; a1.0.0.1/2 done i-2 waited 600ms ran 98ms"}
{"instance":"entry-2","msg":"job taken","time":"2026-01-01T10:00:02.681Z","job":"a1","owner":"entry-1","tasks":2,"deadline":"2s"}
{"instance":"entry-1","msg":"run of a task","time":"2026-01-01T10:00:02.899Z","task":"a1.0.0.1","run":1,"endpoint":"i-3","event":"vanished","age":"54ms","seen":"3ms","fence":216785356089152}
{"instance":"entry-2","msg":"job taken","time":"2026-01-01T10:00:02.700Z","job":"b2","owner":"entry-1","tasks":2,"deadline":"2s"}
{"instance":"entry-2","msg":"instance started","time":"2026-01-01T10:00:04.700Z"}
{"instance":"entry-3","msg":"instance started","time":"2026-01-01T10:00:02.800Z"}
{"instance":"entry-2","msg":"job taken","time":"2026-01-01T10:00:02.100Z","job":"c3","owner":"entry-1","tasks":2,"deadline":"500ms"}
{"instance":"entry-2","msg":"job answered","time":"2026-01-01T10:00:02.600Z","job":"c3","result":"refused","open":"500ms","target":"145ms","reason":"the owner refused a task","ends":"c3.0.0.0/0 refused  waited 500ms ran 0s"}
{"instance":"entry-2","msg":"job rejected","time":"2026-01-01T10:00:02.650Z","job":"d4","reason":"bad-field (steps): too many"}
{"instance":"entry-2","msg":"another instance owns the endpoints","time":"2026-01-01T10:00:05.000Z","owner":"entry-4"}
{"instance":"entry-2","msg":"job taken","time":"2026-01-01T10:00:08.000Z","job":"g7","owner":"entry-1","tasks":2,"deadline":"500ms"}
{"instance":"entry-2","msg":"another instance owns the endpoints","time":"2026-01-01T10:00:08.200Z","owner":"entry-4"}
{"instance":"entry-1","msg":"state of the owner","time":"2026-01-01T10:00:08.300Z","endpoints":48,"usable":7,"held":7,"list-age":"1s"}
{"instance":"entry-4","msg":"state of the owner","time":"2026-01-01T10:00:08.400Z","endpoints":48,"usable":41,"held":41,"list-age":"1s"}
{"instance":"entry-2","msg":"job answered","time":"2026-01-01T10:00:08.500Z","job":"g7","result":"overdue","open":"500ms","target":"145ms","reason":"the deadline passed","ends":""}
{"instance":"entry-2","msg":"job taken","time":"2026-01-01T10:00:07.000Z","job":"e5","owner":"entry-1","tasks":2,"deadline":"500ms"}
`

// TestConclusions guards against output that leaves out the cause of a late,
// refused or lost job although the logs contain it, or shows lines of other
// jobs.
func TestConclusions(t *testing.T) {
	tests := map[string]struct {
		id    string
		found bool
		want  []string
		not   []string
	}{
		"late": {"a1", true, []string{
			"finished late: 771ms, the target was 145ms", "a1.0.0.1/2 done i-2 waited 600ms ran 98ms",
			"run 1 of a1.0.0.1 on i-3: vanished, known to the owner for 54ms", "fence=216785356089152",
			"10:00:02.681 entry-2", "40 of 48 usable, 3 cooling down, 120 tasks waiting",
		}, []string{"entry-3", "b2"}},
		"lost with its home": {"b2", true, []string{
			"taken by entry-2 and not answered", "entry-2 restarted 2s later",
		}, []string{"a1"}},
		"refused": {"c3", true, []string{
			"refused after 500ms, the target was 145ms: the owner refused a task", "entry-1 owned the endpoints 310ms before the answer",
		}, nil},
		"rejected":       {"d4", true, []string{"refused before anything started: bad-field (steps): too many"}, nil},
		"no later start": {"e5", true, []string{"it has ended for good, the job is still running, or lines are missing"}, nil},
		"another owner": {"g7", true, []string{
			"overdue after 500ms", "no task of the job had ended", "entry-4 owned the endpoints 100ms before the answer: 41 of 48 usable",
		}, nil},
		"unknown":              {"f6", false, []string{"no line of 17 names f6"}, nil},
		"prefix of another id": {"a", false, []string{"no line of 17 names a"}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			history := logread.NewJobHistory(tt.id)
			is.NoErr(history.Read(strings.NewReader(logs)))
			is.Equal(history.Found(), tt.found)
			var out strings.Builder
			history.Write(&out)
			for _, text := range tt.want {
				if !strings.Contains(out.String(), text) {
					t.Errorf("%q is missing in:\n%s", text, out.String())
				}
			}
			for _, text := range tt.not {
				if strings.Contains(out.String(), text) {
					t.Errorf("%q is in:\n%s", text, out.String())
				}
			}
		})
	}
}

// TestDroppedLines guards against output that does not say that an instance
// dropped lines.
func TestDroppedLines(t *testing.T) {
	is := is.New(t)
	history := logread.NewJobHistory("a1")
	is.NoErr(history.Read(strings.NewReader(logs + `{"level":"warning","msg":"log lines were dropped","dropped":17}` + "\n")))
	var out strings.Builder
	history.Write(&out)
	is.True(strings.Contains(out.String(), "an instance dropped 17 lines"))
}

// FuzzLine guards against lines of other programs that cause a panic or empty
// output.
func FuzzLine(f *testing.F) {
	for line := range strings.SplitSeq(logs, "\n") {
		f.Add([]byte(line))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		history := logread.NewJobHistory("a1")
		if err := history.Read(strings.NewReader(string(data) + "\n" + logs)); err != nil {
			return
		}
		var out strings.Builder
		history.Write(&out)
		if out.Len() == 0 {
			t.Error("the output is empty")
		}
	})
}
