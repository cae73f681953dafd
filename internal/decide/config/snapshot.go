package config

import (
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/schema/configpb"
)

// Defaults of keys that the file does not set.
const (
	defaultMaxQueued       = 10000
	defaultExpectedRunTime = 200 * time.Millisecond
	defaultFloorShare      = 0.5
	defaultWeight          = 1
)

// Service is the configuration of one service, with defaults applied.
type Service struct {
	Name ident.Service
	// DataCentres lists the data centres where the service may run; empty means
	// all. It must not be modified.
	DataCentres []ident.DataCentre
	Idempotent  bool
	// MaxRunning is zero when there is no limit.
	MaxRunning int
	MaxQueued  int
	// CostPerSlotSecond is the cost of one slot for one second.
	CostPerSlotSecond ident.Micros
	ExpectedRunTime   time.Duration
	// Objective is the zero value when the file does not set one.
	Objective Objective
	// ResponseWeight weighs a short response time against the extra messages
	// and runs that it costs, from 0 (only the cost counts) to 1 (only the
	// response time counts).
	ResponseWeight float64
	// FloorShare is the fraction of MaxRunning, from 0 to 1, that is divided
	// into floors. The floor of a data centre is the number of units of a limit
	// that it may use without the store; here a unit is one running task.
	FloorShare float64
}

// Objective is a service-level objective.
type Objective struct {
	ResponseTime time.Duration
	// Share is the fraction of requests, above 0 and below 1, that must be
	// answered within ResponseTime.
	Share float64
}

// Team is the configuration of one team, with defaults applied.
type Team struct {
	Name ident.Team
	// Services lists the services that the team may use; empty means all. It
	// must not be modified.
	Services []ident.Service
	Weight   int
	// MaxRunning is zero when there is no limit.
	MaxRunning int
	// MaxCostPerHour is zero when there is no limit.
	MaxCostPerHour ident.Micros
	// FloorShare is the fraction of each limit, from 0 to 1, that is divided
	// into floors; see Service.FloorShare.
	FloorShare float64
}

// Snapshot is one revision of the configuration, converted to the types that
// the decisions use, with defaults applied. It is immutable and safe for
// concurrent use.
type Snapshot struct {
	revision     ident.Revision
	sha256       string
	serviceNames []ident.Service
	teamNames    []ident.Team
	services     map[ident.Service]Service
	teams        map[ident.Team]Team
}

// newSnapshot converts a valid revision.
func newSnapshot(rev *configpb.Revision) *Snapshot {
	file := rev.GetFile()
	s := &Snapshot{
		revision: ident.Revision(rev.GetRevision()),
		sha256:   rev.GetSha256(),
		services: make(map[ident.Service]Service, len(file.GetServices())),
		teams:    make(map[ident.Team]Team, len(file.GetTeams())),
	}
	for _, p := range file.GetServices() {
		service := newService(p)
		s.serviceNames = append(s.serviceNames, service.Name)
		s.services[service.Name] = service
	}
	for _, p := range file.GetTeams() {
		team := newTeam(p)
		s.teamNames = append(s.teamNames, team.Name)
		s.teams[team.Name] = team
	}
	return s
}

func newService(p *configpb.Service) Service {
	s := Service{
		Name:              ident.Service(p.GetName()),
		Idempotent:        p.GetIdempotent(),
		MaxRunning:        int(p.GetMaxRunning()),
		MaxQueued:         int(p.GetMaxQueued()),
		CostPerSlotSecond: ident.Micros(p.GetCostPerSlotSecondMicros()),
		ExpectedRunTime:   parseDuration(p.GetExpectedRunTime(), defaultExpectedRunTime),
		ResponseWeight:    p.GetResponseWeight(),
		FloorShare:        floorShareOrDefault(p.FloorShare),
	}
	for _, dc := range p.GetDataCentres() {
		s.DataCentres = append(s.DataCentres, ident.DataCentre(dc))
	}
	if s.MaxQueued == 0 {
		s.MaxQueued = defaultMaxQueued
	}
	if o := p.GetObjective(); o != nil {
		s.Objective = Objective{ResponseTime: parseDuration(o.GetResponseTime(), 0), Share: o.GetShare()}
	}
	return s
}

func newTeam(p *configpb.Team) Team {
	t := Team{
		Name:           ident.Team(p.GetName()),
		Weight:         int(p.GetWeight()),
		MaxRunning:     int(p.GetMaxRunning()),
		MaxCostPerHour: ident.Micros(p.GetMaxCostPerHourMicros()),
		FloorShare:     floorShareOrDefault(p.FloorShare),
	}
	for _, name := range p.GetServices() {
		t.Services = append(t.Services, ident.Service(name))
	}
	if t.Weight == 0 {
		t.Weight = defaultWeight
	}
	return t
}

// parseDuration parses a duration that Validate has accepted. It returns
// fallback for an empty value.
func parseDuration(value string, fallback time.Duration) time.Duration {
	d, err := time.ParseDuration(value)
	if err != nil {
		return fallback
	}
	return d
}

func floorShareOrDefault(value *float64) float64 {
	if value == nil {
		return defaultFloorShare
	}
	return *value
}

// Revision returns the revision number of the configuration.
func (s *Snapshot) Revision() ident.Revision { return s.revision }

// SHA256 returns the hash of the revision's file, in hexadecimal.
func (s *Snapshot) SHA256() string { return s.sha256 }

// Services returns the names of all services in file order. The list must not
// be modified.
func (s *Snapshot) Services() []ident.Service { return s.serviceNames }

// Teams returns the names of all teams in file order. The list must not be
// modified.
func (s *Snapshot) Teams() []ident.Team { return s.teamNames }

// Service returns the configuration of a service and whether it exists.
func (s *Snapshot) Service(name ident.Service) (Service, bool) {
	service, ok := s.services[name]
	return service, ok
}

// Team returns the configuration of a team and whether it exists.
func (s *Snapshot) Team(name ident.Team) (Team, bool) {
	team, ok := s.teams[name]
	return team, ok
}

// CheckAccess returns nil when the team may use the service. Otherwise the
// error has kind fault.UnknownTeam, fault.UnknownService or fault.NotAllowed,
// with fault.RanNo.
func (s *Snapshot) CheckAccess(team ident.Team, service ident.Service) error {
	if _, ok := s.services[service]; !ok {
		return fault.New(fault.UnknownService, fault.RanNo).WithField("service").WithDetail("no service of this name is configured")
	}
	t, ok := s.teams[team]
	if !ok {
		return fault.New(fault.UnknownTeam, fault.RanNo).WithField("team").WithDetail("no team of this name is configured")
	}
	if len(t.Services) > 0 && !slices.Contains(t.Services, service) {
		return fault.New(fault.NotAllowed, fault.RanNo).WithField("service").WithDetail("the team may not use this service")
	}
	return nil
}

// MayRun reports whether the service exists and may run in the data centre.
func (s *Snapshot) MayRun(service ident.Service, dc ident.DataCentre) bool {
	sv, ok := s.services[service]
	return ok && (len(sv.DataCentres) == 0 || slices.Contains(sv.DataCentres, dc))
}
