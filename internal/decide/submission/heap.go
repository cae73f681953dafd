package submission

// deadlineHeap orders open entries by deadline, for container/heap.
type deadlineHeap []*Entry

func (h deadlineHeap) Len() int { return len(h) }

func (h deadlineHeap) Less(i, j int) bool {
	return h[i].Submission.Deadline.Before(h[j].Submission.Deadline)
}

func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push appends an entry.
func (h *deadlineHeap) Push(x any) {
	e := x.(*Entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop removes the last entry.
func (h *deadlineHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}
