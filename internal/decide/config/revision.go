package config

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/schema/configpb"
)

// keptApplyIDs is how many apply ids a revision remembers. An apply whose
// reply was lost is recognised unless eight others succeed before it reads the
// value back.
const keptApplyIDs = 8

// maxValueBytes is the largest value that the platform's store holds.
const maxValueBytes = 1_000_000

// Sum returns the SHA-256 of the file's deterministic protobuf encoding, in
// hexadecimal. A revision carries the parsed file and not the operator's
// bytes, so only a hash of the parsed content can be checked by an instance.
// A file with text that is not UTF-8 has no encoding and an empty sum.
func Sum(file *configpb.File) string {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(file)
	if err != nil {
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Next returns the revision that follows current, which is nil when there is
// none yet. The file must be valid.
func Next(current *configpb.Revision, file *configpb.File, applyID, operator string, now time.Time) *configpb.Revision {
	ids := append([]string{applyID}, current.GetRecentApplyIds()...)
	return &configpb.Revision{
		Revision:       current.GetRevision() + 1,
		ApplyId:        applyID,
		Operator:       operator,
		AppliedAtMs:    now.UnixMilli(),
		Sha256:         Sum(file),
		File:           file,
		RecentApplyIds: ids[:min(len(ids), keptApplyIDs)],
	}
}

// Outcome reports whether the apply took effect, judged by the value that the
// store holds now. The apply may since have been followed by others.
func Outcome(current *configpb.Revision, applyID string) (applied bool) {
	return applyID != "" && (current.GetApplyId() == applyID || slices.Contains(current.GetRecentApplyIds(), applyID))
}

// Conflict returns the failure of an apply that another one preceded. It names
// the operator and the revision of the winner.
func Conflict(current *configpb.Revision) *fault.Error {
	return fault.New(fault.ApplyConflict, fault.RanNo).WithDetail(
		"operator " + strconv.Quote(current.GetOperator()) + " applied revision " +
			strconv.FormatUint(current.GetRevision(), 10) + " first; check it and apply again")
}

// Marshal returns the value that the store keeps. The failure has kind
// fault.ConfigInvalid.
func Marshal(rev *configpb.Revision) ([]byte, error) {
	data, err := protojson.Marshal(rev)
	if err != nil {
		return nil, fault.Wrap(err, fault.ConfigInvalid, fault.RanNo)
	}
	if len(data) > maxValueBytes {
		return nil, invalid("", "the configuration is larger than the store's limit of 1 MB")
	}
	return data, nil
}

// Unmarshal reads the value that the store keeps. Holder.Offer checks what it
// holds. The failure has kind fault.ConfigInvalid.
func Unmarshal(data []byte) (*configpb.Revision, error) {
	rev := &configpb.Revision{}
	if err := protojson.Unmarshal(data, rev); err != nil {
		return nil, fault.Wrap(err, fault.ConfigInvalid, fault.RanNo)
	}
	return rev, nil
}
