// Package ident defines the types of ids, counters and amounts that the other
// packages share.
package ident

import "strconv"

// InstanceID is the id of an entry instance, as set in its settings.
type InstanceID string

// DataCentre is the name of a data centre.
type DataCentre string

// Incarnation distinguishes the successive processes of one instance id. A
// later process has a higher incarnation.
type Incarnation uint64

// EndpointID is the id of an endpoint in the platform's list.
type EndpointID string

// Service is the name of a service: a kind of task that some endpoints run.
type Service string

// Team is the name of a group of callers that share a quota.
type Team string

// Revision counts the applied configurations. It never decreases.
type Revision uint64

// Attempt numbers the attempts to run one task, from 1.
type Attempt uint32

// Micros is an amount of money in millionths of the currency unit.
type Micros uint64

// Process identifies one process of an instance.
type Process struct {
	Instance    InstanceID
	Incarnation Incarnation
}

// TaskID identifies one task of a submission. Index counts from 0.
type TaskID struct {
	Submission SubmissionID
	Index      int
}

// String returns the id as endpoints see it: the submission id, a slash and the
// index.
func (t TaskID) String() string {
	return t.Submission.String() + "/" + strconv.Itoa(t.Index)
}
