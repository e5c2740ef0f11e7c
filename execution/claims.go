package execution

import (
	"container/heap"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// ClaimsConfig holds the settings of Claims.
type ClaimsConfig struct {
	// Retention is the maximum age of a key that can be claimed, measured from
	// the timestamp in the key. Older keys are refused and their claims dropped.
	// Each retained claim takes about 300 bytes.
	Retention time.Duration

	// ClockSkew is the maximum difference between the clock that minted a key
	// and the clock of a holder. A key minted less than this after the holder
	// started is refused. If the value is too small, a key that was claimed
	// before the holder started can be granted again.
	ClockSkew time.Duration

	// MaxClaims is the maximum number of claims. When it is exceeded, the claims
	// with the oldest keys are dropped and all keys of that age or older are
	// refused.
	MaxClaims int
}

// DefaultClaimsConfig returns settings for callers with synchronized clocks.
func DefaultClaimsConfig() ClaimsConfig {
	return ClaimsConfig{
		Retention: time.Hour,
		ClockSkew: 5 * time.Second,
		MaxClaims: 1 << 16,
	}
}

type claimKey struct {
	service, key string
}

type claim struct {
	claimKey
	submission call.ID
	minted     time.Time
	heapIndex  int // position in the heap
}

// Claims grants each idempotency key to at most one submission.
//
// Claims are kept in memory only. A key without a claim is granted only if it was
// minted after the last event that could have lost a claim: the start of this
// holder, the last call of RefuseUnheld, or the dropping of a claim. Keys without
// a timestamp cannot be proved unused and are refused.
//
// Across all holders of a key, a second submission is refused as long as at least
// one holder that granted the first is asked, or has been replaced by a holder
// that started later. The guarantee is lost if two views of the members share no
// holder of the key and none of the holders asked is new, or if clocks differ by
// more than ClockSkew.
type Claims struct {
	cfg           ClaimsConfig
	claims        map[claimKey]*claim
	byMinted      claimHeap
	provableAfter time.Time // keys minted at or before this time may have been claimed
}

// NewClaims returns an empty set of claims for a holder that started at the given
// time.
func NewClaims(cfg ClaimsConfig, started time.Time) *Claims {
	return &Claims{
		cfg:           cfg,
		claims:        make(map[claimKey]*claim),
		provableAfter: started.Add(cfg.ClockSkew),
	}
}

// Claim claims a key for a submission. minted is the timestamp in the key, or zero
// if the key has none. A submission may claim the same key repeatedly. A refusal
// has call.ReasonKeyHeld if another submission holds the key, and
// call.ReasonKeyUnproved if the key may have been claimed before.
func (c *Claims) Claim(service, key string, submission call.ID, minted, now time.Time) (granted bool, reason call.Reason) {
	c.expire(now)
	k := claimKey{service, key}
	if existing := c.claims[k]; existing != nil {
		if existing.submission == submission {
			return true, call.ReasonNone
		}
		return false, call.ReasonKeyHeld
	}
	if !c.provablyUnclaimed(minted, now) {
		return false, call.ReasonKeyUnproved
	}
	if len(c.claims) >= c.cfg.MaxClaims {
		c.forgetOldest()
		if !c.provablyUnclaimed(minted, now) {
			return false, call.ReasonKeyUnproved
		}
	}
	c.add(&claim{claimKey: k, submission: submission, minted: minted})
	return true, call.ReasonNone
}

// Release removes the claim of a submission. It may be called only after proof
// that the submission was not executed anywhere. It does nothing if another
// submission holds the key.
func (c *Claims) Release(service, key string, submission call.ID, now time.Time) {
	k := claimKey{service, key}
	existing := c.claims[k]
	if existing == nil || existing.submission != submission {
		return
	}
	heap.Remove(&c.byMinted, existing.heapIndex)
	delete(c.claims, k)
}

// RefuseUnheld makes Claim refuse every key that was minted before now and has no
// claim here. Call it when all holders of a key may have been lost at once, since
// the claims they held are lost with them.
func (c *Claims) RefuseUnheld(now time.Time) {
	c.refuseMintedUntil(now.Add(c.cfg.ClockSkew))
}

// Len returns the number of claims.
func (c *Claims) Len() int { return len(c.claims) }

// provablyUnclaimed reports whether a key that has no claim here cannot have been
// claimed earlier.
func (c *Claims) provablyUnclaimed(minted, now time.Time) bool {
	if minted.IsZero() || minted.After(now.Add(c.cfg.ClockSkew)) {
		return false
	}
	return minted.After(c.provableAfter)
}

// expire drops the claims of keys older than the retention.
func (c *Claims) expire(now time.Time) {
	c.refuseMintedUntil(now.Add(-c.cfg.Retention))
	for len(c.byMinted) > 0 && !c.byMinted[0].minted.After(now.Add(-c.cfg.Retention)) {
		c.forgetOldest()
	}
}

// forgetOldest drops the claim with the oldest key. From then on, unclaimed keys
// of the same age or older are refused.
func (c *Claims) forgetOldest() {
	if len(c.byMinted) == 0 {
		return
	}
	old := heap.Pop(&c.byMinted).(*claim)
	delete(c.claims, old.claimKey)
	c.refuseMintedUntil(old.minted)
}

func (c *Claims) refuseMintedUntil(t time.Time) {
	if t.After(c.provableAfter) {
		c.provableAfter = t
	}
}

func (c *Claims) add(n *claim) {
	c.claims[n.claimKey] = n
	heap.Push(&c.byMinted, n)
}

// claimHeap is a min-heap of claims, ordered by the timestamp of their keys.
type claimHeap []*claim

func (h claimHeap) Len() int           { return len(h) }
func (h claimHeap) Less(i, j int) bool { return h[i].minted.Before(h[j].minted) }

func (h claimHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *claimHeap) Push(x any) {
	n := x.(*claim)
	n.heapIndex = len(*h)
	*h = append(*h, n)
}

// Pop implements heap.Interface.
func (h *claimHeap) Pop() any {
	last := len(*h) - 1
	n := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return n
}
