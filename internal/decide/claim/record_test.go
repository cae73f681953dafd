package claim_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/claim"
	"hornbeamlift.example/hornbeamlift/internal/standin/rapidseed"
)

// TestMain sets a fixed seed for the property tests.
func TestMain(m *testing.M) { rapidseed.Run(m, nil) }

var now = time.Unix(1_700_000_000, 0)

func id(instance string, n uint64) ident.SubmissionID {
	return ident.SubmissionID{DataCentre: "dc-1", Instance: ident.InstanceID(instance), Incarnation: 7, Sequence: n}
}

// TestFirstClaimWins guards against a key whose id changes over time. Three
// instances add claims of the same keys; some of their writes are dropped, as
// after a compare-and-swap conflict, and are not retried. The record must agree
// with a plain map of the first writers.
func TestFirstClaimWins(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		record, reference := claim.Record{}, map[claim.Key]ident.SubmissionID{}
		for n := range rapid.IntRange(1, 40).Draw(rt, "batches") {
			self := ident.Process{Instance: ident.InstanceID("entry-" + strconv.Itoa(n%3)), Incarnation: 7}
			var requests []claim.Request
			for range rapid.IntRange(1, 4).Draw(rt, "requests") {
				k := claim.NewKey("shop", strconv.Itoa(rapid.IntRange(0, 9).Draw(rt, "key")))
				requests = append(requests, claim.Request{Key: k, ID: id(string(self.Instance), uint64(10*n+len(requests)+1))})
			}
			next, _ := record.Add(self, now.Add(time.Duration(n)*time.Second), 10*time.Minute, requests)
			if rapid.Bool().Draw(rt, "lost to another writer") {
				continue
			}
			record = next
			for _, req := range requests {
				if _, ok := reference[req.Key]; !ok {
					reference[req.Key] = req.ID
				}
			}
			for k, want := range reference {
				if got, ok := record.Find(k); !ok || got != want {
					rt.Fatalf("key %s has id %v, want %v", k, got, want)
				}
			}
		}
	})
}

// TestClaimExpiry guards against a claim that is removed while its home could
// still start the id's tasks, and against claims that are kept for ever.
func TestClaimExpiry(t *testing.T) {
	cases := map[string]struct {
		home  string
		after time.Duration
		kept  bool
	}{
		"own, within the retention":       {"entry-1", 9 * time.Minute, true},
		"own, within twice the retention": {"entry-1", 19 * time.Minute, true},
		"own, after twice the retention":  {"entry-1", 21 * time.Minute, false},
		"another home, within a day":      {"entry-2", 23 * time.Hour, true},
		"another home, after a day":       {"entry-2", 25 * time.Hour, false},
		"own, written by a fast clock":    {"entry-1", -time.Hour, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k := claim.NewKey("shop", "a")
			r, added := claim.Record{}.Add(id(c.home, 1).Home(), now, 10*time.Minute, []claim.Request{{Key: k, ID: id(c.home, 1)}})
			is.True(added)
			r, _ = r.Add(id("entry-1", 1).Home(), now.Add(c.after), 10*time.Minute, nil)
			_, ok := r.Find(k)
			is.Equal(ok, c.kept)
		})
	}
}

// TestRecordSizeLimit guards against a record that the store would refuse for
// its size.
func TestRecordSizeLimit(t *testing.T) {
	is := is.New(t)
	var requests []claim.Request
	for i := range 12_000 {
		requests = append(requests, claim.Request{Key: claim.NewKey("shop", strconv.Itoa(i)), ID: id("entry-1", uint64(i+1))})
	}
	r, _ := claim.Record{}.Add(id("entry-1", 1).Home(), now, time.Minute, requests[:5000])
	data, err := r.Value()
	is.NoErr(err)
	again, err := claim.Parse(data)
	is.NoErr(err)
	is.Equal(len(again.Claims), 5000)
	r, _ = r.Add(id("entry-1", 1).Home(), now, time.Minute, requests)
	_, err = r.Value()
	is.Equal(fault.KindOf(err), fault.QueueFull)
}
