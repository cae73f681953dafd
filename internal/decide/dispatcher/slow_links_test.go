package dispatcher_test

import (
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
	"hornbeamlift.example/hornbeamlift/internal/decide/dispatcher"
)

// slowLinks delays the messages of links. Urgent messages overtake the others.
// What is sent while two instances cannot reach each other arrives later, unless
// the link ends.
type slowLinks struct {
	// delays holds the delay of messages that are not urgent, by the indexes of
	// the sender and the receiver.
	delays   map[[2]int]time.Duration
	channels map[channelID][]transit
}

// channelID identifies messages that arrive in order.
type channelID struct {
	from, to int
	urgent   bool
}

// transit is a message that has not arrived yet.
type transit struct {
	at      time.Time
	link    int
	from    ident.Process
	to      ident.Process
	message any
}

// maxLinkDelay is the longest delay of a message.
const maxLinkDelay = 400 * time.Millisecond

// delay delays the messages between two instances, in both directions, for a
// time d.
func (l *slowLinks) delay(f *fleet, n, o *simInstance, d time.Duration) {
	for _, link := range [][2]int{{n.index, o.index}, {o.index, n.index}} {
		l.delays[link] = time.Duration(f.rng.Int64N(int64(maxLinkDelay)))
		f.logf("messages from instance %d to %d take %v for %v", link[0], link[1], l.delays[link], d)
		f.at(d, func() { delete(l.delays, link) })
	}
}

func (l *slowLinks) send(f *fleet, n, o *simInstance, s dispatcher.Send) {
	id := channelID{from: n.index, to: o.index, urgent: s.Urgent}
	at := f.now.Add(time.Millisecond)
	if !s.Urgent {
		at = at.Add(l.delays[[2]int{n.index, o.index}])
	}
	queue := l.channels[id]
	if len(queue) > 0 && queue[len(queue)-1].at.After(at) {
		at = queue[len(queue)-1].at
	}
	l.channels[id] = append(queue, transit{at: at, link: f.linkNumbers[pair(n.index, o.index)], from: n.process, to: s.To, message: s.Message})
	if len(queue) == 0 {
		f.at(at.Sub(f.now), func() { l.arrive(f, id) })
	}
}

// arrive delivers the messages of a channel that are due.
func (l *slowLinks) arrive(f *fleet, id channelID) {
	o, link := f.instances[id.to], pair(id.from, id.to)
	if f.cutOff(id.from, id.to) {
		f.at(10*time.Millisecond, func() { l.arrive(f, id) })
		return
	}
	queue := l.channels[id]
	for len(queue) > 0 && !queue[0].at.After(f.now) {
		m := queue[0]
		queue = queue[1:]
		l.channels[id] = queue
		f.deliver(o, m.to, func() {
			if !id.urgent {
				f.logf("instance %d receives from %d: %T %+v", id.to, id.from, m.message, m.message)
			}
			if o.links[id.from] == m.from && f.linkNumbers[link] == m.link {
				f.apply(o, o.core.Receive(f.clock(o), m.from, m.message))
			}
		})
		queue = l.channels[id]
	}
	if len(queue) > 0 {
		f.at(queue[0].at.Sub(f.now), func() { l.arrive(f, id) })
	}
}
