package kernel

import (
	"testing"
	"time"
)

// TestOverrunsOnlyWhileClosing checks which requests a node may take before it stops.
func TestOverrunsOnlyWhileClosing(t *testing.T) {
	d := newDrain()
	now := time.Unix(1000, 0)
	if _, overruns := d.Overruns(now.Add(time.Hour), now); overruns || d.Closing() {
		t.Fatal("a node that does not stop refuses a request")
	}
	end := now.Add(5 * time.Second)
	d.MarkClosing(now, now.Add(2*time.Second), end)
	if _, overruns := d.Overruns(end, now); overruns || !d.Closing() {
		t.Error("a request that ends with the node is refused")
	}
	for _, after := range []time.Duration{0, time.Second, 3 * time.Second} {
		if _, overruns := d.Overruns(end.Add(1), now.Add(after)); !overruns {
			t.Errorf("after %v a request is taken that may end after the node", after)
		}
	}
}

// TestRefusedCallersReturnInOrder refuses requests at a steady rate until callers are directed
// elsewhere. It guards against callers who all return to the other nodes at the same moment, or
// before they are directed there.
func TestRefusedCallersReturnInOrder(t *testing.T) {
	const (
		redirect = 2 * time.Second
		interval = 10 * time.Millisecond
	)
	d := newDrain()
	began := time.Unix(1000, 0)
	d.MarkClosing(began, began.Add(redirect), began.Add(5*time.Second))
	var last time.Time
	for sent := time.Duration(0); sent < redirect; sent += interval {
		now := began.Add(sent)
		after, _ := d.Overruns(began.Add(time.Minute), now)
		back := now.Add(after)
		if back.Before(began.Add(redirect)) || back.After(began.Add(redirect+redirect/2)) {
			t.Fatalf("refused after %v, back after %v", sent, back.Sub(began))
		}
		if gap := back.Sub(last); !last.IsZero() && gap != interval/2 {
			t.Fatalf("refused after %v, back %v after the one before", sent, gap)
		}
		last = back
	}
	if after, _ := d.Overruns(began.Add(time.Minute), began.Add(redirect)); after != 0 {
		t.Errorf("once callers use another node: %v", after)
	}
}
