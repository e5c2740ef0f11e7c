package target

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/admission"
	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/execution"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/lifecycle"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/quarantine"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

const (
	queueCheckInterval = 10 * time.Millisecond // between checks of the admission queue
	expireInterval     = time.Second           // between two calls of expire
)

// target implements kernel.Target. mu guards the admission and execution state; it
// is held for microseconds and never across I/O.
type target struct {
	k            *kernel.Kernel
	log          *zap.Logger
	cancel       context.CancelFunc
	callsWaiting chan struct{} // signals that the admission queue is not empty
	started      metrics.Meter // calls sent to the backend server
	crashes      metrics.Counter
	answered     metrics.Meter
	refused      metrics.Meter
	unknown      metrics.Meter
	handedBack   metrics.Counter
	awaitTurn    func(limit time.Duration) // kernel.AwaitTurn but in tests

	mu                    sync.Mutex
	controller            *admission.Controller
	registry              *execution.Registry
	claims                *execution.Claims
	tracker               lifecycle.Tracker
	backend               kernel.BackendInfo
	serving               bool // a backend server has announced itself and was not withdrawn
	leaving               bool
	lapsing               bool // lapse runs
	renewedAt             time.Time
	rateTracker           lifecycle.RateTracker // of the current start of the backend server
	executions            map[string]*running   // running executions by token
	crash                 *crash                // last check whether the backend server has crashed, nil if none counts
	executionsByRequestID map[string]*running   // latest running execution by the caller's request id
	views                 *execution.ViewHistory
	fleetVersion          uint64 // version of the membership recorded in views
}

// running is an execution with what is needed to find the request that crashed the
// backend server.
type running struct {
	*kernel.Execution
	start       membership.BackendStart
	fingerprint quarantine.Fingerprint
	startedAt   time.Time
	alone       bool     // it has a permit to run as the only run of its request
	sameRequest *running // execution that began before this one for the same request id, nil if none
}

func newTarget(k *kernel.Kernel) *target {
	t := &target{
		k:                     k,
		log:                   k.Log,
		awaitTurn:             kernel.AwaitTurn,
		started:               metrics.GetOrRegisterMeter("target.started", k.Metrics),
		callsWaiting:          make(chan struct{}, 1),
		registry:              execution.NewRegistry(execution.DefaultRegistryConfig()),
		claims:                execution.NewClaims(execution.DefaultClaimsConfig(), time.Time{}),
		views:                 execution.NewViewHistory(k.NodeID, ClaimHolders, execution.DefaultClaimsConfig().ClockSkew),
		executions:            map[string]*running{},
		executionsByRequestID: map[string]*running{},
		crashes:               metrics.GetOrRegisterCounter("target.crashes", k.Metrics),
		answered:              metrics.GetOrRegisterMeter("target.answered", k.Metrics),
		refused:               metrics.GetOrRegisterMeter("target.refused", k.Metrics),
		unknown:               metrics.GetOrRegisterMeter("target.unknown", k.Metrics),
		handedBack:            metrics.GetOrRegisterCounter("target.handed_back", k.Metrics),
	}
	t.registerGauges()
	return t
}

func (t *target) registerGauges() {
	gauge := func(name string, value func(kernel.TargetStatus) int64) {
		metrics.NewRegisteredFunctionalGauge("target."+name, t.k.Metrics, func() int64 { return value(t.Status()) })
	}
	gauge("limit", func(s kernel.TargetStatus) int64 { return int64(s.Pressure.Limit) })
	gauge("in_flight", func(s kernel.TargetStatus) int64 { return int64(s.Pressure.InFlight) })
	gauge("queued", func(s kernel.TargetStatus) int64 { return int64(s.Pressure.Queued) })
	gauge("queue_delay_us", func(s kernel.TargetStatus) int64 { return s.Pressure.QueueDelay.Microseconds() })
	gauge("rate_limit_mrps", func(s kernel.TargetStatus) int64 { return s.RateLimit.Millis() })
	gauge("pace_percent", func(s kernel.TargetStatus) int64 { return int64(math.Round(100 * s.Pressure.Pace)) })
	gauge("service_time_us", func(s kernel.TargetStatus) int64 { return s.Pressure.ServiceTime.Microseconds() })
}

// Start implements kernel.Plugin.
func (t *target) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	t.cancel = cancel
	go t.run(ctx)
	return nil
}

// Stop implements kernel.Plugin.
func (t *target) Stop(context.Context) error {
	t.cancel()
	return nil
}

func (t *target) run(ctx context.Context) {
	queueTicker := time.NewTicker(queueCheckInterval)
	defer queueTicker.Stop()
	queueTicker.Stop() // runs only while calls are queued
	ticking := false
	expiryTicker := time.NewTicker(expireInterval)
	defer expiryTicker.Stop()
	for {
		select {
		case <-t.callsWaiting:
			if !ticking { // a reset would delay the next tick
				queueTicker.Reset(queueCheckInterval)
				ticking = true
			}
		case now := <-queueTicker.C:
			if t.checkQueue(now) == 0 {
				queueTicker.Stop()
				ticking = false
			}
		case now := <-expiryTicker.C:
			t.expire(now)
		case <-ctx.Done():
			return
		}
	}
}

// checkQueue lets the admission controller drop queued calls and returns how many
// are still queued.
func (t *target) checkQueue(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.controller == nil {
		return 0
	}
	t.deliver(t.controller.Tick(now))
	return t.controller.Waiting()
}

// signalWaiting starts the periodic checks of the admission queue.
func (t *target) signalWaiting() {
	select {
	case t.callsWaiting <- struct{}{}:
	default: // a signal is already pending
	}
}

// expire drops old attempts, records a changed membership, and stops serving the
// backend server if its announcement has lapsed.
func (t *target) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registry.Expire(now)
	t.recordMembers(now)
	if t.announcementOverdue(now) && !t.lapsing {
		t.lapsing = true
		go t.lapse()
	}
}

// announcementOverdue reports whether the backend server has not renewed its announcement in
// time. The caller must hold mu.
func (t *target) announcementOverdue(now time.Time) bool {
	return t.serving && now.Sub(t.renewedAt) > t.k.Settings.Backend.AnnounceTTL
}

// maxTurnWait bounds the wait until this process runs on time, so that an announcement which
// has arrived is read.
const maxTurnWait = 2 * time.Second

// lapse stops serving a backend server whose announcement is overdue, unless this process was
// late and finds a newer one.
func (t *target) lapse() {
	t.awaitTurn(maxTurnWait)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lapsing = false
	if now := time.Now(); t.announcementOverdue(now) {
		t.tracker.Lapse()
		t.log.Warn("backend_lapsed", zap.String("service", t.backend.Service), zap.String("addr", t.backend.Address))
		t.stopServing(now)
	}
}

// deliver sends the decisions on queued tickets to the goroutines of their attempts.
func (t *target) deliver(actions []admission.Action) {
	for _, a := range actions {
		a.Ticket.Data.(chan admission.Action) <- a
	}
}

// awaitEndedTimeout leaves half of the second within which the backend server must get the
// answer to its report.
const awaitEndedTimeout = 500 * time.Millisecond

// Report implements kernel.Target. A report to a process that has just started may be older
// than an end that an earlier process has acknowledged, so it waits until that is known,
// unless it tells of an end itself.
func (t *target) Report(ctx context.Context, r lifecycle.Report) error {
	own := t.k.LocalService()
	r.Foreign = own != "" && r.Service != own
	if r.Foreign && !t.k.Routes.Current().Names(r.Service) {
		return errForeign(&r, own)
	}
	if !r.Draining {
		waitCtx, cancel := context.WithTimeout(ctx, awaitEndedTimeout)
		t.k.Fleet.AwaitEnded(waitCtx)
		cancel()
	}
	change := t.applyReport(r, time.Now())
	if r.Foreign && change == lifecycle.Stale {
		return errForeign(&r, own)
	}
	if r.Draining && change != lifecycle.Stale {
		t.recordEnd(ctx)
	}
	return nil
}

// errForeign returns the error about a report that cannot come from the backend server beside
// this node.
func errForeign(r *lifecycle.Report, own string) error {
	return errs.New(errs.Invalid, "report to the node on the VM of the backend server, or correct the service in the settings of the node",
		"instance %q is of service %q, the backend server of this node of %q", r.Instance, r.Service, own)
}

func (t *target) applyReport(r lifecycle.Report, now time.Time) lifecycle.Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	change := t.tracker.Apply(r, now)
	if change != lifecycle.Renewed {
		t.log.Info("backend_report", zap.Stringer("change", change), zap.String("instance", r.Instance), zap.Int64("born", r.Born),
			zap.Int64("sequence", r.Sequence), zap.String("service", r.Service), zap.Bool("draining", r.Draining), zap.Duration("cold", r.Cold))
	}
	if change == lifecycle.Started {
		t.resetAnnouncements(now)
	}
	switch change {
	case lifecycle.Started, lifecycle.Renewed:
		if t.tracker.Serving() {
			t.startServing(kernel.BackendInfo{Instance: r.Instance, Service: r.Service, Address: r.Address, Slots: r.Slots}, now)
		}
	case lifecycle.Ended:
		t.stopServing(now)
	}
	return change
}

// BackendDeparted implements kernel.Target.
func (t *target) BackendDeparted(ctx context.Context, start membership.BackendStart) {
	if change := t.applyDeparture(start, time.Now()); change != lifecycle.Stale {
		t.recordEnd(ctx)
	}
}

func (t *target) applyDeparture(start membership.BackendStart, now time.Time) lifecycle.Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	change := t.tracker.Leave(start.Instance, start.Born, now)
	t.log.Info("backend_departed", zap.Stringer("change", change), zap.String("instance", start.Instance), zap.Int64("born", start.Born))
	if change == lifecycle.Ended {
		t.stopServing(now)
	}
	return change
}

// recordEndTimeout leaves 0.4 s of the second within which the backend server must
// get the answer to its report.
const recordEndTimeout = 600 * time.Millisecond

// recordEnd records that a start of the backend server takes no more calls, so that
// the next process of this node knows it. If neither the store nor another node can be
// reached within recordEndTimeout, recordEnd only logs the failure, because the end holds in
// this process in any case.
func (t *target) recordEnd(ctx context.Context) {
	t.mu.Lock()
	var start membership.BackendStart
	start.Instance, start.Born = t.tracker.LastEnded()
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, recordEndTimeout)
	defer cancel()
	if err := t.k.Fleet.RecordEnd(ctx, start); err != nil {
		t.log.Warn("end_not_recorded", zap.String("instance", start.Instance), zap.Int64("born", start.Born), zap.Error(err))
	}
}

// AnnounceBackend implements kernel.Target.
func (t *target) AnnounceBackend(b kernel.BackendInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startServing(b, time.Now())
}

// startServing starts serving a backend server or renews its announcement. The
// caller must hold mu.
func (t *target) startServing(b kernel.BackendInfo, now time.Time) {
	t.renewedAt = now
	if t.leaving || t.serving && t.backend == b {
		return
	}
	if t.serving && t.backend.Service == b.Service && t.backend.Address == b.Address && t.backend.Instance == b.Instance {
		t.backend = b
		t.controller.HintSlots(b.Slots, now)
		t.k.Fleet.Announce(b.Service, b.Slots)
		return
	}
	if t.serving {
		t.stopServing(now)
	}
	t.backend = b
	t.serving = true
	t.controller = admission.New(t.admissionConfig(b.Slots), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), now)
	t.controller.HintSlots(b.Slots, now)
	t.applyRateLimit(now)
	t.log.Info("backend_announced", zap.String("service", b.Service), zap.String("instance", b.Instance), zap.String("addr", b.Address),
		zap.Int("slots", b.Slots), zap.Int("connections", b.Connections))
	t.k.Fleet.Announce(b.Service, b.Slots)
}

// admissionConfig returns the admission settings for a backend server with the given
// number of slots.
func (t *target) admissionConfig(slots int) admission.Config {
	cfg := admission.DefaultConfig()
	if t.k.Settings.Backend.TrustSlots && slots > 0 {
		cfg.SetFixedLimit(slots)
	}
	return cfg
}

// WithdrawBackend implements kernel.Target. Queued calls are refused as not run; running
// calls are left to finish.
func (t *target) WithdrawBackend() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopServing(time.Now())
}

// stopReplaced stops serving b after another backend server was found at its
// address.
func (t *target) stopReplaced(b kernel.BackendInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.serving && t.backend == b {
		t.log.Warn("backend_replaced", zap.String("instance", b.Instance), zap.String("addr", b.Address))
		t.stopServing(time.Now())
	}
}

// stopServing stops serving the backend server. The caller must hold mu.
func (t *target) stopServing(now time.Time) {
	if !t.serving {
		return
	}
	t.serving = false
	t.log.Info("backend_withdrawn", zap.String("service", t.backend.Service), zap.Int("running", len(t.executions)))
	t.deliver(t.controller.Leave(now))
	t.k.Fleet.Announce("", 0)
}

// Leave implements kernel.Target. It starts the graceful shutdown of the target
// role.
func (t *target) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
	t.serving = false
	if t.controller != nil {
		t.deliver(t.controller.Leave(time.Now()))
	}
}

// Status implements kernel.Target.
func (t *target) Status() kernel.TargetStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := kernel.TargetStatus{Backend: t.backend, Leaving: t.leaving || !t.serving, Running: len(t.executions), RateLimit: t.rateTracker.Limit()}
	if t.controller != nil {
		s.Pressure = t.controller.Pressure(time.Now())
	}
	return s
}

// Lookup implements kernel.Executions.
func (t *target) Lookup(token string) (*kernel.Execution, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.executions[token]
	if !ok {
		return nil, false
	}
	return e.Execution, true
}

// LookupRequest implements kernel.Executions.
func (t *target) LookupRequest(id string) (*kernel.Execution, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.executionsByRequestID[id]
	if !ok {
		return nil, false
	}
	return e.Execution, true
}

// addRunning records a running execution. The caller must hold mu.
func (t *target) addRunning(token string, e *running) {
	t.executions[token] = e
	if id := e.Chain.RequestID; id != "" {
		e.sameRequest = t.executionsByRequestID[id]
		t.executionsByRequestID[id] = e
	}
}

// removeRunning removes an execution that has ended. Another attempt of the same request
// may still run and make sub-calls, so only this execution is removed. The caller must
// hold mu.
func (t *target) removeRunning(token string) {
	e := t.executions[token]
	delete(t.executions, token)
	id := e.Chain.RequestID
	if latest := t.executionsByRequestID[id]; latest != e {
		for ; latest != nil; latest = latest.sameRequest {
			if latest.sameRequest == e {
				latest.sameRequest = e.sameRequest
			}
		}
		return
	}
	if e.sameRequest == nil {
		delete(t.executionsByRequestID, id)
		return
	}
	t.executionsByRequestID[id] = e.sameRequest
}

// Withdraw implements kernel.Target. The node id changes with each process start; a
// withdrawal addressed to an earlier process is not confirmed, because this process
// does not know what that one ran.
func (t *target) Withdraw(node string, attempt call.ID) bool {
	if node != t.k.NodeID {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.registry.Withdraw(attempt, time.Now())
}

// Release implements kernel.Target.
func (t *target) Release(r *wire.Release) {
	id, err := call.ParseID(r.GetSubmissionId())
	if err != nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.claims.Release(r.GetService(), r.GetKey(), id, time.Now())
}
