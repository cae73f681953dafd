package peer

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"google.golang.org/protobuf/proto"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// FuzzFrame guards against frames that cause a panic, that allocate much more
// memory than the bytes received, or that decode to another batch than the one
// they encode.
func FuzzFrame(f *testing.F) {
	const limit = 1 << 20
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bytes.NewReader(data)
		frame, err := readFrame(r, nil, limit)
		if cap(frame) > 2*(len(data)+readChunk) {
			t.Fatalf("%d bytes allocated for %d bytes received", cap(frame), len(data))
		}
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && fault.KindOf(err) != fault.PeerProtocol {
				t.Fatalf("unexpected error kind: %v", err)
			}
			return
		}
		if want := data[prefixLength : prefixLength+len(frame)]; !bytes.Equal(frame, want) {
			t.Fatalf("frame %x was read as %x", want, frame)
		}
		batch, err := parseBatch(frame)
		if err != nil {
			if fault.KindOf(err) != fault.PeerProtocol {
				t.Fatalf("unexpected error kind: %v", err)
			}
			return
		}
		var reencoded frameBuilder
		reencoded.reset()
		for _, m := range batch.GetMessages() {
			if err := reencoded.addMessage(m); err != nil {
				t.Fatal(err)
			}
		}
		if err := reencoded.addLoads(batch.GetLoad()); err != nil {
			t.Fatal(err)
		}
		decoded := &peerpb.Batch{}
		if err := proto.Unmarshal(reencoded.frame()[prefixLength:], decoded); err != nil {
			t.Fatal(err)
		}
		batch.ProtoReflect().SetUnknown(nil)
		if !proto.Equal(batch, decoded) {
			t.Fatalf("batch %v was encoded as %v", batch, decoded)
		}
	})
}
