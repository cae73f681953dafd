package entry

import (
	"context"
	"strconv"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/adapter/platform"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/claim"
	"hornbeamlift.example/hornbeamlift/internal/decide/instance"
)

const (
	// claimBatchWait is how long the first claim of a batch waits for others,
	// so that they share one write.
	claimBatchWait = 20 * time.Millisecond
	// claimTimeout bounds the write of a batch. Callers whose claims are not
	// confirmed in time are told that nothing has run.
	claimTimeout = 3 * time.Second
	// claimBacklog bounds the claims that wait for a batch. Further claims are
	// refused.
	claimBacklog = 1024
)

// pendingClaim is a claim that waits to be written to the store. A claim binds
// a caller's idempotency key to a submission id.
type pendingClaim struct {
	claim.Request
	result chan<- claimResult
}

// claimResult is the outcome of a claim: the submission id that the key is
// bound to, or why the claim failed.
type claimResult struct {
	id      ident.SubmissionID
	failure error
}

// claims binds callers' idempotency keys to submission ids in the store, in
// batches.
type claims struct {
	process *Process
	pending chan pendingClaim
}

// resolve returns the submission id that a caller's idempotency key is bound
// to, and binds the key to a new id if it is not bound yet. Errors have the
// kind fault.ClaimUnconfirmed and fault.RanUnknown: this call starts nothing, but
// an earlier one under the key may have, which only the store can tell.
func (c *claims) resolve(ctx context.Context, team ident.Team, key string) (ident.SubmissionID, error) {
	r, err := c.process.ask(ctx, func(ref instance.RequestRef) instance.Event { return instance.IssueIDs{Ref: ref, Count: 1} })
	if err != nil {
		return ident.SubmissionID{}, fault.Wrap(err, fault.ClaimUnconfirmed, fault.RanUnknown)
	}
	result := make(chan claimResult, 1)
	select {
	case c.pending <- pendingClaim{Request: claim.Request{Key: claim.NewKey(team, key), ID: r.IDs[0]}, result: result}:
	default:
		return ident.SubmissionID{}, unconfirmedError(nil).WithDetail("too many claims are waiting for the store")
	}
	select {
	case got := <-result:
		return got.id, got.failure
	case <-ctx.Done():
		return ident.SubmissionID{}, unconfirmedError(ctx.Err())
	case <-c.process.callContext.Done():
		return ident.SubmissionID{}, unconfirmedError(nil)
	}
}

// unconfirmedError returns the error for a claim that the store has not
// confirmed.
func unconfirmedError(cause error) *fault.Error {
	f := fault.New(fault.ClaimUnconfirmed, fault.RanUnknown).WithRetryAfter(time.Second)
	f.Cause = cause
	return f
}

// run collects claims into batches and writes them, until ctx ends.
func (c *claims) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-c.pending:
			c.write(ctx, c.collect(ctx, first))
		}
	}
}

// collect returns the claims that arrive within claimBatchWait, including
// first, by bucket.
func (c *claims) collect(ctx context.Context, first pendingClaim) map[int][]pendingClaim {
	batch := map[int][]pendingClaim{first.Key.Bucket(): {first}}
	expired := make(chan struct{})
	timer := c.process.cfg.Clock.AfterFunc(claimBatchWait, func() { close(expired) })
	defer timer.Stop()
	for {
		select {
		case waiting := <-c.pending:
			batch[waiting.Key.Bucket()] = append(batch[waiting.Key.Bucket()], waiting)
		case <-expired:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
}

// write writes a batch to the store, one record per bucket, and sends each
// claim its outcome.
func (c *claims) write(ctx context.Context, batch map[int][]pendingClaim) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for bucket, pending := range batch {
		record, err := c.update(ctx, bucket, pending)
		for _, waiting := range pending {
			if err != nil {
				waiting.result <- claimResult{failure: unconfirmedError(err)}
				continue
			}
			id, ok := record.Find(waiting.Key)
			if !ok {
				waiting.result <- claimResult{failure: unconfirmedError(nil)}
				continue
			}
			waiting.result <- claimResult{id: id}
		}
	}
}

// update adds claims to the record of a bucket and returns the record that
// contains them. If a reply is lost, it reads the record back to find out
// whether it was written.
func (c *claims) update(ctx context.Context, bucket int, pending []pendingClaim) (claim.Record, error) {
	p := c.process
	newClaims := make([]claim.Request, len(pending))
	for i, waiting := range pending {
		newClaims[i] = waiting.Request
	}
	v, err := p.store.Update(ctx, "claims/"+strconv.Itoa(bucket), func(old platform.Value) ([]byte, func(platform.Value) bool, error) {
		record, err := claim.Parse(old.Data)
		if err != nil {
			return nil, nil, err
		}
		next, _ := record.Add(p.cfg.Self, p.cfg.Clock.Now(), p.cfg.Retention, newClaims)
		data, err := next.Value()
		return data, func(v platform.Value) bool { return containsAll(v, newClaims) }, err
	})
	if err != nil {
		return claim.Record{}, err
	}
	return claim.Parse(v.Data)
}

// containsAll reports whether a record has a claim for each key, whichever
// instance has written it.
func containsAll(v platform.Value, newClaims []claim.Request) bool {
	record, err := claim.Parse(v.Data)
	if err != nil {
		return false
	}
	for _, want := range newClaims {
		if _, ok := record.Find(want.Key); !ok {
			return false
		}
	}
	return true
}
