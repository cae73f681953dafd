package dispatcher

import (
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/owner"
)

// CrashReport tells a peer which tasks were on endpoints that crashed.
type CrashReport []owner.CrashRecord

// reportCrashes sends records of crashes to peers, which need them as the next
// owner.
func (c *Core) reportCrashes(records []owner.CrashRecord, peers ...ident.Process) {
	if len(records) == 0 {
		return
	}
	for _, peer := range peers {
		c.pending = append(c.pending, Send{To: peer, Message: CrashReport(records)})
	}
}
