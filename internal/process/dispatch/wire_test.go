package dispatch

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/dispatcher"
	"hornbeamlift.example/hornbeamlift/internal/decide/listing"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
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

// TestOrdersSurviveWire guards against an owner that does not learn what an order
// asks for, or how urgent it is.
func TestOrdersSurviveWire(t *testing.T) {
	is := is.New(t)
	orders := dispatcher.Orders{{
		Job: "j", Step: 1, Service: "s", Payload: "p", Indexes: []int{0, 2}, MinRuns: []int{1, 101}, Priority: 2,
		Needs: job.Needs{
			Room: job.Room{CPU: 1, Memory: 2, GPU: 3}, Estimate: time.Second, RequiredLabel: "l", Affinity: "r", SameRack: true, MaxPerEndpoint: 4,
		},
		Target: -time.Second, Deadline: time.Minute, Placement: 7, MayHaveStarted: true, PlacedWhole: true,
	}}
	decoded, ok := decode(encode(orders))
	is.True(ok)
	is.Equal(decoded, any(orders))
}

// TestListSurvivesWire guards against a peer that does not see that its list
// differs from the owner's, gets no endpoints that the owner's list lacks, or does
// not learn what is released.
func TestListSurvivesWire(t *testing.T) {
	room := job.Room{CPU: 1, Memory: 2, GPU: 3}
	endpoint := func(id string) []owner.Endpoint {
		return []owner.Endpoint{{ID: ident.EndpointID(id), Address: "a:1", DataCentre: "dc", Room: room, Incarnation: 7}}
	}
	tests := map[string]any{
		"heartbeat": dispatcher.Heartbeat{ListAge: time.Second, ListDigest: 1<<63 + 5, LastPlacement: 9, Released: 8},
		"list":      listing.Snapshot{Endpoints: endpoint("e-1"), Age: time.Second, Missing: endpoint("e-2")},
		"missing":   listing.Snapshot{Endpoints: []owner.Endpoint{}, Age: listing.NoList, Missing: endpoint("e-2")},
	}
	for name, message := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			decoded, ok := decode(encode(message))
			is.True(ok)
			is.Equal(decoded, message)
		})
	}
}

// TestOddOrderIsLimited guards against an order of a peer whose numbers overflow
// where the owner adds to them, and against the loss of the other orders in its
// message.
func TestOddOrderIsLimited(t *testing.T) {
	is := is.New(t)
	odd := &peerpb.Order{
		Job: "odd", Room: &peerpb.Room{Cpu: math.MaxInt64, Memory: math.MinInt64, Gpu: math.MaxInt64}, TargetUs: math.MinInt64, DeadlineUs: math.MaxInt64,
		Indexes: []uint32{0}, FirstRuns: []uint32{math.MaxUint32},
	}
	usual := &peerpb.Order{Job: "usual", Room: &peerpb.Room{Cpu: 1}, DeadlineUs: 1, Indexes: []uint32{0}, FirstRuns: []uint32{1}}
	orders, ok := decodeOrders(&peerpb.PlaceOrders{Orders: []*peerpb.Order{odd, usual}})
	is.True(ok)
	is.Equal(len(orders), 2)
	is.Equal(orders[0].Needs.Room, job.Room{CPU: job.MaxCPU, GPU: job.MaxGPU})
	is.Equal(orders[0].Target, -maxRemaining)
	is.Equal(orders[0].Deadline, maxRemaining)
	is.Equal(orders[0].MinRuns, []int{job.MaxRun})
	is.Equal(orders[1].Deadline, time.Microsecond)
}

// TestOddEndIsLimited guards against the run number of an end that does not fit
// into the home's next order, so that the next run gets the number 0.
func TestOddEndIsLimited(t *testing.T) {
	is := is.New(t)
	ends := decodeEnds(&peerpb.TaskEnds{Ends: []*peerpb.TaskEnd{{Job: "j", Run: math.MaxUint32}}})
	is.Equal(ends[0].Run, job.MaxRun)
	is.Equal(int(uint32(ends[0].Run+1)), job.MaxRun+1)
}

// TestOddEndpointIsLimited guards against a list of a peer with an endpoint whose
// room overflows where the rooms of all endpoints are added.
func TestOddEndpointIsLimited(t *testing.T) {
	is := is.New(t)
	list := decodeEndpoints([]*peerpb.LeasedEndpoint{{Id: "e", Room: &peerpb.Room{Cpu: math.MaxInt64, Memory: math.MaxInt64, Gpu: -1}}})
	is.Equal(list[0].Room, job.Room{CPU: job.MaxCPU, Memory: job.MaxMemory})
}

// TestOddHeartbeatIsMalformed guards against an epoch or a seniority of a peer to
// which nothing can be added: the next owner's epoch, and with it its fence, would
// be lower than those before.
func TestOddHeartbeatIsMalformed(t *testing.T) {
	tests := map[string]struct {
		pulse *peerpb.Pulse
		ok    bool
	}{
		"usual":              {&peerpb.Pulse{Epoch: 200_000_000, Seniority: 1_800_000_000_000}, true},
		"highest epoch":      {&peerpb.Pulse{Epoch: owner.MaxEpoch}, true},
		"epoch":              {&peerpb.Pulse{Epoch: math.MaxUint64}, false},
		"epoch of 2^43":      {&peerpb.Pulse{Epoch: 1 << 43}, false},
		"seniority":          {&peerpb.Pulse{Seniority: math.MaxInt64}, false},
		"negative seniority": {&peerpb.Pulse{Seniority: -1}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, ok := decode(&peerpb.Message{Body: &peerpb.Message_Pulse{Pulse: test.pulse}})
			is.Equal(ok, test.ok)
			is.True(!ok || owner.NewFence(test.pulse.GetEpoch()+1<<20, 1) > owner.NewFence(test.pulse.GetEpoch(), 1))
		})
	}
}

// TestOddSendingTime guards against a peer whose time of sending overflows and
// makes what it says later about the age of its configuration look old.
func TestOddSendingTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	s := newConfigSync(now)
	peer := ident.Process{Instance: "i-1", Incarnation: 1}
	for i, sent := range []uint64{1000, math.MaxUint64, 1 << 63, 9_223_372_036_854, 2000} {
		at := now.Add(time.Duration(i) * 250 * time.Millisecond)
		s.observeAge(at, peer, configReport{version: 1, age: 1, sent: sent}, 1)
	}
	is.Equal(s.syncer.Age(now.Add(time.Second)), time.Duration(0))
}
