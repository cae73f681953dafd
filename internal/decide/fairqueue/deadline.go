package fairqueue

import "time"

// noDeadline is the heap position of a task without a deadline.
const noDeadline = -1

// deadlineHeap is a binary heap of the waiting tasks by deadline. Each entry
// knows its position, so a removed task leaves nothing behind and no rebuild
// stalls the control loop.
type deadlineHeap []deadline

type deadline struct {
	at    time.Time
	entry *entry
}

func (h *deadlineHeap) push(e *entry) {
	*h = append(*h, deadline{at: e.task.Deadline, entry: e})
	h.up(len(*h) - 1)
}

func (h *deadlineHeap) remove(i int) {
	s := *h
	s[i].entry.position = noDeadline
	last := len(s) - 1
	moved := s[last]
	s[last] = deadline{}
	*h = s[:last]
	if i < last {
		s[i] = moved
		h.down(i)
		h.up(moved.entry.position)
	}
}

// up moves the element at i towards the root and records its position.
func (h *deadlineHeap) up(i int) {
	s := *h
	d := s[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !d.at.Before(s[parent].at) {
			break
		}
		s[i] = s[parent]
		s[i].entry.position = i
		i = parent
	}
	s[i] = d
	d.entry.position = i
}

// down moves the element at i towards the leaves and records its position.
func (h *deadlineHeap) down(i int) {
	s := *h
	d := s[i]
	for {
		child := 2*i + 1
		if child >= len(s) {
			break
		}
		if child+1 < len(s) && s[child+1].at.Before(s[child].at) {
			child++
		}
		if !s[child].at.Before(d.at) {
			break
		}
		s[i] = s[child]
		s[i].entry.position = i
		i = child
	}
	s[i] = d
	d.entry.position = i
}
