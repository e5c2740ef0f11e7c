package execution

import (
	"slices"
	"time"
)

// maxViews is the maximum number of views kept; a view takes about 40 bytes per member.
const maxViews = 256

// ViewHistory records which members a service had over time, so that a holder can
// prove that it has seen every earlier claim of a key.
//
// Every submission claims its key at all holders of the key in the current view.
// A member that was a holder in every view since the key was minted has therefore
// been asked about every earlier submission. A member that became a holder later,
// because it joined or because others left, can prove nothing about earlier keys.
// The proof does not hold if two nodes have different views of the members for
// longer than the clock skew.
type ViewHistory struct {
	self    string
	holders int           // number of holders of a key
	skew    time.Duration // maximum clock difference, and maximum time for which views differ between nodes
	views   []view        // oldest first
}

// view is the list of members from a point in time until the next view.
type view struct {
	start   time.Time
	members []string
}

// NewViewHistory returns an empty history for the member self and keys with k
// holders.
func NewViewHistory(self string, k int, skew time.Duration) *ViewHistory {
	return &ViewHistory{self: self, holders: k, skew: skew}
}

// Observe records that the service has these members from now on.
func (v *ViewHistory) Observe(members []string, now time.Time) {
	v.views = append(v.views, view{start: now, members: slices.Clone(members)})
	if len(v.views) > maxViews {
		v.views = slices.Delete(v.views, 0, len(v.views)-maxViews)
	}
}

// HolderSince reports whether this member was a holder of the key in every view
// since the key was minted. It returns false if the history does not go back far
// enough.
func (v *ViewHistory) HolderSince(key string, minted time.Time) bool {
	since := minted.Add(-v.skew)
	if len(v.views) == 0 || since.Before(v.views[0].start) {
		return false
	}
	for i, observed := range v.views {
		if i+1 < len(v.views) && !v.views[i+1].start.After(since) {
			continue // this view ended before the key was minted
		}
		if !slices.Contains(Holders(key, observed.members, v.holders), v.self) {
			return false
		}
	}
	return true
}
