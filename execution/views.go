package execution

import (
	"slices"
	"time"
)

// maxViews bounds the remembered views; each takes some 40 bytes per member.
const maxViews = 256

// ViewHistory remembers which members a service had, so that a holder can prove that
// it would know of an earlier claim.
//
// Every submission claims its key at all holders of the key in the view of that
// moment. A member that was among the holders in each view since the key was
// minted has therefore been asked for each earlier submission. A member that
// became a holder later, because others left or because it joined, proves
// nothing about earlier keys. The proof is void if two nodes disagree about the
// members for longer than the clock skew.
type ViewHistory struct {
	self    string
	k       int           // holders of a key
	skew    time.Duration // largest difference between clocks and between views
	history []view        // oldest first
}

// view is the members from a moment on.
type view struct {
	from    time.Time
	members []string
}

// NewViewHistory returns the views of the member self for keys with k holders.
func NewViewHistory(self string, k int, skew time.Duration) *ViewHistory {
	return &ViewHistory{self: self, k: k, skew: skew}
}

// Observe records the members from now on.
func (v *ViewHistory) Observe(members []string, now time.Time) {
	v.history = append(v.history, view{from: now, members: slices.Clone(members)})
	if len(v.history) > maxViews {
		v.history = slices.Delete(v.history, 0, len(v.history)-maxViews)
	}
}

// HolderSince tells whether this member was among the holders of the key in every
// view since the key was minted.
func (v *ViewHistory) HolderSince(key string, minted time.Time) bool {
	since := minted.Add(-v.skew)
	if len(v.history) == 0 || since.Before(v.history[0].from) {
		return false
	}
	for i, w := range v.history {
		if i+1 < len(v.history) && !v.history[i+1].from.After(since) {
			continue // was over before the key was minted
		}
		if !slices.Contains(Holders(key, w.members, v.k), v.self) {
			return false
		}
	}
	return true
}
