package target

import (
	"testing"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/lifecycle"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
)

// TestPlannedEndIsNoCrash ends a start of the backend server as announced. Calls that
// its end cuts off must not become suspect.
func TestPlannedEndIsNoCrash(t *testing.T) {
	now := time.Now()
	start := membership.BackendStart{Instance: "i-1", Born: 1000}
	target := &target{}
	target.tracker.Apply(lifecycle.Report{Instance: start.Instance, Born: start.Born, Sequence: 1}, now)
	if c, first := target.joinCrashCheck(start); c == nil || !first {
		t.Error("the end of a start that serves is not checked")
	}
	if c, first := target.joinCrashCheck(start); c == nil || first {
		t.Error("a second call does not share the check")
	}
	target.tracker.Leave(start.Instance, start.Born, now)
	if c, _ := target.joinCrashCheck(start); c != nil {
		t.Error("a planned end counts as a crash")
	}
	if c, _ := target.joinCrashCheck(membership.BackendStart{}); c != nil {
		t.Error("the end of an unknown start counts as a crash")
	}
}
