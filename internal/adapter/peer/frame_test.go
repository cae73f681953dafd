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

// FuzzFrame guards against frames that cause a panic, memory beyond what has
// arrived, or a batch that differs from what a valid frame holds.
func FuzzFrame(f *testing.F) {
	const limit = 1 << 20
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bytes.NewReader(data)
		frame, err := readFrame(r, nil, limit)
		if cap(frame) > 2*(len(data)+readStep) {
			t.Fatalf("%d bytes are held for %d that arrived", cap(frame), len(data))
		}
		if err != nil {
			if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && fault.KindOf(err) != fault.PeerProtocol {
				t.Fatalf("untyped failure %v", err)
			}
			return
		}
		if want := data[prefixLength : prefixLength+len(frame)]; !bytes.Equal(frame, want) {
			t.Fatalf("%x was read as %x", want, frame)
		}
		batch, err := parseBatch(frame)
		if err != nil {
			if fault.KindOf(err) != fault.PeerProtocol {
				t.Fatalf("untyped failure %v", err)
			}
			return
		}
		var again frameBuilder
		again.reset()
		for _, m := range batch.GetMessages() {
			if err := again.addMessage(m); err != nil {
				t.Fatal(err)
			}
		}
		if err := again.addLoad(batch.GetLoad()); err != nil {
			t.Fatal(err)
		}
		copied := &peerpb.Batch{}
		if err := proto.Unmarshal(again.frame()[prefixLength:], copied); err != nil {
			t.Fatal(err)
		}
		batch.ProtoReflect().SetUnknown(nil)
		if !proto.Equal(batch, copied) {
			t.Fatalf("%v was encoded as %v", batch, copied)
		}
	})
}
