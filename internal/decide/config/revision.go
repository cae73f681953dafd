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

// maxApplyIDs is the number of recent apply ids that a revision keeps. An apply
// whose reply was lost is recognised unless eight others succeed before the
// client reads the revision back.
const maxApplyIDs = 8

// maxValueBytes is the maximum size of a value in the platform's store.
const maxValueBytes = 1_000_000

// FileSHA256 returns the SHA-256 of the file's deterministic protobuf encoding,
// in hexadecimal. A revision contains the parsed file and not the operator's
// bytes, so an instance can check only a hash of the parsed content. A file
// with text that is not UTF-8 cannot be encoded; its hash is the empty string.
func FileSHA256(file *configpb.File) string {
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
		Sha256:         FileSHA256(file),
		File:           file,
		RecentApplyIds: ids[:min(len(ids), maxApplyIDs)],
	}
}

// Applied reports whether the apply with the given id took effect. It looks for
// the id in the current revision of the store, also among its recent apply ids,
// since later applies may have succeeded.
func Applied(current *configpb.Revision, applyID string) (applied bool) {
	return applyID != "" && (current.GetApplyId() == applyID || slices.Contains(current.GetRecentApplyIds(), applyID))
}

// Conflict returns the error of an apply that lost to a concurrent one. It
// names the operator and the number of the current revision.
func Conflict(current *configpb.Revision) *fault.Error {
	return fault.New(fault.ApplyConflict, fault.RanNo).WithDetail(
		"operator " + strconv.Quote(current.GetOperator()) + " applied revision " +
			strconv.FormatUint(current.GetRevision(), 10) + " first; check it and apply again")
}

// Marshal encodes a revision as the value that is kept in the store. The error
// has kind fault.ConfigInvalid.
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

// Unmarshal decodes the value that is kept in the store. It does not validate
// the revision; Holder.Update does. The error has kind fault.ConfigInvalid.
func Unmarshal(data []byte) (*configpb.Revision, error) {
	rev := &configpb.Revision{}
	if err := protojson.Unmarshal(data, rev); err != nil {
		return nil, fault.Wrap(err, fault.ConfigInvalid, fault.RanNo)
	}
	return rev, nil
}
