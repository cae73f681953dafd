package config_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/decide/config"
	"hornbeamlift.example/hornbeamlift/internal/schema/configpb"
)

const examplePath = "../../../cmd/hornbeamlift/example.yaml"

func example(t testing.TB) *configpb.File {
	t.Helper()
	data, err := os.ReadFile(examplePath)
	if err != nil {
		t.Fatal(err)
	}
	file, err := config.Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// TestExampleFile guards against an example file that the parser rejects, or
// keys of that file that the parser ignores.
func TestExampleFile(t *testing.T) {
	is := is.New(t)
	file := example(t)
	is.Equal(len(file.GetServices()), 2)
	press := file.GetServices()[1]
	is.Equal(press.GetName(), "sheet-press")
	is.Equal(press.GetCostPerSlotSecondMicros(), uint64(340))
	is.Equal(press.GetObjective().GetResponseTime(), "10s")
	is.Equal(press.GetFloorShare(), 0.25)
	is.Equal(file.GetTeams()[0].GetMaxCostPerHourMicros(), uint64(90000000))
}

// validFile has one service and one team; each test case below makes one key
// invalid.
const validFile = `
services:
- name: press
  data-centres: [a, b]
  max-running: 10
  expected-run-time: 2s
  objective: {response-time: 3s, share: 0.9}
  response-weight: 0.5
  floor-share: 0.5
teams:
- name: shop
  services: [press]
  max-running: 10
`

// TestParseRejectsFaultyKey guards against a faulty key that is accepted, or
// that is reported with a wrong path.
func TestParseRejectsFaultyKey(t *testing.T) {
	cases := map[string]struct{ old, new, path string }{
		"unknown key at the top":   {"teams:", "squads: []\nteams:", "squads"},
		"unknown key in a service": {"max-running: 10\n  exp", "max-runing: 10\n  exp", "services[0].max-runing"},
		"unknown nested key":       {"share: 0.9}", "share: 0.9, burn: 1}", "services[0].objective.burn"},
		"proto name of a key":      {"floor-share:", "floor_share:", "services[0].floor_share"},
		"duplicate key":            {"max-running: 10\n  exp", "max-running: 1\n  max-running: 2\n  exp", ""},
		"second document":          {"teams:", "---\nteams:", ""},
		"not YAML":                 {"teams:", "teams: [", ""},
		"number for text":          {"name: press", "name: 5", "services[0].name"},
		"text for a number":        {"max-running: 10\n  exp", "max-running: '10'\n  exp", "services[0].max-running"},
		"negative number":          {"max-running: 10\n  exp", "max-running: -1\n  exp", "services[0].max-running"},
		"fraction for a count":     {"max-running: 10\n  exp", "max-running: 1.5\n  exp", "services[0].max-running"},
		"number out of range":      {"max-running: 10\n  exp", "max-running: 4294967296\n  exp", "services[0].max-running"},
		"empty value":              {"max-running: 10\n  exp", "max-running:\n  exp", "services[0].max-running"},
		"text for a list":          {"services: [press]", "services: press", "teams[0].services"},
		"number in a list":         {"[a, b]", "[a, 1]", "services[0].data-centres[1]"},
		"list for a mapping":       {"{response-time: 3s, share: 0.9}", "[]", "services[0].objective"},
		"text for a share":         {"floor-share: 0.5", "floor-share: half", "services[0].floor-share"},
		"duration without unit":    {"expected-run-time: 2s", "expected-run-time: '2'", "services[0].expected-run-time"},
		"unknown unit":             {"response-time: 3s", "response-time: 3secs", "services[0].objective.response-time"},
		"duration of zero":         {"expected-run-time: 2s", "expected-run-time: 0s", "services[0].expected-run-time"},
		"objective without time":   {"response-time: 3s, ", "", "services[0].objective.response-time"},
		"share of one":             {"share: 0.9", "share: 1", "services[0].objective.share"},
		"share of zero":            {"share: 0.9", "share: 0", "services[0].objective.share"},
		"weight above one":         {"response-weight: 0.5", "response-weight: 1.1", "services[0].response-weight"},
		"weight below zero":        {"response-weight: 0.5", "response-weight: -0.1", "services[0].response-weight"},
		"floor share above one":    {"floor-share: 0.5", "floor-share: 1.5", "services[0].floor-share"},
		"too few tasks for floors": {"floor-share: 0.5", "floor-share: 0.1", "services[0].floor-share"},
		"bad name":                 {"name: press", "name: Press", "services[0].name"},
		"service twice":            {"teams:", "- name: press\nteams:", "services[1].name"},
		"team twice":               {"- name: shop", "- name: shop\n- name: shop", "teams[1].name"},
		"data centre twice":        {"[a, b]", "[a, a]", "services[0].data-centres[1]"},
		"unknown service in team":  {"services: [press]", "services: [pres]", "teams[0].services[0]"},
		"team above its services":  {"max-running: 10\n", "max-running: 11\n", "teams[0].max-running"},
		"cost out of range":        {"floor-share: 0.5", "cost-per-slot-second-micros: 10000000001", "services[0].cost-per-slot-second-micros"},
		"cost limit out of range":  {"services: [press]", "services: [press]\n  max-cost-per-hour-micros: 9223372036854775808", "teams[0].max-cost-per-hour-micros"},
	}
	_, err := config.Parse([]byte(validFile))
	is.New(t).NoErr(err)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(validFile, c.old, c.new, 1)
			if name == "team above its services" {
				text = validFile[:len(validFile)-len(c.old)] + c.new
			}
			is.True(text != validFile) // the case changes the file
			_, err := config.Parse([]byte(text))
			var invalid *fault.List
			is.True(errors.As(err, &invalid))
			is.Equal(invalid.Faults[0].Field, c.path)
			is.Equal(invalid.Faults[0].Ran, fault.RanNo)
			is.Equal(fault.KindOf(err), fault.ConfigInvalid)
		})
	}
}

// TestParseRejectsEmptyFile guards against an empty file that is accepted,
// since applying it would remove all services. The last case is a file above
// the size limit.
func TestParseRejectsEmptyFile(t *testing.T) {
	for _, text := range []string{"", "# nothing", "{}", "services: []", strings.Repeat("#", 1<<20)} {
		_, err := config.Parse([]byte(text))
		is.New(t).Equal(fault.KindOf(err), fault.ConfigInvalid)
	}
}

// TestParseReportsAllFaults guards against an error with only the first fault
// of several.
func TestParseReportsAllFaults(t *testing.T) {
	is := is.New(t)
	_, err := config.Parse([]byte("services: [{name: A, response-weight: 2}, {name: b, expected-run-time: 1}]\nteam: 1"))
	var invalid *fault.List
	is.True(errors.As(err, &invalid))
	is.Equal(len(invalid.Faults), 2) // wrong keys and types
	_, err = config.Parse([]byte("services: [{name: A, response-weight: 2}, {name: b, expected-run-time: x}]"))
	is.True(errors.As(err, &invalid))
	is.Equal(len(invalid.Faults), 3) // wrong values
	is.Equal(len(strings.Split(err.Error(), "\n")), 3)
}

// TestTeamLimitAgainstServices guards against a check of the team limit that
// counts a service without a limit as zero, or that does not add up all
// services when the team lists none.
func TestTeamLimitAgainstServices(t *testing.T) {
	cases := map[string]struct {
		text string
		ok   bool
	}{
		"reaches the sum":             {"services: [{name: a, max-running: 2}, {name: b, max-running: 3}]\nteams: [{name: t, max-running: 5}]", true},
		"exceeds the sum":             {"services: [{name: a, max-running: 2}, {name: b, max-running: 3}]\nteams: [{name: t, max-running: 6}]", false},
		"exceeds the listed services": {"services: [{name: a, max-running: 2}, {name: b}]\nteams: [{name: t, services: [a], max-running: 3}]", false},
		"one has no limit":            {"services: [{name: a, max-running: 2}, {name: b}]\nteams: [{name: t, max-running: 99}]", true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := config.Parse([]byte(c.text))
			is.New(t).Equal(err == nil, c.ok)
		})
	}
}

// FuzzParse guards against panics, and against files that Parse accepts but
// that cannot be stored and read back unchanged.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validFile))
	f.Add([]byte("services: [{name: a, floor-share: .5}]\n"))
	f.Add([]byte("services: &x [{name: a}]\nteams: *x"))
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := config.Parse(data)
		if err != nil {
			if fault.KindOf(err) != fault.ConfigInvalid {
				t.Fatalf("kind %v: %v", fault.KindOf(err), err)
			}
			return
		}
		value, err := config.Marshal(config.Next(nil, file, "id", "op", appliedAt))
		if err != nil {
			t.Fatal(err)
		}
		rev, err := config.Unmarshal(value)
		if err != nil || !proto.Equal(rev.GetFile(), file) {
			t.Fatalf("read back as %v: %v", rev, err)
		}
		var h config.Holder
		if changed, err := h.Update(rev); !changed || err != nil {
			t.Fatalf("accepted by Parse, rejected by Update: %v", err)
		}
	})
}
