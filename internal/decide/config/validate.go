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

// Validate checks names, ranges, references, floor shares and that no team
// limit exceeds the sum of its services' limits, and rejects unknown fields.
// Its error is a *fault.List of all errors found, each of kind
// fault.ConfigInvalid, with fault.RanNo and the path of the wrong key.
func Validate(file *configpb.File) error {
	var found faults
	if hasUnknownFields(file.ProtoReflect()) {
		found.add("", "contains fields that this version does not know")
	}
	if len(file.GetServices()) == 0 {
		found.add("services", "must name at least one service, since no task could run otherwise")
	}
	services := make(map[string]*configpb.Service, len(file.GetServices()))
	for i, s := range file.GetServices() {
		path := indexPath("services", i)
		checkName(&found, path, s.GetName(), services[s.GetName()] != nil)
		services[s.GetName()] = s
		validateService(&found, path, s)
	}
	teams := make(map[string]bool, len(file.GetTeams()))
	for i, t := range file.GetTeams() {
		path := indexPath("teams", i)
		checkName(&found, path, t.GetName(), teams[t.GetName()])
		teams[t.GetName()] = true
		validateTeam(&found, path, t, services)
	}
	return found.err()
}

func validateService(found *faults, path string, s *configpb.Service) {
	checkNames(found, joinPath(path, "data-centres"), s.GetDataCentres())
	if s.GetExpectedRunTime() != "" {
		checkDuration(found, joinPath(path, "expected-run-time"), s.GetExpectedRunTime())
	}
	if o := s.GetObjective(); o != nil {
		objective := joinPath(path, "objective")
		checkDuration(found, joinPath(objective, "response-time"), o.GetResponseTime())
		if share := o.GetShare(); !(share > 0 && share < 1) {
			found.add(joinPath(objective, "share"), "must be above 0 and below 1")
		}
	}
	checkFraction(found, joinPath(path, "response-weight"), s.GetResponseWeight())
	checkMicros(found, joinPath(path, "cost-per-slot-second-micros"), s.GetCostPerSlotSecondMicros(), maxCostPerSlotSecond)
	checkFloors(found, path, s.FloorShare, s.GetMaxRunning(), len(s.GetDataCentres()))
}

func validateTeam(found *faults, path string, t *configpb.Team, services map[string]*configpb.Service) {
	checkNames(found, joinPath(path, "services"), t.GetServices())
	allKnown := true
	for i, name := range t.GetServices() {
		if services[name] == nil {
			found.add(indexPath(joinPath(path, "services"), i), "is not a service of this file")
			allKnown = false
		}
	}
	// A team lists no data centres, so only the range of the share is checked.
	checkFloors(found, path, t.FloorShare, t.GetMaxRunning(), 0)
	checkMicros(found, joinPath(path, "max-cost-per-hour-micros"), t.GetMaxCostPerHourMicros(), maxCostPerHour)
	if allKnown {
		checkTeamLimit(found, joinPath(path, "max-running"), t, services)
	}
}

// The largest costs, in micros. They keep the estimated cost of all waiting tasks,
// and the sum of what the data centres hold of a limit, within 64 bits.
const (
	maxCostPerSlotSecond = 10_000_000_000
	maxCostPerHour       = 1 << 50
)

func checkMicros(found *faults, path string, value, highest uint64) {
	if value > highest {
		found.add(path, "must be at most "+strconv.FormatUint(highest, 10))
	}
}

// checkTeamLimit rejects a team limit above the sum of the limits of the team's
// services: the team can never reach it, so the operator would count on
// capacity that the same file does not allow. There is no sum when one of the
// services has no limit.
func checkTeamLimit(found *faults, path string, t *configpb.Team, services map[string]*configpb.Service) {
	var sum uint64
	// addLimit adds the limit of a service and reports whether it has one.
	addLimit := func(s *configpb.Service) bool {
		sum += uint64(s.GetMaxRunning())
		return s.GetMaxRunning() > 0
	}
	for _, name := range t.GetServices() {
		if !addLimit(services[name]) {
			return
		}
	}
	if len(t.GetServices()) == 0 {
		for _, s := range services {
			if !addLimit(s) {
				return
			}
		}
	}
	if uint64(t.GetMaxRunning()) > sum {
		found.add(path, "is "+strconv.FormatUint(uint64(t.GetMaxRunning()), 10)+
			", above the total of "+strconv.FormatUint(sum, 10)+" that the team's services may run")
	}
}

// roundingTolerance is added before a number of tasks is rounded down. Without
// it, 0.29 of 100, which is slightly below 29 in binary, would lose a task.
const roundingTolerance = 1e-9

// checkFloors checks a floor share that the file sets. Floors (see
// Service.FloorShare) are whole tasks, so the share of the limit must allow one
// task for each data centre; otherwise some data centre would get no floor, or
// the floors together would exceed the share.
func checkFloors(found *faults, path string, share *float64, limit uint32, dataCentres int) {
	if share == nil {
		return
	}
	path = joinPath(path, "floor-share")
	if !checkFraction(found, path, *share) {
		return
	}
	floors := int(math.Floor(*share*float64(limit) + roundingTolerance))
	if *share > 0 && limit > 0 && floors < dataCentres {
		found.add(path, "leaves "+strconv.Itoa(floors)+" of "+strconv.FormatUint(uint64(limit), 10)+
			" tasks for floors, fewer than one for each of "+strconv.Itoa(dataCentres)+" data centres")
	}
}

func checkName(found *faults, path, name string, duplicate bool) {
	path = joinPath(path, "name")
	switch {
	case !ident.ValidName(name):
		found.add(path, invalidName(name))
	case duplicate:
		found.add(path, strconv.Quote(name)+" is used twice")
	}
}

func checkNames(found *faults, path string, names []string) {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		switch {
		case !ident.ValidName(name):
			found.add(indexPath(path, i), invalidName(name))
		case seen[name]:
			found.add(indexPath(path, i), strconv.Quote(name)+" is listed twice")
		}
		seen[name] = true
	}
}

// invalidName returns the detail of a fault in a name.
func invalidName(name string) string {
	return strconv.Quote(name) + " is not a name of 1 to 64 characters from a-z, 0-9 and inner hyphens"
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

// checkFraction reports whether a value is from 0 to 1, and adds a fault if it
// is not. It also rejects NaN, which a peer could send.
func checkFraction(found *faults, path string, value float64) bool {
	if value >= 0 && value <= 1 {
		return true
	}
	found.add(path, "must be from 0 to 1")
	return false
}

// hasUnknownFields reports whether a message received over the wire contains
// fields of a newer schema. They may set a limit, which this version must not
// ignore.
func hasUnknownFields(m protoreflect.Message) bool {
	unknown := len(m.GetUnknown()) > 0
	m.Range(func(fd protoreflect.FieldDescriptor, v protoreflect.Value) bool {
		switch {
		case fd.IsList() && fd.Message() != nil:
			for i := range v.List().Len() {
				unknown = unknown || hasUnknownFields(v.List().Get(i).Message())
			}
		case fd.Message() != nil:
			unknown = unknown || hasUnknownFields(v.Message())
		}
		return !unknown
	})
	return unknown
}

// Summary returns a short description of a valid file for operators: a line
// with the counts and a line for each service and team.
func Summary(file *configpb.File) string {
	var b strings.Builder
	line := func(words ...string) { b.WriteString(strings.Join(words, " ") + "\n") }
	line(strconv.Itoa(len(file.GetServices())), "services,", strconv.Itoa(len(file.GetTeams())), "teams")
	for _, s := range file.GetServices() {
		line("service", s.GetName()+":", "max-running", formatLimit(uint64(s.GetMaxRunning()))+",", "in", formatNames(s.GetDataCentres(), "all data centres"))
	}
	for _, t := range file.GetTeams() {
		line("team", t.GetName()+":", "max-running", formatLimit(uint64(t.GetMaxRunning()))+",", "uses", formatNames(t.GetServices(), "all services"))
	}
	return b.String()
}

func formatLimit(n uint64) string {
	if n == 0 {
		return "unlimited"
	}
	return strconv.FormatUint(n, 10)
}

// formatNames joins the names, or returns all when there are none.
func formatNames(names []string, all string) string {
	if len(names) == 0 {
		return all
	}
	return strings.Join(names, ", ")
}
