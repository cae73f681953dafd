package fairqueue

import "time"

// notInHeap is the heap index of a task that is not in the deadline heap.
const notInHeap = -1

// deadlineHeap is a binary heap of the waiting tasks, ordered by deadline. Each
// queuedTask stores its index, so that a task can be removed at once. With lazy
// deletion, removed tasks would stay in the heap, and the rebuilds that drop
// them would stall the control loop.
type deadlineHeap []deadlineItem

// deadlineItem is one element of the heap.
type deadlineItem struct {
	at     time.Time
	queued *queuedTask
}

// push adds a task that has a deadline.
func (h *deadlineHeap) push(e *queuedTask) {
	*h = append(*h, deadlineItem{at: e.task.Deadline, queued: e})
	h.up(len(*h) - 1)
}

// remove removes the element at index i.
func (h *deadlineHeap) remove(i int) {
	s := *h
	s[i].queued.heapIndex = notInHeap
	last := len(s) - 1
	moved := s[last]
	s[last] = deadlineItem{}
	*h = s[:last]
	if i < last {
		s[i] = moved
		h.down(i)
		h.up(moved.queued.heapIndex)
	}
}

// up moves the element at index i towards the root and updates the stored
// indexes.
func (h *deadlineHeap) up(i int) {
	s := *h
	d := s[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !d.at.Before(s[parent].at) {
			break
		}
		s[i] = s[parent]
		s[i].queued.heapIndex = i
		i = parent
	}
	s[i] = d
	d.queued.heapIndex = i
}

// down moves the element at index i towards the leaves and updates the stored
// indexes.
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
		s[i].queued.heapIndex = i
		i = child
	}
	s[i] = d
	d.queued.heapIndex = i
}
