package configsync

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"hornbeamlift.example/hornbeamlift/internal/core/ident"
)

const (
	// storeTime is how long an instance that is behind waits for the store, and
	// answerTime how long for a peer before it asks the next one. Both grow with
	// the size of the configuration, since one of 1 MB takes half a second on
	// the link of a weak instance. Meanwhile an owner starts tasks of a version
	// that it lacks, for 250 ms at most: enough for a peer that does not answer.
	storeTime  = 50 * time.Millisecond
	answerTime = 75 * time.Millisecond
	// transferRate is the rate at which a configuration is taken to arrive, in
	// bytes a second.
	transferRate = 1 << 20
)

// Fetcher decides when an instance asks which peer for the configuration. It
// asks one at a time, at random, so that not all ask the same one.
type Fetcher struct {
	rand *rand.Rand
	// versions holds what the linked peers have reported.
	versions map[ident.Process]uint64
	// size is the size of the newest version in bytes, if a peer has told it.
	size       int
	sizeNewest uint64
	// behindSince is when a peer first reported a version above the own one, or
	// zero while none has. Since then, asked have been asked for the newest.
	behindSince time.Time
	askedAt     time.Time
	asked       map[ident.Process]bool
	askedFor    uint64
}

// NewFetcher returns a Fetcher. The random source is used by it alone.
func NewFetcher(r *rand.Rand) *Fetcher {
	return &Fetcher{rand: r, versions: map[ident.Process]uint64{}, asked: map[ident.Process]bool{}}
}

// Observe handles the version that a linked peer has in force. Size is that of
// the configuration in bytes, or zero if unknown. Own is the version of this
// instance, or zero.
func (f *Fetcher) Observe(now time.Time, from ident.Process, version, own uint64, size int) {
	f.versions[from] = version
	if size > 0 && version >= f.sizeNewest {
		f.size, f.sizeNewest = size, version
	}
	if version > own && f.behindSince.IsZero() {
		f.behindSince = now
	}
}

// HandleLinkDown forgets a peer.
func (f *Fetcher) HandleLinkDown(p ident.Process) { delete(f.versions, p) }

// Version returns the version that a peer has reported, or zero.
func (f *Fetcher) Version(p ident.Process) uint64 { return f.versions[p] }

// Tick returns the peer to ask now, if any.
func (f *Fetcher) Tick(now time.Time, own uint64) (ask ident.Process, ok bool) {
	var newest uint64
	for _, v := range f.versions {
		newest = max(newest, v)
	}
	if own >= newest {
		f.behindSince = time.Time{}
		return ident.Process{}, false
	}
	transfer := time.Duration(f.size) * time.Second / transferRate
	if f.behindSince.IsZero() {
		f.behindSince = now
	}
	if now.Sub(f.behindSince) < storeTime+transfer || now.Sub(f.askedAt) < answerTime+transfer {
		return ident.Process{}, false
	}
	f.askedAt = now
	ask = f.choose(newest)
	f.asked[ask] = true
	return ask, true
}

// choose returns a peer with the newest version, if possible one that has not
// been asked for it.
func (f *Fetcher) choose(newest uint64) ident.Process {
	if f.askedFor != newest {
		f.askedFor = newest
		clear(f.asked)
	}
	var all, fresh []ident.Process
	for p, v := range f.versions {
		if v == newest {
			all = append(all, p)
			if !f.asked[p] {
				fresh = append(fresh, p)
			}
		}
	}
	if len(fresh) == 0 {
		clear(f.asked)
		fresh = all
	}
	slices.SortFunc(fresh, func(a, b ident.Process) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	return fresh[f.rand.IntN(len(fresh))]
}
