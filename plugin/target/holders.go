package target

import (
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

const (
	// ClaimHolders is the number of members that must all grant a key.
	ClaimHolders = 2

	// untimedKeyWindow is the age that a key without a time is taken to have. A
	// resend of such a key is refused for this long even if both holders were
	// replaced, and for as long as one of them lives.
	untimedKeyWindow = 10 * time.Second
)

// Claim implements kernel.Target.
func (t *target) Claim(c *wire.Claim) *wire.ClaimReply {
	id, err := call.ParseID(c.GetSubmissionId())
	if err != nil {
		return &wire.ClaimReply{Reason: string(call.ReasonBadRequest)}
	}
	now := time.Now()
	minted := time.UnixMilli(c.GetMintedUnixMs())
	if c.GetMintedUnixMs() == 0 {
		minted = now.Add(-untimedKeyWindow)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeMembers(now)
	granted, reason := t.claims.Claim(c.GetService(), c.GetKey(), id, minted, now)
	proved := c.GetService() == t.backend.Service && t.views.HolderSince(HolderKey(c.GetService(), c.GetKey()), minted)
	return &wire.ClaimReply{Granted: granted, Reason: string(reason), Proved: proved}
}

// HolderKey returns the key by which the holders of an idempotency key are chosen.
func HolderKey(service, key string) string { return service + "/" + key }

// observeMembers records the members of the service when the fleet has changed;
// the caller holds mu.
func (t *target) observeMembers(now time.Time) {
	version := t.k.Fleet.Version()
	if version == t.seen || t.backend.Service == "" {
		return
	}
	t.seen = version
	var members []string
	for _, m := range t.k.Fleet.Members(t.backend.Service) {
		members = append(members, m.ID)
	}
	t.views.Observe(members, now)
}
