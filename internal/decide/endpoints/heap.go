package endpoints

// The kinds of heaps that may contain an endpoint, as indexes of
// endpoint.heapIndex. An endpoint is in at most one heap of each kind.
const (
	choiceHeap = iota // Pool.preferred or Pool.reserve
	timerHeap
	heapKindCount
)

// heap is a binary heap of endpoints. Each endpoint stores its index, so that
// its position can be corrected in logarithmic time after a change. With
// container/heap, the interface calls would cost more than the rest of a Pick.
type heap struct {
	items []*endpoint
	less  func(a, b *endpoint) bool
	kind  int
}

// top returns the least endpoint, or nil.
func (h *heap) top() *endpoint {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}

// topExcept returns the least endpoint other than excluded, or nil. An endpoint
// is in the heap at most once, so the result is the least or the second least.
func (h *heap) topExcept(excluded *endpoint) *endpoint {
	switch {
	case len(h.items) == 0 || h.items[0] != excluded:
		return h.top()
	case len(h.items) == 1:
		return nil
	case len(h.items) == 2 || h.less(h.items[1], h.items[2]):
		return h.items[1]
	default:
		return h.items[2]
	}
}

// contains reports whether e is in the heap.
func (h *heap) contains(e *endpoint) bool {
	i := e.heapIndex[h.kind]
	return i < len(h.items) && h.items[i] == e
}

// set adds e to the heap, removes it, or corrects its position after a change
// of e, so that afterwards the heap contains e only if in is true.
func (h *heap) set(e *endpoint, in bool) {
	present := h.contains(e)
	switch {
	case in && present:
		h.fix(e.heapIndex[h.kind])
	case in:
		e.heapIndex[h.kind] = len(h.items)
		h.items = append(h.items, e)
		h.fix(e.heapIndex[h.kind])
	case present:
		i, last := e.heapIndex[h.kind], len(h.items)-1
		h.swap(i, last)
		h.items[last] = nil
		h.items = h.items[:last]
		if i < last {
			h.fix(i)
		}
	}
}

// clear empties the heap.
func (h *heap) clear() {
	clear(h.items)
	h.items = h.items[:0]
}

func (h *heap) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].heapIndex[h.kind], h.items[j].heapIndex[h.kind] = i, j
}

// fix moves the endpoint at index i up or down until the heap order holds.
func (h *heap) fix(i int) {
	for i > 0 && h.less(h.items[i], h.items[(i-1)/2]) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	for {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.items); child++ {
			if h.less(h.items[child], h.items[least]) {
				least = child
			}
		}
		if least == i {
			return
		}
		h.swap(i, least)
		i = least
	}
}
