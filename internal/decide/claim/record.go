// Package claim decides which submission id belongs to a caller's idempotency
// key. Claims are kept in a few records of the platform's store. The first
// claim of a key wins, and every later use of the key gets its id.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// Key is the hash of a caller's idempotency key. It does not reveal the key.
type Key string

// keyBytes is the number of bytes of the hash that are kept, enough to rule out
// chance collisions among the claims of a fleet.
const keyBytes = 16

// NewKey hashes a caller's key together with the team, so that equal keys of
// different teams differ.
func NewKey(team ident.Team, key string) Key {
	sum := sha256.Sum256([]byte(string(team) + "\x00" + key))
	return Key(hex.EncodeToString(sum[:keyBytes]))
}

// Buckets is the number of records that claims are spread over. More records
// mean fewer conflicts between instances. Claims of several submissions are
// written together, one write per record, so more records also mean more
// writes.
const Buckets = 4

// Bucket returns the number of the record that holds the key.
func (k Key) Bucket() int {
	if k == "" {
		return 0
	}
	return int(k[len(k)-1]) % Buckets
}

const (
	// otherHomeRetention is how long a claim is kept if the home of its id, the
	// process that issued it, is not the one that adds claims. It is far longer
	// than any plausible difference between the clocks of two instances.
	otherHomeRetention = 24 * time.Hour
	// maxRecordBytes keeps a record below the store's limit of 1 MB per value.
	maxRecordBytes = 900 << 10
)

// Claim binds a key to a submission id.
type Claim struct {
	Key Key    `json:"key"`
	ID  string `json:"id"`
	// AtMs is the time of the claim in milliseconds since the Unix epoch, by
	// the clock of the claiming instance.
	AtMs int64 `json:"at-ms"`
}

// Record holds the claims of one bucket.
type Record struct {
	Claims []Claim `json:"claims"`
}

// Parse decodes a record; empty data gives an empty record. Errors have kind
// fault.StoreConflict: the store key holds something other than claims.
func Parse(data []byte) (Record, error) {
	var r Record
	if len(data) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fault.Wrap(err, fault.StoreConflict, fault.RanNo).WithDetail("claim record cannot be decoded")
	}
	return r, nil
}

// Value encodes the record for the store. The error has kind fault.QueueFull
// when the encoded record exceeds maxRecordBytes.
func (r Record) Value() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, fault.RanNo)
	}
	if len(data) > maxRecordBytes {
		return nil, fault.New(fault.QueueFull, fault.RanNo).WithDetail("claim record is full")
	}
	return data, nil
}

// Find returns the submission id that belongs to a key, and false when there is
// none or it can't be parsed.
func (r Record) Find(k Key) (ident.SubmissionID, bool) {
	for _, c := range r.Claims {
		if c.Key == k {
			id, err := ident.ParseSubmissionID(c.ID)
			return id, err == nil
		}
	}
	return ident.SubmissionID{}, false
}

// Request is a request to bind a key to an id.
type Request struct {
	Key Key
	ID  ident.SubmissionID
}

// Add returns the record with a new claim for each requested key that had none,
// and reports whether any was added. Expired claims are removed. Claims of ids
// that self issued expire after twice the retention of its ids, by its own
// clock. By then it refuses the id as expired, so no task of the submission can
// start again. Claims of ids of other homes are kept for a day.
func (r Record) Add(self ident.Process, now time.Time, retention time.Duration, requests []Request) (Record, bool) {
	next := Record{Claims: make([]Claim, 0, len(r.Claims)+len(requests))}
	taken := make(map[Key]bool, len(r.Claims)+len(requests))
	for _, c := range r.Claims {
		if !c.expired(self, now, retention) {
			next.Claims = append(next.Claims, c)
			taken[c.Key] = true
		}
	}
	added := false
	for _, req := range requests {
		if taken[req.Key] {
			continue
		}
		taken[req.Key], added = true, true
		next.Claims = append(next.Claims, Claim{Key: req.Key, ID: req.ID.String(), AtMs: now.UnixMilli()})
	}
	return next, added
}

// expired reports whether a claim may be removed.
func (c Claim) expired(self ident.Process, now time.Time, retention time.Duration) bool {
	id, err := ident.ParseSubmissionID(c.ID)
	if err != nil {
		return true
	}
	age := now.Sub(time.UnixMilli(c.AtMs))
	if id.Home() == self {
		return age > 2*retention
	}
	return age > otherHomeRetention
}
