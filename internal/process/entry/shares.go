package entry

import (
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/decide/instance"
)

// SharesKey is the key of the record of limit shares in the platform's store.
const SharesKey = "shares"

// readShares reads the record of the shares and reports it.
func (p *Process) readShares() {
	v, err := p.store.Get(p.callContext, SharesKey)
	ev := instance.SharesRead{Data: v.Data, Revision: v.Revision}
	if err != nil {
		ev.Failure = fault.From(err)
	}
	p.post(ev)
}

// writeShares makes one compare-and-swap. It does not resolve a lost reply:
// the core learns the outcome from the record when it reads it next.
func (p *Process) writeShares(a instance.WriteShares) {
	_, err := p.store.Put(p.callContext, SharesKey, a.Data, a.Revision, "")
	ev := instance.SharesWritten{Attempt: a.Attempt}
	if err != nil {
		ev.Failure = fault.From(err)
	}
	p.post(ev)
}
