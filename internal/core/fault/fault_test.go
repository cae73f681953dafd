package fault_test

import (
	"fmt"
	"io"
	"testing"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
)

func ExampleError_Error() {
	err := fault.New(fault.BadField, fault.RanNo).WithField("tasks[3].deadline-ms").WithDetail("must be above 0")
	fmt.Println(err)
	// Output: bad-field (tasks[3].deadline-ms): must be above 0
}

// TestFrom guards against errors that lose their kind when wrapped.
func TestFrom(t *testing.T) {
	is := is.New(t)
	inner := fault.New(fault.QueueFull, fault.RanNo)
	is.Equal(fault.KindOf(fault.Wrap(io.EOF, fault.PeerProtocol, fault.RanNo)), fault.PeerProtocol)
	is.Equal(fault.From(inner), inner)
	is.Equal(fault.KindOf(io.EOF), fault.Internal)
	is.Equal(fault.KindOf(nil), fault.Kind(""))
}
