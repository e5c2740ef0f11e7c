package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// TestMemberThatServesAgainGetsCallsWithinTheBound guards against a member that refused one call as
// leaving, serves again, and gets no call for a minute: its record is the same as before, so the
// membership announces nothing.
func TestMemberThatServesAgainGetsCallsWithinTheBound(t *testing.T) {
	const recoverWithin = 15 * time.Second // recover of the platform's deployments
	r := New(DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
	now := time.Now()
	members := []Member{{Node: "a", Incarnation: 7}, {Node: "b", Incarnation: 8}}
	r.Update(members, now)
	refusals := 0
	for range members { // each refuses one call while its backend server is withdrawn
		c, refusal := r.Pick(Query{Priority: call.PriorityHigh}, now)
		if refusal.Reason != "" {
			t.Fatal(refusal.Reason)
		}
		r.Start(c.Member.Node, now)
		r.Finish(c.Member.Node, call.Result{Outcome: call.Refused, Reason: call.ReasonLeaving}, now)
		refusals++
	}
	now = now.Add(recoverWithin)
	r.Update(members, now)
	if _, refusal := r.Pick(Query{Priority: call.PriorityHigh}, now); refusal.Reason != "" {
		t.Fatalf("no member gets calls %v after %d refusals: %s", recoverWithin, refusals, refusal.Reason)
	}
}
