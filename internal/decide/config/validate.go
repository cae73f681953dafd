package config

import (
	"math"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/reflect/protoreflect"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/schema/configpb"
)

// Validate checks names, ranges, references and sums. Its failure is a
// *fault.List with every fault found, of kind fault.ConfigInvalid, ran no, and
// with the path of the faulty key.
func Validate(file *configpb.File) error {
	var found faults
	if hasUnknown(file.ProtoReflect()) {
		found.add("", "holds fields that this version does not know")
	}
	if len(file.GetServices()) == 0 {
		found.add("services", "names no service, so no work could run")
	}
	services := make(map[string]*configpb.Service, len(file.GetServices()))
	for i, s := range file.GetServices() {
		path := index("services", i)
		checkName(&found, path, s.GetName(), services[s.GetName()] != nil)
		services[s.GetName()] = s
		validateService(&found, path, s)
	}
	teams := make(map[string]bool, len(file.GetTeams()))
	for i, t := range file.GetTeams() {
		path := index("teams", i)
		checkName(&found, path, t.GetName(), teams[t.GetName()])
		teams[t.GetName()] = true
		validateTeam(&found, path, t, services)
	}
	return found.err()
}

func validateService(found *faults, path string, s *configpb.Service) {
	checkNames(found, join(path, "data-centres"), s.GetDataCentres())
	if s.GetExpectedRunTime() != "" {
		checkDuration(found, join(path, "expected-run-time"), s.GetExpectedRunTime())
	}
	if o := s.GetObjective(); o != nil {
		objective := join(path, "objective")
		checkDuration(found, join(objective, "response-time"), o.GetResponseTime())
		if share := o.GetShare(); !(share > 0 && share < 1) {
			found.add(join(objective, "share"), "must be above 0 and below 1")
		}
	}
	checkFraction(found, join(path, "response-weight"), s.GetResponseWeight())
	checkFloors(found, path, s.FloorShare, s.GetMaxRunning(), len(s.GetDataCentres()))
}

func validateTeam(found *faults, path string, t *configpb.Team, services map[string]*configpb.Service) {
	checkNames(found, join(path, "services"), t.GetServices())
	known := true
	for i, name := range t.GetServices() {
		if services[name] == nil {
			found.add(index(join(path, "services"), i), "names no service of this file")
			known = false
		}
	}
	checkFloors(found, path, t.FloorShare, t.GetMaxRunning(), 0)
	if known {
		checkTeamSum(found, join(path, "max-running"), t, services)
	}
}

// checkTeamSum refuses a team limit that the team's services can never reach,
// since the operator then counts on capacity that the same file denies.
func checkTeamSum(found *faults, path string, t *configpb.Team, services map[string]*configpb.Service) {
	var sum uint64
	add := func(s *configpb.Service) bool {
		sum += uint64(s.GetMaxRunning())
		return s.GetMaxRunning() > 0
	}
	for _, name := range t.GetServices() {
		if !add(services[name]) {
			return
		}
	}
	if len(t.GetServices()) == 0 {
		for _, s := range services {
			if !add(s) {
				return
			}
		}
	}
	if uint64(t.GetMaxRunning()) > sum {
		found.add(path, "is "+strconv.FormatUint(uint64(t.GetMaxRunning()), 10)+
			", above the "+strconv.FormatUint(sum, 10)+" that the team's services may run together")
	}
}

// roundingSlack keeps a share such as 0.29 of 100, which is slightly below 29
// in binary, from losing a task.
const roundingSlack = 1e-9

// checkFloors checks a floor share. Floors are whole tasks, so a written share
// whose part of the limit is smaller than the number of data centres cannot
// give each of them a floor, or the floors together exceed that part.
func checkFloors(found *faults, path string, share *float64, limit uint32, dataCentres int) {
	if share == nil {
		return
	}
	path = join(path, "floor-share")
	if !checkFraction(found, path, *share) {
		return
	}
	floors := int(math.Floor(*share*float64(limit) + roundingSlack))
	if *share > 0 && limit > 0 && floors < dataCentres {
		found.add(path, "leaves "+strconv.Itoa(floors)+" of "+strconv.FormatUint(uint64(limit), 10)+
			" tasks for floors, which does not give one to each of "+strconv.Itoa(dataCentres)+" data centres")
	}
}

func checkName(found *faults, path, name string, taken bool) {
	path = join(path, "name")
	switch {
	case !ident.ValidName(name):
		found.add(path, nameRule(name))
	case taken:
		found.add(path, strconv.Quote(name)+" is used twice")
	}
}

func checkNames(found *faults, path string, names []string) {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		switch {
		case !ident.ValidName(name):
			found.add(index(path, i), nameRule(name))
		case seen[name]:
			found.add(index(path, i), strconv.Quote(name)+" is listed twice")
		}
		seen[name] = true
	}
}

func nameRule(name string) string {
	return strconv.Quote(name) + " is not a name of 1 to 64 characters out of a-z, 0-9 and inner hyphens"
}

func checkDuration(found *faults, path, value string) {
	d, err := time.ParseDuration(value)
	switch {
	case err != nil:
		found.add(path, strconv.Quote(value)+` is not a duration with a unit, such as "200ms" or "1.5s"`)
	case d <= 0:
		found.add(path, "must be above 0")
	}
}

// checkFraction also refuses NaN, which a peer could send.
func checkFraction(found *faults, path string, value float64) bool {
	if value >= 0 && value <= 1 {
		return true
	}
	found.add(path, "must be from 0 to 1")
	return false
}

// hasUnknown reports whether a message that came over the wire holds fields of
// a newer schema. A limit that is not understood must not be ignored.
func hasUnknown(m protoreflect.Message) bool {
	unknown := len(m.GetUnknown()) > 0
	m.Range(func(fd protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case fd.IsList() && fd.Message() != nil:
			for i := range v.List().Len() {
				unknown = unknown || hasUnknown(v.List().Get(i).Message())
			}
		case fd.Message() != nil:
			unknown = unknown || hasUnknown(v.Message())
		}
		return !unknown
	})
	return unknown
}

// Summary describes a valid file in a few lines for a person.
func Summary(file *configpb.File) string {
	var b strings.Builder
	line := func(words ...string) { b.WriteString(strings.Join(words, " ") + "\n") }
	line(strconv.Itoa(len(file.GetServices())), "services,", strconv.Itoa(len(file.GetTeams())), "teams")
	for _, s := range file.GetServices() {
		line("service", s.GetName()+":", "max-running", limit(uint64(s.GetMaxRunning()))+",", "in", list(s.GetDataCentres(), "all data centres"))
	}
	for _, t := range file.GetTeams() {
		line("team", t.GetName()+":", "max-running", limit(uint64(t.GetMaxRunning()))+",", "uses", list(t.GetServices(), "all services"))
	}
	return b.String()
}

func limit(n uint64) string {
	if n == 0 {
		return "unlimited"
	}
	return strconv.FormatUint(n, 10)
}

func list(names []string, all string) string {
	if len(names) == 0 {
		return all
	}
	return strings.Join(names, ", ")
}
