package quarantine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/quarantine"
)

const (
	// pollInterval is the time between two questions for a permit that another attempt
	// holds.
	pollInterval = 50 * time.Millisecond

	// maxRetryAfterQuarantine bounds what callers of a quarantined request are told. Its
	// quarantine may end before its next retrial, by an answer or by an operator.
	maxRetryAfterQuarantine = time.Minute

	// retrialPoll is the least time between two questions of a node for the retrial of a
	// quarantined request.
	retrialPoll = time.Second

	// retryAfterSuspect is told to callers of a suspect request whose permit did not
	// become free in time.
	retryAfterSuspect = time.Second
)

// plugin implements kernel.Quarantine.
type plugin struct {
	k       *kernel.Kernel
	log     *zap.Logger
	cfg     quarantine.Config
	ctx     context.Context
	cancel  context.CancelFunc
	refused metrics.Counter

	active atomic.Bool // the table is not empty

	recordRevision map[quarantine.Fingerprint]uint64 // revision of the last change of each record; belongs to the control goroutine

	mu    sync.Mutex
	table *quarantine.Table
}

func newQuarantine(k *kernel.Kernel) *plugin {
	cfg := quarantine.DefaultConfig()
	q := &plugin{
		k: k, log: k.Log, cfg: cfg, table: quarantine.New(cfg), recordRevision: map[quarantine.Fingerprint]uint64{},
		refused: metrics.GetOrRegisterCounter("quarantine.refused", k.Metrics),
	}
	q.ctx, q.cancel = context.WithCancel(context.Background())
	return q
}

// Start implements kernel.Plugin.
func (q *plugin) Start(context.Context) error { return nil }

// Stop implements kernel.Plugin.
func (q *plugin) Stop(context.Context) error {
	q.cancel()
	return nil
}

// update runs f on the table, which other goroutines do not use meanwhile.
func (q *plugin) update(f func(t *quarantine.Table)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f(q.table)
	q.active.Store(!q.table.Empty())
}

// Admit implements kernel.Quarantine.
func (q *plugin) Admit(ctx context.Context, f quarantine.Fingerprint, attempt string, deadline time.Time) (kernel.Permit, call.Result) {
	for q.active.Load() {
		v := q.decide(ctx, f, attempt)
		switch v.Kind {
		case quarantine.Unsuspected:
			return kernel.Permit{}, call.Result{}
		case quarantine.Granted:
			return kernel.Permit{Holder: attempt, Alone: v.alone}, call.Result{}
		case quarantine.Quarantined:
			return kernel.Permit{}, q.refuse(call.ReasonQuarantined, min(max(v.Wait, retrialPoll), maxRetryAfterQuarantine))
		}
		wait := max(v.Wait, pollInterval)
		if !time.Now().Add(wait).Before(deadline) {
			return kernel.Permit{}, q.refuse(call.ReasonSuspect, max(v.Wait, retryAfterSuspect))
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return kernel.Permit{}, q.refuse(call.ReasonSuspect, retryAfterSuspect)
		}
	}
	return kernel.Permit{}, call.Result{}
}

// verdict is a verdict with who gave it.
type verdict struct {
	quarantine.Verdict
	alone bool // granted by a coordinator, which grants one permit at a time
}

// decide returns the verdict about a request: that of its coordinator if it is suspect
// here, or quarantined and due for a retrial.
func (q *plugin) decide(ctx context.Context, f quarantine.Fingerprint, attempt string) verdict {
	asked := time.Now()
	crashes, quarantined, wait := 0, false, time.Duration(0)
	q.update(func(t *quarantine.Table) {
		crashes, quarantined, wait = len(t.Known(f)), t.Quarantined(f), t.RetrialIn(f, asked)
	})
	switch {
	case quarantined && wait > 0:
		return verdict{Verdict: quarantine.Verdict{Kind: quarantine.Quarantined, Wait: wait}}
	case !quarantined && crashes == 0:
		return verdict{Verdict: quarantine.Verdict{Kind: quarantine.Unsuspected}}
	}
	v := q.acquire(ctx, f, attempt, quarantined || crashes >= q.cfg.CrashLimit-1)
	if quarantined && v.Kind == quarantine.Busy {
		v.Kind = quarantine.Quarantined
	}
	q.update(func(t *quarantine.Table) {
		switch v.Kind {
		case quarantine.Unsuspected: // cleared meanwhile
			t.Clear(f, asked)
		case quarantine.Quarantined:
			t.Quarantine(f, asked)
			t.SetRetrial(f, asked, max(v.Wait, retrialPoll))
		}
	})
	return v
}

// refuse returns the refusal of a request.
func (q *plugin) refuse(reason call.Reason, retryAfter time.Duration) call.Result {
	q.refused.Inc(1)
	return call.Result{Outcome: call.Refused, Reason: reason, RetryAfter: retryAfter}
}

// Return implements kernel.Quarantine.
func (q *plugin) Return(f quarantine.Fingerprint, p kernel.Permit, complete bool) {
	if !q.active.Load() {
		return
	}
	doubtful := false
	q.update(func(t *quarantine.Table) { doubtful = len(t.Known(f)) > 0 || t.Quarantined(f) })
	if doubtful && complete {
		q.clear(f)
	}
	if doubtful && complete || p.Holder != "" {
		go q.returnPermit(f, p, complete)
	}
}

// clear clears a request after a complete answer. If that ends a quarantine, the node that
// coordinates the request ends it everywhere.
func (q *plugin) clear(f quarantine.Fingerprint) {
	ended := false
	q.update(func(t *quarantine.Table) { ended = t.Clear(f, time.Now()) })
	if ended && q.coordinates(f) {
		q.log.Warn("quarantine_ended", zap.Stringer("fingerprint", f))
		go q.deleteRecord(f)
		go q.broadcastClear(f)
	}
}

// Crashed implements kernel.Quarantine.
func (q *plugin) Crashed(start string, runs []quarantine.Run) {
	q.recordCrash(start, runs)
	q.broadcastCrash(start, runs)
}

// recordCrash records a crash in the table, and settles later whether the requests that
// this node coordinates and that have crashed enough servers are quarantined. Other nodes
// ask first: only the coordinator hears of every complete answer.
func (q *plugin) recordCrash(start string, runs []quarantine.Run) {
	var due []quarantine.Fingerprint
	now := time.Now()
	q.update(func(t *quarantine.Table) { due = t.RecordCrash(start, runs, now) })
	for _, f := range due {
		if !q.coordinates(f) {
			continue
		}
		time.AfterFunc(q.cfg.ReportDelay, func() { q.settle(f) })
	}
}

// settle quarantines a request if there is reason for it. The record of one that was
// quarantined before may be of an earlier version, so it is written in any case.
func (q *plugin) settle(f quarantine.Fingerprint) {
	known, due := false, false
	q.update(func(t *quarantine.Table) {
		known = t.Quarantined(f)
		due = t.Settle(f, time.Now())
	})
	switch {
	case known:
		go q.writeRecord(f)
	case due:
		q.announceQuarantine(f)
	}
}

// announceQuarantine logs that this node has quarantined a request, and writes its record.
func (q *plugin) announceQuarantine(f quarantine.Fingerprint) {
	q.log.Warn("request_quarantined", zap.Stringer("fingerprint", f))
	go q.writeRecord(f)
}
