package execution

import (
	"container/heap"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// ClaimsConfig holds the settings of Claims.
type ClaimsConfig struct {
	// Retention is the age, by the time in the key, up to which a key can be
	// claimed. Older keys are refused and their claims forgotten. A long
	// retention costs about 300 bytes per claim.
	Retention time.Duration

	// ClockSkew is the largest difference between the clock that minted a key
	// and the clock of a holder. A key minted less than this after the holder
	// started is refused. Too small a value lets a key that was claimed before
	// the start be granted again.
	ClockSkew time.Duration

	// MaxClaims bounds the number of claims. Beyond it the claims with the
	// oldest keys are forgotten, and all keys as old as these are refused.
	MaxClaims int
}

// DefaultClaimsConfig returns settings for callers with synchronised clocks.
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
	index      int // in the heap
}

// Claims grants each idempotency key to at most one submission.
//
// A claim is held in memory only. A key is granted only if it was minted after
// every moment from which a claim of it could be missing: the start of this
// holder, its last takeover, and the newest forgotten claim. Keys that carry no
// time cannot be proved unused and are refused.
//
// The promise over all holders of a key: a second submission is refused as long
// as one holder that granted the first is asked, or has been replaced by one
// that started later. It is lost if the members in two views have no holder in
// common and none of the holders asked is new, or if clocks differ by more than
// ClockSkew.
type Claims struct {
	cfg           ClaimsConfig
	claims        map[claimKey]*claim
	oldest        claimHeap
	unprovenUntil time.Time // keys minted up to here may have been claimed
}

// NewClaims returns an empty set of claims of a holder that started at the given
// time.
func NewClaims(cfg ClaimsConfig, started time.Time) *Claims {
	return &Claims{
		cfg:           cfg,
		claims:        make(map[claimKey]*claim),
		unprovenUntil: started.Add(cfg.ClockSkew),
	}
}

// Claim asks for a key on behalf of a submission. minted is the time that the
// key carries, zero if it carries none. The same submission may claim again. A
// refusal has ReasonKeyHeld if another submission holds the key, and
// ReasonKeyUnproved if it may have been held before.
func (c *Claims) Claim(service, key string, submission call.ID, minted, now time.Time) (granted bool, reason call.Reason) {
	c.expire(now)
	k := claimKey{service, key}
	if held := c.claims[k]; held != nil {
		if held.submission == submission {
			return true, call.ReasonNone
		}
		return false, call.ReasonKeyHeld
	}
	if !c.proved(minted, now) {
		return false, call.ReasonKeyUnproved
	}
	if len(c.claims) >= c.cfg.MaxClaims {
		c.forgetOldest()
		if !c.proved(minted, now) {
			return false, call.ReasonKeyUnproved
		}
	}
	c.add(&claim{claimKey: k, submission: submission, minted: minted})
	return true, call.ReasonNone
}

// Release gives up a key after proof that the submission ran nowhere. It does
// nothing if another submission holds the key.
func (c *Claims) Release(service, key string, submission call.ID, now time.Time) {
	k := claimKey{service, key}
	held := c.claims[k]
	if held == nil || held.submission != submission {
		return
	}
	heap.Remove(&c.oldest, held.index)
	delete(c.claims, k)
}

// TakeOver refuses all keys minted before now that are not held here. It is to
// be called when as many members as a key has holders may have been lost at
// once, since their claims are lost with them.
func (c *Claims) TakeOver(now time.Time) {
	c.refuseUntil(now.Add(c.cfg.ClockSkew))
}

// Len returns the number of claims.
func (c *Claims) Len() int { return len(c.claims) }

// proved reports whether a key without a claim cannot have had one.
func (c *Claims) proved(minted, now time.Time) bool {
	if minted.IsZero() || minted.After(now.Add(c.cfg.ClockSkew)) {
		return false
	}
	return minted.After(c.unprovenUntil)
}

// expire forgets the claims of keys older than the retention.
func (c *Claims) expire(now time.Time) {
	c.refuseUntil(now.Add(-c.cfg.Retention))
	for len(c.oldest) > 0 && !c.oldest[0].minted.After(now.Add(-c.cfg.Retention)) {
		c.forgetOldest()
	}
}

// forgetOldest drops the claim with the oldest key and refuses all keys that
// are not newer.
func (c *Claims) forgetOldest() {
	if len(c.oldest) == 0 {
		return
	}
	old := heap.Pop(&c.oldest).(*claim)
	delete(c.claims, old.claimKey)
	c.refuseUntil(old.minted)
}

func (c *Claims) refuseUntil(t time.Time) {
	if t.After(c.unprovenUntil) {
		c.unprovenUntil = t
	}
}

func (c *Claims) add(n *claim) {
	c.claims[n.claimKey] = n
	heap.Push(&c.oldest, n)
}

// claimHeap orders claims by the time in their keys.
type claimHeap []*claim

func (h claimHeap) Len() int           { return len(h) }
func (h claimHeap) Less(i, j int) bool { return h[i].minted.Before(h[j].minted) }

func (h claimHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push appends a claim; it is called by container/heap.
func (h *claimHeap) Push(x any) {
	n := x.(*claim)
	n.index = len(*h)
	*h = append(*h, n)
}

// Pop removes the last claim; it is called by container/heap.
func (h *claimHeap) Pop() any {
	last := len(*h) - 1
	n := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return n
}
