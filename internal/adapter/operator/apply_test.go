package operator_test

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/adapter/operator"
	"hornbeamlift.example/hornbeamlift/internal/core/clock"
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/decide/config"
	"hornbeamlift.example/hornbeamlift/internal/schema/configpb"
)

// immediateClock is a clock whose timers fire at once, so that waits take no
// time.
type immediateClock struct{ clock.System }

func (immediateClock) Now() time.Time { return time.UnixMilli(1_700_000_000_000) }

func (immediateClock) AfterFunc(_ time.Duration, f func()) clock.Timer {
	return clock.System{}.AfterFunc(0, f)
}

// fakeStore holds one value. lose selects what happens to the next writes:
//   - "": the write succeeds
//   - "reply": the write takes effect, but its reply is lost
//   - "write": the write is lost
//   - "late": the write takes effect only after two further reads
type fakeStore struct {
	data     []byte
	revision uint64
	lose     string
	// reads counts the reads, anew from each delayed write.
	reads int
	// delayedWrite is the write that is yet to take effect, or nil.
	delayedWrite func()
	unavailable  bool
}

func (s *fakeStore) get(context.Context, string) ([]byte, uint64, error) {
	if s.unavailable {
		return nil, 0, fault.New(fault.StoreUnavailable, fault.RanNo)
	}
	if s.reads++; s.delayedWrite != nil && s.reads > 2 {
		s.delayedWrite()
	}
	return s.data, s.revision, nil
}

func (s *fakeStore) put(_ context.Context, key string, data []byte, ifRevision uint64) (uint64, error) {
	write := func() { s.data, s.revision, s.delayedWrite = data, s.revision+1, nil }
	switch {
	case key != "config" || ifRevision != s.revision:
		return 0, fault.New(fault.StoreConflict, fault.RanNo)
	case s.lose == "reply":
		write()
	case s.lose == "late":
		s.reads, s.delayedWrite = 0, write
	case s.lose == "":
		write()
		return s.revision, nil
	}
	return 0, fault.New(fault.StoreUnknown, fault.RanUnknown)
}

func (s *fakeStore) applier(prefix string) *operator.Applier {
	n := 0
	newID := func() string { n++; return prefix + strconv.Itoa(n) }
	return &operator.Applier{Get: s.get, Put: s.put, Clock: immediateClock{}, NewID: newID}
}

func configFile(maxRunning uint32) *configpb.File {
	return &configpb.File{Services: []*configpb.Service{{Name: "press", MaxRunning: maxRunning}}}
}

// TestApplyConflict guards against two operators who apply from the same
// revision, where the second overwrites the change of the first, or gets an
// error that does not name the first.
func TestApplyConflict(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &fakeStore{}
	ana, ben := s.applier("a"), s.applier("b")
	planA, err := ana.Plan(ctx, configFile(1), "ana")
	is.NoErr(err)
	planB, err := ben.Plan(ctx, configFile(2), "ben")
	is.NoErr(err)
	is.NoErr(ana.Apply(ctx, planA))
	err = ben.Apply(ctx, planB)
	is.Equal(fault.KindOf(err), fault.ApplyConflict)
	is.True(strings.Contains(err.Error(), `operator "ana" applied revision 1`))
	is.Equal(fault.From(err).Ran, fault.RanNo)

	planB, err = ben.Plan(ctx, configFile(2), "ben")
	is.NoErr(err)
	is.Equal(planB.Changes, []string{"services[press].max-running: 1 -> 2"})
	is.NoErr(ben.Apply(ctx, planB))
	rev, err := config.Unmarshal(s.data)
	is.NoErr(err)
	is.Equal(rev.GetRevision(), uint64(2))
	is.Equal(rev.GetRecentApplyIds(), []string{"b2", "a1"})
}

// TestApplyLostReply guards against an apply that is reported as failed
// although it took effect, or as successful although it did not, after the
// reply of the store was lost.
func TestApplyLostReply(t *testing.T) {
	cases := map[string]struct {
		lose  string
		after func(*fakeStore) // called after the write and before it is read back
		kind  fault.Kind
	}{
		"took effect":                   {"reply", nil, ""},
		"took effect, then other apply": {"reply", func(s *fakeStore) { applyOther(s) }, ""},
		"did not take effect":           {"write", nil, fault.StoreUnknown},
		"other apply first":             {"write", func(s *fakeStore) { applyOther(s) }, fault.ApplyConflict},
		"takes effect while waiting":    {"late", nil, ""},
		"store unavailable":             {"reply", func(s *fakeStore) { s.unavailable = true }, fault.StoreUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			s := &fakeStore{lose: c.lose}
			a := s.applier("a")
			plan, err := a.Plan(ctx, configFile(1), "ana")
			is.NoErr(err)
			put := a.Put
			a.Put = func(ctx context.Context, key string, data []byte, ifRevision uint64) (uint64, error) {
				revision, err := put(ctx, key, data, ifRevision)
				if c.after != nil {
					c.after(s)
				}
				return revision, err
			}
			err = a.Apply(ctx, plan)
			is.Equal(fault.KindOf(err), c.kind)
			if c.kind == fault.StoreUnknown {
				is.Equal(fault.From(err).Ran, fault.RanUnknown)
			}
		})
	}
}

// applyOther applies the configuration of another operator without lost writes
// or replies.
func applyOther(s *fakeStore) {
	lose := s.lose
	s.lose = ""
	b := s.applier("b")
	plan, err := b.Plan(context.Background(), configFile(9), "ben")
	if err == nil {
		err = b.Apply(context.Background(), plan)
	}
	if err != nil {
		panic(err)
	}
	s.lose = lose
}

// TestApplyRetriedWrite guards against an apply that fails with a conflict with
// its own first write, when the store client retries the write after a lost
// reply.
func TestApplyRetriedWrite(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &fakeStore{}
	a := s.applier("a")
	put := a.Put
	a.Put = func(ctx context.Context, key string, data []byte, ifRevision uint64) (uint64, error) {
		_, err := put(ctx, key, data, ifRevision)
		is.NoErr(err)
		return put(ctx, key, data, ifRevision)
	}
	plan, err := a.Plan(ctx, configFile(1), "ana")
	is.NoErr(err)
	is.NoErr(a.Apply(ctx, plan))
}
