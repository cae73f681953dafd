package peer

import (
	"sync"

	"hornbeamlift.example/hornbeamlift/internal/schema/peerpb"
)

// queued is a message that waits for its stream, with its size in a frame.
type queued struct {
	message *peerpb.Message
	size    int
}

// queue holds the messages that wait for one stream. It has a lock because
// any goroutine may send.
type queue struct {
	mu     sync.Mutex
	items  []queued
	bytes  int
	closed bool
	// ready holds a token while items may be present.
	ready chan struct{}
}

func newQueue() *queue { return &queue{ready: make(chan struct{}, 1)} }

// push appends a message unless the queue is closed or full.
func (q *queue) push(item queued, maxMessages, maxBytes int) bool {
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

// take moves messages of at most maxBytes, and at least one if any waits, to
// batch and returns it.
func (q *queue) take(batch []queued, maxBytes int) []queued {
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
	if rest == 0 && cap(q.items) > keepItems {
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

// keepItems is the longest empty queue whose memory is kept.
const keepItems = 256

// close refuses further messages and returns those that wait.
func (q *queue) close() []queued {
	q.mu.Lock()
	defer q.mu.Unlock()
	items := q.items
	q.closed, q.items, q.bytes = true, nil, 0
	return items
}
