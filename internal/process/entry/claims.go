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
	// claimBatch is how long the first claim of a batch waits for others, so
	// that they share one write.
	claimBatch = 20 * time.Millisecond
	// claimTimeout bounds a batch. A caller is then told that nothing was run.
	claimTimeout = 3 * time.Second
	// claimBacklog bounds the claims that wait for a batch.
	claimBacklog = 1024
)

// wanted is one claim on its way to the store.
type wanted struct {
	claim.Want
	done chan<- claimed
}

// claimed is the outcome of a claim.
type claimed struct {
	id      ident.SubmissionID
	failure error
}

// claims binds callers' own keys to submission ids in the store, in batches.
type claims struct {
	process *Process
	wants   chan wanted
}

// resolve returns the submission id that a caller's key stands for. A failure
// has Ran no: nothing starts before the store has confirmed the claim.
func (c *claims) resolve(ctx context.Context, team ident.Team, key string) (ident.SubmissionID, error) {
	r, err := c.process.ask(ctx, func(ref instance.Ref) instance.Event { return instance.Issue{Ref: ref, Count: 1} })
	if err != nil {
		return ident.SubmissionID{}, fault.Wrap(err, fault.ClaimUnconfirmed, fault.RanNo)
	}
	done := make(chan claimed, 1)
	select {
	case c.wants <- wanted{Want: claim.Want{Key: claim.NewKey(team, key), ID: r.IDs[0]}, done: done}:
	default:
		return ident.SubmissionID{}, unconfirmed(nil).WithDetail("too many claims wait for the store")
	}
	select {
	case got := <-done:
		return got.id, got.failure
	case <-ctx.Done():
		return ident.SubmissionID{}, unconfirmed(ctx.Err())
	case <-c.process.callContext.Done():
		return ident.SubmissionID{}, unconfirmed(nil)
	}
}

// unconfirmed is the refusal of a claim that the store did not confirm.
func unconfirmed(cause error) *fault.Error {
	f := fault.New(fault.ClaimUnconfirmed, fault.RanNo).WithRetryAfter(time.Second)
	f.Cause = cause
	return f
}

// run writes the claims in batches.
func (c *claims) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-c.wants:
			c.write(ctx, c.collect(ctx, first))
		}
	}
}

// collect returns the claims of a batch by bucket.
func (c *claims) collect(ctx context.Context, first wanted) map[int][]wanted {
	batch := map[int][]wanted{first.Key.Bucket(): {first}}
	full := make(chan struct{})
	timer := c.process.cfg.Clock.AfterFunc(claimBatch, func() { close(full) })
	defer timer.Stop()
	for {
		select {
		case w := <-c.wants:
			batch[w.Key.Bucket()] = append(batch[w.Key.Bucket()], w)
		case <-full:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
}

// write puts a batch into the store and tells each claim its outcome.
func (c *claims) write(ctx context.Context, batch map[int][]wanted) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for bucket, wants := range batch {
		record, err := c.update(ctx, bucket, wants)
		for _, w := range wants {
			if err != nil {
				w.done <- claimed{failure: unconfirmed(err)}
				continue
			}
			id, ok := record.Find(w.Key)
			if !ok {
				w.done <- claimed{failure: unconfirmed(nil)}
				continue
			}
			w.done <- claimed{id: id}
		}
	}
}

// update adds claims to the record of a bucket and returns the record that
// holds them. A lost reply is resolved by reading the record back.
func (c *claims) update(ctx context.Context, bucket int, wants []wanted) (claim.Record, error) {
	p := c.process
	adds := make([]claim.Want, len(wants))
	for i, w := range wants {
		adds[i] = w.Want
	}
	v, err := p.store.Update(ctx, "claims/"+strconv.Itoa(bucket), func(old platform.Value) ([]byte, func(platform.Value) bool, error) {
		record, err := claim.Parse(old.Data)
		if err != nil {
			return nil, nil, err
		}
		next, _ := record.Add(p.cfg.Self, p.cfg.Clock.Now(), p.cfg.Retention, adds)
		data, err := next.Value()
		return data, func(v platform.Value) bool { return holds(v, adds) }, err
	})
	if err != nil {
		return claim.Record{}, err
	}
	return claim.Parse(v.Data)
}

// holds reports whether a value has a claim for each key, whoever made it.
func holds(v platform.Value, wants []claim.Want) bool {
	record, err := claim.Parse(v.Data)
	if err != nil {
		return false
	}
	for _, w := range wants {
		if _, ok := record.Find(w.Key); !ok {
			return false
		}
	}
	return true
}
