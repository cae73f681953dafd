package entry

import (
	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/decide/instance"
)

// SharesKey is the key, in the platform's store, of the record of limit shares:
// how each limit is divided between the data centres.
const SharesKey = "shares"

// readShares reads the record of limit shares and posts the result to the loop.
func (p *Process) readShares() {
	v, err := p.store.Get(p.callContext, SharesKey)
	ev := instance.SharesRead{Data: v.Data, Revision: v.Revision}
	if err != nil {
		ev.Failure = fault.From(err)
	}
	p.post(ev)
}

// writeShares writes the record with one compare-and-swap and posts the result
// to the loop. If the reply is lost, it does not find out whether the record
// was written: the core learns that when it next reads the record.
func (p *Process) writeShares(a instance.WriteShares) {
	_, err := p.store.Put(p.callContext, SharesKey, a.Data, a.Revision, "")
	ev := instance.SharesWritten{WriteNumber: a.WriteNumber}
	if err != nil {
		ev.Failure = fault.From(err)
	}
	p.post(ev)
}
