package ident_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamlift.example/hornbeamlift/internal/core/fault"
	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

func ExampleSubmissionID_String() {
	id := ident.SubmissionID{
		DataCentre:  "penang-1",
		Instance:    "entry-1",
		Incarnation: 0x19ae,
		Issued:      90 * time.Second,
		Sequence:    37,
	}
	fmt.Println(id)
	// Output: penang-1.entry-1.19ae.1xg0.11
}

// TestParseSubmissionID guards against ids that are parsed to another value
// than they were formatted from, and against malformed ids that are accepted.
func TestParseSubmissionID(t *testing.T) {
	cases := map[string]struct {
		text string
		ok   bool
	}{
		"valid":             {"penang-1.entry-1.19ae.1xg0.11", true},
		"empty":             {"", false},
		"four parts":        {"penang-1.entry-1.19ae.1xg0", false},
		"six parts":         {"penang-1.entry-1.19ae.1xg0.11.2", false},
		"upper case name":   {"Penang.entry-1.19ae.1xg0.11", false},
		"negative time":     {"penang-1.entry-1.19ae.-1.11", false},
		"time out of range": {"penang-1.entry-1.19ae.1y2p0ij32e8e7.11", false},
		"sequence zero":     {"penang-1.entry-1.19ae.1xg0.0", false},
		"wide incarnation":  {"penang-1.entry-1.1ffffffffffffffff.1xg0.11", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			id, err := ident.ParseSubmissionID(c.text)
			is.Equal(err == nil, c.ok)
			if c.ok {
				is.Equal(id.String(), c.text)
				return
			}
			is.Equal(fault.KindOf(err), fault.BadField)
		})
	}
}

// FuzzParseSubmissionID guards against panics and against ids that change in a
// round trip through String and ParseSubmissionID.
func FuzzParseSubmissionID(f *testing.F) {
	f.Add("penang-1.entry-1.19ae.1xg0.11")
	f.Add("....")
	f.Fuzz(func(t *testing.T, s string) {
		id, err := ident.ParseSubmissionID(s)
		if err != nil {
			return
		}
		again, err := ident.ParseSubmissionID(id.String())
		if err != nil || again != id {
			t.Fatalf("%q was parsed as %v, and that as %v (error: %v)", s, id, again, err)
		}
	})
}
