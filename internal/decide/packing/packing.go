// Package packing chooses which of several waiting tasks takes the free room of
// an endpoint. It answers a load of tasks that take between a third and three
// quarters of an endpoint each: where each gap goes to the first task that fits,
// an eighth of the room stays unused, and the large tasks wait longest.
package packing

import "slices"

// tolerance is the part of the gap that may stay unused for the sake of the
// order of the tasks.
const tolerance = 0.03

// Choose returns the position of the task that takes a gap next, or -1 if none
// fits. The sizes of the tasks are in the order in which they should start. Those
// that are not eligible, and all beyond that list, can only fill up what the
// chosen one leaves. The choice is the first task with which nearly the whole gap
// is used, together with up to two others, or else the one with which most of it
// is.
func Choose(gap float64, sizes []float64, eligible []bool) int {
	ascending := slices.Clone(sizes)
	slices.Sort(ascending)
	best, bestUsed := -1, 0.0
	for i, mayTake := range eligible {
		size := sizes[i]
		if size > gap || !mayTake {
			continue
		}
		if used := size + complement(gap-size, ascending, size); best < 0 || used > bestUsed {
			best, bestUsed = i, used
		}
		if bestUsed >= gap*(1-tolerance) {
			break
		}
	}
	return best
}

// complement returns the room that up to two further tasks use of a gap: the
// largest that fits, and the largest that fits beside it. The task of size chosen
// is taken already.
func complement(gap float64, ascending []float64, chosen float64) float64 {
	self, _ := slices.BinarySearch(ascending, chosen)
	first := largest(gap, ascending, self, -1)
	if first < 0 {
		return 0
	}
	second := largest(gap-ascending[first], ascending, self, first)
	if second < 0 {
		return ascending[first]
	}
	return ascending[first] + ascending[second]
}

// largest returns the position of the largest task that fits and is neither of
// the two that are taken, or -1.
func largest(gap float64, ascending []float64, taken, alsoTaken int) int {
	end, _ := slices.BinarySearchFunc(ascending, gap, func(size, gap float64) int {
		if size <= gap {
			return -1
		}
		return 1
	})
	for i := end - 1; i >= 0; i-- {
		if i != taken && i != alsoTaken {
			return i
		}
	}
	return -1
}
