package kernel

import (
	"testing"
	"time"
)

// TestOverrunsOnlyWhileClosing checks which requests a node may take before it stops, and when
// callers are told to come back.
func TestOverrunsOnlyWhileClosing(t *testing.T) {
	d := newDrain()
	now := time.Unix(1000, 0)
	if _, overruns := d.Overruns(now.Add(time.Hour), now); overruns || d.Closing() {
		t.Fatal("a node that does not stop refuses a request")
	}
	redirected, end := now.Add(2*time.Second), now.Add(5*time.Second)
	d.MarkClosing(redirected, end)
	if _, overruns := d.Overruns(end, now); overruns {
		t.Error("a request that ends with the node is refused")
	}
	if after, overruns := d.Overruns(end.Add(1), now.Add(time.Second)); !overruns || after != time.Second {
		t.Errorf("a request that may end after the node: %t, retry after %v", overruns, after)
	}
	if after, overruns := d.Overruns(end.Add(1), now.Add(3*time.Second)); !overruns || after != 0 {
		t.Errorf("once callers use another node: %t, retry after %v", overruns, after)
	}
}
