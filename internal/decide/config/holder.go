package config

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"hornbeamlift.example/hornbeamlift/internal/schema/configpb"
)

// Holder holds the newest valid configuration that was passed to Update. Only
// one goroutine may call Update; the other methods are safe for concurrent use.
type Holder struct {
	held atomic.Pointer[heldRevision]
}

// heldRevision is a revision with its snapshot.
type heldRevision struct {
	revision *configpb.Revision
	snapshot *Snapshot
}

// Update replaces the current revision by a copy of rev if the number of rev is
// higher, and reports whether it did. An older revision, or the current one
// again, is ignored without an error. Update returns an error of kind
// fault.ConfigInvalid if the number or file is missing, the hash does not
// match, the file is invalid, or the current revision has the same number but
// different content.
func (h *Holder) Update(rev *configpb.Revision) (changed bool, err error) {
	current := h.Revision()
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
		return false, invalid("revision", "the current revision has the same number but different content")
	}
	rev = proto.Clone(rev).(*configpb.Revision)
	h.held.Store(&heldRevision{revision: rev, snapshot: newSnapshot(rev)})
	return true, nil
}

// Snapshot returns the snapshot of the current revision, or nil before the
// first one.
func (h *Holder) Snapshot() *Snapshot {
	if held := h.held.Load(); held != nil {
		return held.snapshot
	}
	return nil
}

// Revision returns the current revision, with its number and file, as it was
// passed to Update, or nil before the first one. It must not be modified.
func (h *Holder) Revision() *configpb.Revision {
	if held := h.held.Load(); held != nil {
		return held.revision
	}
	return nil
}

// checkRevision checks the number and hash of a revision and validates its
// file.
func checkRevision(rev *configpb.Revision) error {
	if rev == nil || rev.GetRevision() == 0 {
		return invalid("revision", "must be above 0")
	}
	if rev.GetFile() == nil {
		return invalid("file", "is missing")
	}
	if sum := FileSHA256(rev.GetFile()); sum == "" || rev.GetSha256() != sum {
		return invalid("sha256", "does not match the file")
	}
	return Validate(rev.GetFile())
}
