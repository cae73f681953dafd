package fleet

import (
	"fmt"
	"os"
	"sync/atomic"
)

// addresses counts the addresses that this process has allocated.
var addresses atomic.Uint32

// firstPort is below the usual range of ephemeral ports.
const firstPort = 10_000

// Address returns a loopback address that no other process of a test run uses:
// the middle bytes are derived from the process id, the last byte and the port
// from a counter. Only processes whose ids differ by a multiple of 62500 would
// get the same addresses.
func Address() string {
	n := int(addresses.Add(1) - 1)
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid/250%250, 1+pid%250, 1+n%250, firstPort+n/250)
}
