// Package claim decides which submission id a caller's own idempotency key
// stands for. Claims are kept in a few records of the platform's store; the
// first claim of a key wins, and every later use of the key gets its id.
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

// keyBytes is the length of the hash that is kept, enough to rule out chance
// collisions among the claims of a fleet.
const keyBytes = 16

// NewKey hashes a caller's key. Teams do not share keys.
func NewKey(team ident.Team, key string) Key {
	sum := sha256.Sum256([]byte(string(team) + "\x00" + key))
	return Key(hex.EncodeToString(sum[:keyBytes]))
}

// Buckets is the number of records that claims are spread over. More records
// mean fewer conflicts between instances and more writes per batch.
const Buckets = 4

// Bucket returns the number of the record that holds the key.
func (k Key) Bucket() int {
	if k == "" {
		return 0
	}
	return int(k[len(k)-1]) % Buckets
}

const (
	// abandonedAfter is how long the claim of another home is kept. It exceeds
	// any plausible difference between the clocks of two instances by far.
	abandonedAfter = 24 * time.Hour
	// maxValue keeps a record below the store's bound of 1 MB.
	maxValue = 900 << 10
)

// Claim binds a key to a submission id.
type Claim struct {
	Key Key    `json:"key"`
	ID  string `json:"id"`
	// AtMs is when the claim was made, in milliseconds since the Unix epoch by
	// the claiming instance's clock.
	AtMs int64 `json:"at-ms"`
}

// Record is the value of one bucket.
type Record struct {
	Claims []Claim `json:"claims"`
}

// Parse reads a record; no data is an empty one. Its failure has kind
// StoreConflict: the key holds something else.
func Parse(data []byte) (Record, error) {
	var r Record
	if len(data) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fault.Wrap(err, fault.StoreConflict, fault.RanNo).WithDetail("a record of claims is not readable")
	}
	return r, nil
}

// Value returns the record as the store keeps it. Its failure has kind
// QueueFull: too many claims are alive.
func (r Record) Value() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, fault.RanNo)
	}
	if len(data) > maxValue {
		return nil, fault.New(fault.QueueFull, fault.RanNo).WithDetail("the records of claims are full")
	}
	return data, nil
}

// Find returns the submission id that a key stands for.
func (r Record) Find(k Key) (ident.SubmissionID, bool) {
	for _, c := range r.Claims {
		if c.Key == k {
			id, err := ident.ParseSubmissionID(c.ID)
			return id, err == nil
		}
	}
	return ident.SubmissionID{}, false
}

// Want asks for a key to stand for an id.
type Want struct {
	Key Key
	ID  ident.SubmissionID
}

// Add returns the record with a claim for each key that had none, and whether
// it differs. A home's own claims end with the retention of its ids, by its own
// clock: the home refuses such an id as expired, so that none of its tasks can
// start again. Claims of other homes are kept for a day.
func (r Record) Add(self ident.Process, now time.Time, retention time.Duration, wants []Want) (Record, bool) {
	next := Record{Claims: make([]Claim, 0, len(r.Claims)+len(wants))}
	taken := make(map[Key]bool, len(r.Claims)+len(wants))
	for _, c := range r.Claims {
		if !c.ended(self, now, retention) {
			next.Claims = append(next.Claims, c)
			taken[c.Key] = true
		}
	}
	added := false
	for _, w := range wants {
		if taken[w.Key] {
			continue
		}
		taken[w.Key], added = true, true
		next.Claims = append(next.Claims, Claim{Key: w.Key, ID: w.ID.String(), AtMs: now.UnixMilli()})
	}
	return next, added
}

// ended reports whether a claim may be forgotten.
func (c Claim) ended(self ident.Process, now time.Time, retention time.Duration) bool {
	id, err := ident.ParseSubmissionID(c.ID)
	if err != nil {
		return true
	}
	age := now.Sub(time.UnixMilli(c.AtMs))
	if id.Home() == self {
		return age > 2*retention
	}
	return age > abandonedAfter
}
