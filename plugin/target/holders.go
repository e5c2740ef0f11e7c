package target

import (
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

const (
	// ClaimHolders is the number of members that must all grant a key.
	ClaimHolders = 2

	// assumedKeyAge is the age assumed for a key without a mint time. A repeated
	// submission of such a key is refused for this long even if both holders were
	// replaced, and otherwise for as long as one of the holders runs.
	assumedKeyAge = 10 * time.Second
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
		minted = now.Add(-assumedKeyAge)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordMembers(now)
	granted, reason := t.claims.Claim(c.GetService(), c.GetKey(), id, minted, now)
	proved := c.GetService() == t.backend.Service && t.views.HolderSince(HolderKey(c.GetService(), c.GetKey()), minted)
	return &wire.ClaimReply{Granted: granted, Reason: string(reason), Proved: proved}
}

// HolderKey returns the key from which the holders of an idempotency key are chosen.
func HolderKey(service, key string) string { return service + "/" + key }

// recordMembers records the members of the service if the membership has changed.
// The caller must hold mu.
func (t *target) recordMembers(now time.Time) {
	version := t.k.Fleet.Version()
	if version == t.fleetVersion || t.backend.Service == "" {
		return
	}
	t.fleetVersion = version
	var members []string
	for _, m := range t.k.Fleet.Members(t.backend.Service) {
		members = append(members, m.ID)
	}
	t.views.Observe(members, now)
}
