package packing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/decide/packing"
)

func ExampleChoose() {
	// Half of an endpoint is free: the second task fills it.
	all := []bool{true, true, true}
	fmt.Println(packing.Choose(0.5, []float64{0.35, 0.49, 0.6}, all))
	// The first task fits only, but the third one fills what it leaves.
	fmt.Println(packing.Choose(1, []float64{0.6, 0.55, 0.4}, all))
	// The second task cannot wait.
	fmt.Println(packing.Choose(0.5, []float64{0.5, 0.35}, []bool{false, true}))
	// Output:
	// 1
	// 0
	// 1
}

// TestChoose compares the room that is used in the end with the best use by up to
// three tasks, found by trying all. It guards against a choice that leaves room
// unused which other tasks would fill, and against one that does not fit or is not
// eligible.
func TestChoose(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(3, 36))
	used, best, worst := 0.0, 0.0, 1.0
	for range 2000 {
		gap := 0.3 + 0.7*rnd.Float64()
		sizes, eligible := make([]float64, 1+rnd.IntN(9)), make([]bool, 0)
		for i := range sizes {
			sizes[i] = float64(5+rnd.IntN(16)) / 30 // some are equal
			eligible = append(eligible, rnd.IntN(4) > 0)
		}
		most := bestUse(gap, sizes, eligible)
		i := packing.Choose(gap, sizes, eligible)
		if i < 0 {
			is.Equal(most, 0.0)
			continue
		}
		is.True(eligible[i])
		is.True(sizes[i] <= gap)
		withChosen := bestUse(gap, sizes, only(len(sizes), i))
		used, best, worst = used+withChosen, best+most, min(worst, withChosen/most)
	}
	t.Logf("%.4f of the best use, %.3f in the worst case", used/best, worst)
	is.True(used/best >= 0.99)
	is.True(worst >= 2.0/3) // what fills up is chosen greedily
}

// only returns a list in which just one position is set.
func only(n, i int) []bool {
	list := make([]bool, n)
	list[i] = true
	return list
}

// bestUse returns the most room that up to three tasks use of which one is
// eligible.
func bestUse(gap float64, sizes []float64, eligible []bool) float64 {
	best := 0.0
	for set := 1; set < 1<<len(sizes); set++ {
		used, n, hasEligible := 0.0, 0, false
		for i, size := range sizes {
			if set>>i&1 == 1 {
				used, n, hasEligible = used+size, n+1, hasEligible || eligible[i]
			}
		}
		if hasEligible && n <= 3 && used <= gap+1e-9 && used > best {
			best = used
		}
	}
	return best
}
