// Package ident holds the named types for ids and units that the other
// packages share.
package ident

import "strconv"

// InstanceID names an entry instance, as its settings give it.
type InstanceID string

// DataCentre names a data centre.
type DataCentre string

// Incarnation distinguishes the successive processes of one instance id. A
// later process has a higher incarnation.
type Incarnation uint64

// EndpointID names an endpoint, as the platform's list gives it.
type EndpointID string

// Service names a kind of work.
type Service string

// Team names a group of callers that shares a quota.
type Team string

// Revision counts the applied configurations. It only rises.
type Revision uint64

// Attempt counts the hand-outs of one task, from 1.
type Attempt uint32

// Micros is an amount of money in millionths of the currency unit.
type Micros uint64

// Process names one process of an instance.
type Process struct {
	Instance    InstanceID
	Incarnation Incarnation
}

// TaskID names one task of a submission.
type TaskID struct {
	Submission SubmissionID
	Index      int
}

// String returns the task's name as endpoints see it: the submission id, a
// slash and the index.
func (t TaskID) String() string {
	return t.Submission.String() + "/" + strconv.Itoa(t.Index)
}
