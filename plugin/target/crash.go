package target

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/quarantine"
)

// crashCheckTimeout bounds the connection attempt that tells a crashed backend server
// from a lost connection. Both are on the same VM.
const crashCheckTimeout = 200 * time.Millisecond

// crash is the check whether a start of the backend server has crashed.
type crash struct {
	start   membership.BackendStart
	done    chan struct{}
	crashed bool // valid once done is closed
}

// checkCrash reports whether the backend server of the attempt, whose connection ended
// while the call ran, has crashed: it accepts no connections any more, and did not
// announce its end. Attempts that lose their connections at the same time share one
// check.
func (a *attempt) checkCrash() bool {
	c, first := a.t.joinCrashCheck(a.start)
	if c == nil {
		return false
	}
	if !first {
		<-c.done
		return c.crashed
	}
	t := a.t
	running := t.runsAt(a.start)
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	c.crashed = t.k.Backend.RefusesConnections(ctx, a.backend.Address)
	if c.crashed {
		t.crashes.Inc(1)
		t.log.Warn("backend_crashed", zap.String("instance", a.start.Instance), zap.String("addr", a.backend.Address),
			zap.Int("running", len(running)), zap.Stringers("fingerprints", running))
		t.k.Quarantine.Crashed(fmt.Sprintf("%s@%d", a.start.Instance, a.start.Born), running)
	} else {
		t.forgetCrashCheck(c)
	}
	close(c.done)
	return c.crashed
}

// joinCrashCheck returns the check of a start, and whether the caller must carry it out.
// It returns nil if the end of the start would be no crash, or if starts of the backend
// server cannot be told apart.
func (t *target) joinCrashCheck(start membership.BackendStart) (c *crash, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if start.Instance == "" || t.tracker.Ended() && t.currentStart() == start {
		return nil, false
	}
	if t.crash != nil && t.crash.start == start {
		return t.crash, false
	}
	t.crash = &crash{start: start, done: make(chan struct{})}
	return t.crash, true
}

// forgetCrashCheck lets the next lost connection be checked again.
func (t *target) forgetCrashCheck(c *crash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.crash == c {
		t.crash = nil
	}
}

// runsAt returns the requests that a start of the backend server is executing. Of several
// runs of a request the oldest counts, which is alone only if all of them have permits.
func (t *target) runsAt(start membership.BackendStart) []quarantine.Run {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	runs := map[quarantine.Fingerprint]quarantine.Run{}
	for _, e := range t.executions {
		if e.start != start {
			continue
		}
		r, seen := runs[e.fingerprint]
		runs[e.fingerprint] = quarantine.Run{
			Fingerprint: e.fingerprint, Alone: e.alone && (r.Alone || !seen), Age: max(r.Age, now.Sub(e.startedAt)),
		}
	}
	return slices.Collect(maps.Values(runs))
}
