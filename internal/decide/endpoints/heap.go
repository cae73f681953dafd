package endpoints

// The heaps that an endpoint may stand in.
const (
	inChoice = iota // ready or reserve, never both
	inTimers
	heapKinds
)

// heap is a binary heap of endpoints that knows the position of each, so that
// one that changed is moved in logarithmic time. container/heap does the same
// through interface calls, which cost more than the rest of a Pick.
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

// topExcept returns the least endpoint whose id is not that of not, or nil. An
// id stands at most once in a heap, so the second least suffices.
func (h *heap) topExcept(not *endpoint) *endpoint {
	switch {
	case len(h.items) == 0 || h.items[0] != not:
		return h.top()
	case len(h.items) == 1:
		return nil
	case len(h.items) == 2 || h.less(h.items[1], h.items[2]):
		return h.items[1]
	default:
		return h.items[2]
	}
}

// contains reports whether e stands in the heap.
func (h *heap) contains(e *endpoint) bool {
	i := e.at[h.kind]
	return i < len(h.items) && h.items[i] == e
}

// set puts e into the heap, or takes it out, and restores the order after any
// change of e alone.
func (h *heap) set(e *endpoint, in bool) {
	present := h.contains(e)
	switch {
	case in && present:
		h.fix(e.at[h.kind])
	case in:
		e.at[h.kind] = len(h.items)
		h.items = append(h.items, e)
		h.fix(e.at[h.kind])
	case present:
		i, last := e.at[h.kind], len(h.items)-1
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
	h.items[i].at[h.kind], h.items[j].at[h.kind] = i, j
}

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
