package config

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"hornbeamlift.example/hornbeamlift/internal/schema/configpb"
)

// Holder keeps the newest configuration that was offered. Offer is called by
// one goroutine; the other methods are safe for concurrent use.
type Holder struct {
	held atomic.Pointer[held]
}

type held struct {
	revision *configpb.Revision
	snapshot *Snapshot
}

// Offer puts a revision in force when it is higher than the present one, and
// reports whether it did. An older revision, or the present one again, changes
// nothing and is no error. The failure has kind fault.ConfigInvalid: the hash
// is wrong, a rule is broken, or the present revision has other content.
func (h *Holder) Offer(rev *configpb.Revision) (changed bool, err error) {
	current := h.Current()
	if rev.GetRevision() < current.GetRevision() {
		return false, nil
	}
	if err := checkRevision(rev); err != nil {
		return false, err
	}
	if rev.GetRevision() == current.GetRevision() {
		if rev.GetSha256() == current.GetSha256() && rev.GetApplyId() == current.GetApplyId() {
			return false, nil
		}
		return false, invalid("revision", "the revision in force has the same number and other content")
	}
	rev = proto.Clone(rev).(*configpb.Revision)
	h.held.Store(&held{revision: rev, snapshot: newSnapshot(rev)})
	return true, nil
}

// InForce returns the present configuration, or nil before the first one.
func (h *Holder) InForce() *Snapshot {
	if held := h.held.Load(); held != nil {
		return held.snapshot
	}
	return nil
}

// Current returns the present revision as it was offered, or nil before the
// first one. It must not be modified.
func (h *Holder) Current() *configpb.Revision {
	if held := h.held.Load(); held != nil {
		return held.revision
	}
	return nil
}

// checkRevision checks the number, the hash and the rules of a revision.
func checkRevision(rev *configpb.Revision) error {
	if rev == nil || rev.GetRevision() == 0 {
		return invalid("revision", "must be above 0")
	}
	if rev.GetFile() == nil {
		return invalid("file", "is absent")
	}
	if sum := Sum(rev.GetFile()); sum == "" || rev.GetSha256() != sum {
		return invalid("sha256", "does not match the file")
	}
	return Validate(rev.GetFile())
}
