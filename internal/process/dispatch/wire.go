package dispatch

import (
	"math"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/core/job"
	"hornbeamlift.example/hornbeamlift/internal/decide/dispatcher"
	"hornbeamlift.example/hornbeamlift/internal/decide/group"
	"hornbeamlift.example/hornbeamlift/internal/decide/leader"
	"hornbeamlift.example/hornbeamlift/internal/decide/listing"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// encode converts a message of the core to the peer protocol. It returns a
// message without a body for unknown types.
func encode(message any) *peerpb.Message {
	switch m := message.(type) {
	case dispatcher.Heartbeat:
		return &peerpb.Message{Body: &peerpb.Message_Pulse{Pulse: &peerpb.Pulse{
			Seniority: int64(m.Seniority), Epoch: m.Epoch, Draining: m.Draining,
			ListAgeMs: uint32(min(m.ListAge.Milliseconds(), math.MaxUint32)),
			Owner:     string(m.Owner.Instance), OwnerIncarnation: uint64(m.Owner.Incarnation),
			Ask: m.RequestReply, ReadList: m.ReadList, Followers: uint32(max(m.Followers, 0)), Layout: peerpb.Layout(m.Layout),
			Processors:    uint32(min(max(m.Processors, 0), math.MaxUint32)),
			LastPlacement: m.LastPlacement, Released: m.Released, ListDigest: m.ListDigest,
		}}}
	case dispatcher.Orders:
		return encodeOrders(m)
	case dispatcher.Withdrawal:
		return &peerpb.Message{Body: &peerpb.Message_WithdrawJob{WithdrawJob: &peerpb.WithdrawJob{Job: string(m)}}}
	case dispatcher.TaskEnds:
		return encodeEnds(m)
	case dispatcher.CrashReport:
		return encodeCrashes(m)
	case listing.Snapshot:
		return encodeSnapshot(m)
	case listing.Changes:
		return encodeChanges(m)
	}
	return &peerpb.Message{}
}

// decode converts a message of a peer to a message of the core. It returns
// false when the message is malformed or of an unknown type.
func decode(m *peerpb.Message) (any, bool) {
	switch body := m.GetBody().(type) {
	case *peerpb.Message_Pulse:
		return decodeHeartbeat(body.Pulse)
	case *peerpb.Message_PlaceOrders:
		orders, ok := decodeOrders(body.PlaceOrders)
		return dispatcher.Orders(orders), ok
	case *peerpb.Message_WithdrawJob:
		return dispatcher.Withdrawal(body.WithdrawJob.GetJob()), true
	case *peerpb.Message_TaskEnds:
		return dispatcher.TaskEnds(decodeEnds(body.TaskEnds)), true
	case *peerpb.Message_CrashReport:
		return decodeCrashes(body.CrashReport), true
	case *peerpb.Message_EndpointList:
		return decodeSnapshot(body.EndpointList), true
	case *peerpb.Message_EndpointChanges:
		return decodeChanges(body.EndpointChanges), true
	}
	return nil, false
}

// maxSeniority is the highest seniority that is accepted from a peer, in Unix
// milliseconds. An instance that ranks after a peer adds to that peer's.
const maxSeniority = 1 << 53

// decodeHeartbeat returns false if the epoch or the seniority is out of range.
// Neither can be limited instead: the epochs of owners must grow, and the order of
// instances must be the same everywhere.
func decodeHeartbeat(m *peerpb.Pulse) (dispatcher.Heartbeat, bool) {
	if m.GetEpoch() > owner.MaxEpoch || m.GetSeniority() < 0 || m.GetSeniority() > maxSeniority {
		return dispatcher.Heartbeat{}, false
	}
	return dispatcher.Heartbeat{
		Heartbeat: leader.Heartbeat{
			Seniority: leader.Seniority(m.GetSeniority()), Epoch: m.GetEpoch(), Draining: m.GetDraining(),
			Processors: int64(m.GetProcessors()), Followers: int(m.GetFollowers()),
			Owner: ident.Process{Instance: ident.InstanceID(m.GetOwner()), Incarnation: ident.Incarnation(m.GetOwnerIncarnation())},
		},
		ListAge: time.Duration(m.GetListAgeMs()) * time.Millisecond,
		Layout:  group.Layout(m.GetLayout()), RequestReply: m.GetAsk(), ReadList: m.GetReadList(),
		LastPlacement: m.GetLastPlacement(), Released: m.GetReleased(),
		ListDigest: m.GetListDigest(),
	}, true
}

func encodeOrders(orders []job.Order) *peerpb.Message {
	body := &peerpb.PlaceOrders{Orders: make([]*peerpb.Order, len(orders))}
	for i := range orders {
		o := &orders[i]
		m := &peerpb.Order{
			Job: string(o.Job), Step: uint32(o.Step), Service: string(o.Service), Payload: o.Payload,
			Room:       encodeRoom(o.Needs.Room),
			EstimateUs: uint32(o.Needs.Estimate.Microseconds()), RequiredLabel: o.Needs.RequiredLabel,
			Affinity: o.Needs.Affinity, SameRack: o.Needs.SameRack, MaxPerEndpoint: uint32(o.Needs.MaxPerEndpoint),
			TargetUs: o.Target.Microseconds(), DeadlineUs: o.Deadline.Microseconds(), Handed: o.MayHaveStarted, PlacedWhole: o.PlacedWhole,
			Placement: o.Placement, Priority: int32(o.Priority),
		}
		for k := range o.Indexes {
			m.Indexes = append(m.Indexes, uint32(o.Indexes[k]))
			m.FirstRuns = append(m.FirstRuns, uint32(o.MinRuns[k]))
		}
		body.Orders[i] = m
	}
	return &peerpb.Message{Body: &peerpb.Message_PlaceOrders{PlaceOrders: body}}
}

// decodeOrders returns the orders, and false when an order has different
// numbers of task indexes and first runs (job.Order.MinRuns). Numbers out of range
// are limited, so that the other orders in the message are kept.
func decodeOrders(body *peerpb.PlaceOrders) ([]job.Order, bool) {
	orders := make([]job.Order, len(body.GetOrders()))
	for i, m := range body.GetOrders() {
		if len(m.GetIndexes()) != len(m.GetFirstRuns()) {
			return nil, false
		}
		o := job.Order{
			Job: job.ID(m.GetJob()), Step: int(m.GetStep()), Service: ident.Service(m.GetService()), Payload: m.GetPayload(),
			Needs: job.Needs{
				Room: decodeRoom(m.GetRoom()), Estimate: time.Duration(m.GetEstimateUs()) * time.Microsecond,
				RequiredLabel: m.GetRequiredLabel(), Affinity: m.GetAffinity(), SameRack: m.GetSameRack(),
				MaxPerEndpoint: int(m.GetMaxPerEndpoint()),
			},
			Target:         decodeMicroseconds(m.GetTargetUs()),
			Deadline:       decodeMicroseconds(m.GetDeadlineUs()),
			MayHaveStarted: m.GetHanded(), PlacedWhole: m.GetPlacedWhole(), Placement: m.GetPlacement(),
			Priority: int(m.GetPriority()),
		}
		for k := range m.GetIndexes() {
			o.Indexes = append(o.Indexes, int(m.GetIndexes()[k]))
			o.MinRuns = append(o.MinRuns, decodeRun(m.GetFirstRuns()[k]))
		}
		orders[i] = o
	}
	return orders, true
}

// maxRemaining bounds the times left that a peer sends, in both directions, so that
// the receiver can add to them. It is far above the longest deadline.
const maxRemaining = 365 * 24 * time.Hour

func decodeMicroseconds(us int64) time.Duration {
	return time.Duration(min(max(us, -maxRemaining.Microseconds()), maxRemaining.Microseconds())) * time.Microsecond
}

// decodeRun returns the number of a run, limited to job.MaxRun.
func decodeRun(n uint32) int { return min(int(n), job.MaxRun) }

func encodeRoom(r job.Room) *peerpb.Room {
	return &peerpb.Room{Cpu: r.CPU, Memory: r.Memory, Gpu: r.GPU}
}

func decodeRoom(m *peerpb.Room) job.Room {
	return job.Room{CPU: m.GetCpu(), Memory: m.GetMemory(), GPU: m.GetGpu()}.Clamp()
}

func encodeEnds(ends []job.TaskEnd) *peerpb.Message {
	body := &peerpb.TaskEnds{Ends: make([]*peerpb.TaskEnd, len(ends))}
	for i := range ends {
		e := &ends[i]
		body.Ends[i] = &peerpb.TaskEnd{
			Job: string(e.Key.Job), Step: uint32(e.Key.Step), Index: uint32(e.Key.Index), Run: uint32(e.Run),
			Outcome: uint32(e.Outcome), Endpoint: string(e.Endpoint), RanUs: uint32(e.RunTime.Microseconds()),
			WaitedUs: uint32(e.Waited.Microseconds()), RetryAfterMs: uint32(e.RetryAfter.Milliseconds()),
			Placement: e.Placement,
		}
	}
	return &peerpb.Message{Body: &peerpb.Message_TaskEnds{TaskEnds: body}}
}

func decodeEnds(body *peerpb.TaskEnds) []job.TaskEnd {
	ends := make([]job.TaskEnd, len(body.GetEnds()))
	for i, m := range body.GetEnds() {
		ends[i] = job.TaskEnd{
			Key: job.Key{Job: job.ID(m.GetJob()), Step: int(m.GetStep()), Index: int(m.GetIndex())},
			Run: decodeRun(m.GetRun()), Outcome: job.Outcome(m.GetOutcome()), Endpoint: ident.EndpointID(m.GetEndpoint()),
			RunTime:    time.Duration(m.GetRanUs()) * time.Microsecond,
			Waited:     time.Duration(m.GetWaitedUs()) * time.Microsecond,
			RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
			Placement:  m.GetPlacement(),
		}
	}
	return ends
}

func encodeCrashes(records dispatcher.CrashReport) *peerpb.Message {
	body := &peerpb.CrashReport{Tasks: make([]*peerpb.CrashedTask, len(records))}
	for i, r := range records {
		body.Tasks[i] = &peerpb.CrashedTask{
			Job: string(r.Key.Job), Step: uint32(r.Key.Step), Index: uint32(r.Key.Index), Crashes: uint32(r.Crashes), Outages: uint32(r.Outages), Suspect: r.Suspect, GivenUp: r.GivenUp,
		}
	}
	return &peerpb.Message{Body: &peerpb.Message_CrashReport{CrashReport: body}}
}

func decodeCrashes(body *peerpb.CrashReport) dispatcher.CrashReport {
	records := make(dispatcher.CrashReport, len(body.GetTasks()))
	for i, m := range body.GetTasks() {
		records[i] = owner.CrashRecord{
			Key:     job.Key{Job: job.ID(m.GetJob()), Step: int(m.GetStep()), Index: int(m.GetIndex())},
			Crashes: int(m.GetCrashes()), Outages: int(m.GetOutages()), Suspect: m.GetSuspect(), GivenUp: m.GetGivenUp(),
		}
	}
	return records
}
