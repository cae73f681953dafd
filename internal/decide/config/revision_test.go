package config_test

import (
	"fmt"
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/config"
	"hornbeamlift.example/hornbeamlift/internal/schema/configpb"
	"hornbeamlift.example/hornbeamlift/internal/standin/rapidseed"
)

var appliedAt = time.UnixMilli(1_700_000_000_000)

func revisionFile(maxRunning uint32) *configpb.File {
	return &configpb.File{Services: []*configpb.Service{{Name: "press", MaxRunning: maxRunning}}}
}

// TestMain sets a fixed seed for the property-based tests.
func TestMain(m *testing.M) { rapidseed.Run(m, nil) }

// TestHolderNeverReverts guards against a holder that goes back to an older
// revision, accepts content that does not match its hash, or replaces a
// revision by another one of the same number. It compares the holder with the
// newest revision in a list of all accepted ones.
func TestHolderNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h config.Holder
		var accepted []*configpb.Revision
		for range rapid.IntRange(1, 30).Draw(t, "updates") {
			base := &configpb.Revision{Revision: rapid.Uint64Range(0, 6).Draw(t, "base")}
			limit := rapid.Uint32Range(0, 2).Draw(t, "limit")
			rev := config.Next(base, revisionFile(limit), "id-"+strconv.Itoa(int(limit)), "ana", appliedAt)
			// "sum" is a hash that does not match, "rule" an invalid value.
			defect := rapid.SampledFrom([]string{"no", "no", "no", "sum", "rule"}).Draw(t, "broken")
			switch defect {
			case "sum":
				rev.File.Services[0].MaxRunning += 7
			case "rule":
				rev.File.Services[0].ResponseWeight = math.NaN()
				rev.Sha256 = config.FileSHA256(rev.File)
			}
			newest := &configpb.Revision{}
			for _, r := range accepted {
				if r.GetRevision() > newest.GetRevision() {
					newest = r
				}
			}
			wantChanged := defect == "no" && rev.GetRevision() > newest.GetRevision()
			wantErr := rev.GetRevision() >= newest.GetRevision() && defect != "no" ||
				rev.GetRevision() == newest.GetRevision() && !proto.Equal(rev, newest)
			changed, err := h.Update(rev)
			if changed != wantChanged || (err != nil) != wantErr {
				t.Fatalf("update to %v from %v: changed %v, %v", rev, newest, changed, err)
			}
			if changed {
				accepted = append(accepted, rev)
				newest = rev
			}
			if !proto.Equal(h.Revision(), newest) && len(accepted) > 0 {
				t.Fatalf("holds %v instead of %v", h.Revision(), newest)
			}
			if s := h.Snapshot(); s != nil && uint64(s.Revision()) != newest.GetRevision() {
				t.Fatalf("snapshot of revision %v instead of %v", s.Revision(), newest.GetRevision())
			}
		}
	})
}

// TestUpdateRejectsMalformedRevision guards against an accepted revision
// without number, file or matching hash, against fields of a newer schema that
// are ignored, and against a held revision that changes when the caller
// modifies its own one.
func TestUpdateRejectsMalformedRevision(t *testing.T) {
	validRevision := func() *configpb.Revision { return config.Next(nil, revisionFile(1), "id", "ana", appliedAt) }
	cases := map[string]struct {
		change func(*configpb.Revision)
		field  string
	}{
		"zero number": {func(r *configpb.Revision) { r.Revision = 0 }, "revision"},
		"no file":     {func(r *configpb.Revision) { r.File = nil }, "file"},
		"no hash":     {func(r *configpb.Revision) { r.Sha256 = "" }, "sha256"},
		"not UTF-8":   {func(r *configpb.Revision) { r.Sha256, r.File.Services[0].Name = "", "\xff" }, "sha256"},
		"unknown field": {func(r *configpb.Revision) {
			r.File.Services[0].ProtoReflect().SetUnknown([]byte{0x98, 0x06, 0x01})
			r.Sha256 = config.FileSHA256(r.File)
		}, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rev := validRevision()
			c.change(rev)
			var h config.Holder
			changed, err := h.Update(rev)
			is.True(!changed)
			is.Equal(fault.KindOf(err), fault.ConfigInvalid)
			is.Equal(fault.From(err).Field, c.field)
			is.True(h.Snapshot() == nil)
		})
	}
	var h config.Holder
	rev := validRevision()
	_, err := h.Update(rev)
	is := is.New(t)
	is.NoErr(err)
	rev.File.Services[0].MaxRunning = 99 // Update made a copy
	is.Equal(h.Revision().GetFile().GetServices()[0].GetMaxRunning(), uint32(1))
}

// TestApplied guards against an apply that is reported as not applied although
// it took effect before up to seven others, and against an empty id that
// matches.
func TestApplied(t *testing.T) {
	is := is.New(t)
	var rev *configpb.Revision
	for i := range 9 {
		rev = config.Next(rev, revisionFile(1), fmt.Sprint("apply-", i), "ana", appliedAt)
	}
	is.Equal(rev.GetRevision(), uint64(9))
	is.True(config.Applied(rev, "apply-8"))
	is.True(config.Applied(rev, "apply-1"))
	is.True(!config.Applied(rev, "apply-0")) // eight others came later
	is.True(!config.Applied(rev, ""))
	is.True(!config.Applied(nil, "apply-1"))
}

// TestSnapshotDefaultsAndAccess guards against missing defaults, and against
// teams and data centres that are allowed or refused wrongly.
func TestSnapshotDefaultsAndAccess(t *testing.T) {
	is := is.New(t)
	var h config.Holder
	_, err := h.Update(config.Next(nil, example(t), "id", "ana", appliedAt))
	is.NoErr(err)
	s := h.Snapshot()
	is.Equal(s.Revision(), ident.Revision(1))
	is.Equal(s.SHA256(), h.Revision().GetSha256())
	press, ok := s.Service("sheet-press")
	is.True(ok)
	is.Equal(press.ExpectedRunTime, 1500*time.Millisecond)
	is.Equal(press.Objective, config.Objective{ResponseTime: 10 * time.Second, Share: 0.999})
	shop, ok := s.Team("shop")
	is.True(ok)
	is.Equal(shop.FloorShare, 0.5)
	is.NoErr(s.CheckAccess("shop", "sheet-render"))
	is.Equal(fault.KindOf(s.CheckAccess("shop", "sheet-press")), fault.NotAllowed)
	is.Equal(fault.KindOf(s.CheckAccess("shop", "none")), fault.UnknownService)
	is.Equal(fault.KindOf(s.CheckAccess("none", "sheet-press")), fault.UnknownTeam)
	is.True(s.MayRun("sheet-press", "penang-2"))
	is.True(!s.MayRun("sheet-press", "pereira-1"))
	is.True(!s.MayRun("none", "penang-2"))

	var minimal config.Holder
	_, err = minimal.Update(config.Next(nil, revisionFile(0), "id", "ana", appliedAt))
	is.NoErr(err)
	press, _ = minimal.Snapshot().Service("press")
	is.Equal(press.MaxQueued, 10000)
	is.Equal(press.ExpectedRunTime, 200*time.Millisecond)
	is.True(minimal.Snapshot().MayRun("press", "anywhere"))
}

func ExampleDiff() {
	before := revisionFile(40)
	after := revisionFile(48)
	after.Services[0].DataCentres = []string{"penang-1", "penang-2"}
	after.Teams = []*configpb.Team{{Name: "shop"}}
	for _, line := range config.Diff(before, after) {
		fmt.Println(line)
	}
	// Output:
	// services[press].data-centres: unset -> [penang-1, penang-2]
	// services[press].max-running: 40 -> 48
	// teams[shop].name: unset -> "shop"
}

func ExampleConflict() {
	winner := config.Next(nil, revisionFile(1), "id", "ana", appliedAt)
	fmt.Println(config.Conflict(winner))
	// Output: apply-conflict: operator "ana" applied revision 1 first; check it and apply again
}
