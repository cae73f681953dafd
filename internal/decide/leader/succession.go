package leader

import (
	"maps"
	"slices"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

// succeed asks the others to answer when the owner is gone. It may have a
// successor when a majority has answered, or all that are linked; after half the
// silence, whoever has not is silent too. An instance that is cut off alone thus
// never takes endpoints on behalf of peers that it no longer hears.
func (v *View) succeed(now time.Time) (silent []ident.Process) {
	if v.owner.Instance == "" || v.owner == v.cfg.Self || v.Alive(v.owner) {
		v.asked = time.Time{}
		return nil
	}
	if v.asked.IsZero() {
		v.asked = now
	}
	late := now.Sub(v.asked) >= v.cfg.Silence/2
	answered, unheard, all := 1, 0, 1
	for _, id := range slices.Sorted(maps.Keys(v.peers)) {
		p := v.peers[id]
		if v.known(now, p) {
			all++
		}
		switch {
		case !p.linked:
		case p.heard.After(v.asked):
			answered++
		case late:
			p.linked, p.pulsed = false, false
			silent = append(silent, p.process)
		default:
			unheard++
		}
	}
	if unheard == 0 || 2*answered > all {
		v.asked = time.Time{}
	}
	return silent
}

// Asking reports whether the others have been asked to answer at once.
func (v *View) Asking() bool { return !v.asked.IsZero() }
