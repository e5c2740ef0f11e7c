package target

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/lifecycle"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/settings"
)

// startingFleet is the fleet of a node that has not yet asked which start has ended.
type startingFleet struct {
	silentFleet
	asked chan struct{}
	waits *atomic.Int32
}

// AwaitEnded implements kernel.Fleet.
func (f startingFleet) AwaitEnded(ctx context.Context) {
	f.waits.Add(1)
	select {
	case <-f.asked:
	case <-ctx.Done():
	}
}

// RecordEnd implements kernel.Fleet.
func (startingFleet) RecordEnd(context.Context, membership.BackendStart) error { return nil }

func startingTarget(t *testing.T) (*target, startingFleet) {
	t.Helper()
	k, err := kernel.New(&settings.Settings{}, "a", zap.NewNop(), metrics.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	f := startingFleet{asked: make(chan struct{}), waits: &atomic.Int32{}}
	k.Fleet = f
	return newTarget(k), f
}

// TestReportWaitsUntilEndsAreKnown lets a report of a start arrive before the node has learned
// that it had ended. It guards against requests that reach a backend server that has left in
// the first moments of a new process.
func TestReportWaitsUntilEndsAreKnown(t *testing.T) {
	target, f := startingTarget(t)
	reported := make(chan struct{})
	go func() {
		target.Report(context.Background(), lifecycle.Report{Instance: "i", Born: 1000, Sequence: 3, Service: "rates", Address: "127.0.0.1:1"})
		close(reported)
	}()
	time.Sleep(50 * time.Millisecond)
	if !target.Status().Leaving {
		t.Error("the report was believed before other nodes were asked")
	}
	target.BackendDeparted(context.Background(), membership.BackendStart{Instance: "i", Born: 1000})
	close(f.asked)
	<-reported
	if !target.Status().Leaving {
		t.Error("a backend server that has left is in use")
	}
}

// TestReportIsBelievedIfNobodyAnswers guards against a backend server that is not used because
// the node cannot ask, and against an end that waits for the answer: its acknowledgement must
// leave time for the record.
func TestReportIsBelievedIfNobodyAnswers(t *testing.T) {
	target, f := startingTarget(t)
	report := lifecycle.Report{Instance: "i", Born: 1000, Sequence: 3, Service: "rates", Address: "127.0.0.1:1"}
	target.Report(context.Background(), report)
	if target.Status().Leaving {
		t.Error("the backend server is not in use")
	}
	report.Sequence, report.Draining = 4, true
	target.Report(context.Background(), report)
	if n := f.waits.Load(); n != 1 {
		t.Errorf("%d reports have waited for other nodes, and one was a drain", n)
	}
	if !target.Status().Leaving {
		t.Error("the drained backend server is in use")
	}
}
