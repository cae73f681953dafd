package peer

import (
	"sync"

	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// queuedMessage is a message that waits to be written, with its size in a
// frame in bytes.
type queuedMessage struct {
	message *peerpb.Message
	size    int
}

// queue holds the messages that wait to be written to one stream. It has a
// lock because any goroutine may send.
type queue struct {
	mu     sync.Mutex
	items  []queuedMessage
	bytes  int
	closed bool
	// ready holds an element while there may be items.
	ready chan struct{}
}

func newQueue() *queue { return &queue{ready: make(chan struct{}, 1)} }

// push appends a message. It returns false if the queue is closed or full.
func (q *queue) push(item queuedMessage, maxMessages, maxBytes int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || len(q.items) >= maxMessages || q.bytes+item.size > maxBytes {
		return false
	}
	q.items = append(q.items, item)
	q.bytes += item.size
	select {
	case q.ready <- struct{}{}:
	default:
	}
	return true
}

// take moves messages of at most maxBytes in total from the queue to batch and
// returns batch. It takes at least one message if there is any, whatever its
// size.
func (q *queue) take(batch []queuedMessage, maxBytes int) []queuedMessage {
	q.mu.Lock()
	defer q.mu.Unlock()
	n, size := 0, 0
	for n < len(q.items) && (n == 0 || size+q.items[n].size <= maxBytes) {
		size += q.items[n].size
		n++
	}
	batch = append(batch, q.items[:n]...)
	rest := copy(q.items, q.items[n:])
	clear(q.items[rest:])
	q.items = q.items[:rest]
	if rest == 0 && cap(q.items) > maxRetainedItems {
		q.items = nil
	}
	q.bytes -= size
	if rest > 0 {
		select {
		case q.ready <- struct{}{}:
		default:
		}
	}
	return batch
}

// maxRetainedItems is the largest capacity, in messages, that an empty queue
// keeps allocated.
const maxRetainedItems = 256

// close makes push reject further messages and returns those that wait.
func (q *queue) close() []queuedMessage {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.closed, q.items, q.bytes = true, nil, 0
	return items
}
