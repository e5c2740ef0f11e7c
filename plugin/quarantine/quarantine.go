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

	// retryAfterQuarantine is told to callers of a quarantined request. Only an operator
	// ends a quarantine.
	retryAfterQuarantine = time.Minute

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
			return kernel.Permit{Holder: attempt}, call.Result{}
		case quarantine.Quarantined:
			return kernel.Permit{}, q.refuse(call.ReasonQuarantined, retryAfterQuarantine)
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

// decide returns the verdict about a request: that of its coordinator if it is suspect
// here.
func (q *plugin) decide(ctx context.Context, f quarantine.Fingerprint, attempt string) quarantine.Verdict {
	crashes, quarantined := 0, false
	q.update(func(t *quarantine.Table) { crashes, quarantined = len(t.Known(f)), t.Quarantined(f) })
	switch {
	case quarantined:
		return quarantine.Verdict{Kind: quarantine.Quarantined}
	case crashes == 0:
		return quarantine.Verdict{Kind: quarantine.Unsuspected}
	}
	asked := time.Now()
	v := q.acquire(ctx, f, attempt, crashes)
	q.update(func(t *quarantine.Table) {
		switch v.Kind {
		case quarantine.Unsuspected: // cleared meanwhile
			t.Clear(f, asked)
		case quarantine.Quarantined:
			t.Quarantine(f, asked)
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
	suspect := false
	q.update(func(t *quarantine.Table) {
		if suspect = len(t.Known(f)) > 0; suspect && complete {
			t.Clear(f, time.Now())
		}
	})
	if suspect && complete || p.Holder != "" {
		go q.returnPermit(f, p, complete)
	}
}

// Crashed implements kernel.Quarantine.
func (q *plugin) Crashed(start string, requests []quarantine.Fingerprint) {
	q.recordCrash(start, requests)
	q.broadcastCrash(start, requests)
}

// recordCrash records a crash in the table, and quarantines the requests that this node
// coordinates and that have crashed enough servers. Other nodes ask first: only the
// coordinator hears of every complete answer.
func (q *plugin) recordCrash(start string, requests []quarantine.Fingerprint) {
	var due []quarantine.Fingerprint
	now := time.Now()
	q.update(func(t *quarantine.Table) { due = t.RecordCrash(start, requests, now) })
	for _, f := range due {
		if q.coordinators(f)[0].ID != q.k.NodeID {
			continue
		}
		q.update(func(t *quarantine.Table) { t.Quarantine(f, now) })
		q.announceQuarantine(f)
	}
}

// announceQuarantine logs that this node has quarantined a request, and writes its record.
func (q *plugin) announceQuarantine(f quarantine.Fingerprint) {
	q.log.Warn("request_quarantined", zap.Stringer("fingerprint", f))
	go q.writeRecord(f)
}
