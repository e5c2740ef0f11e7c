package target

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/admission"
	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/execution"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/lifecycle"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

const (
	tickInterval   = 10 * time.Millisecond // of the admission queue
	expireInterval = time.Second           // of old attempts and claims
)

// target is the plug-in. mu guards the decision state; it is held for
// microseconds and never across I/O.
type target struct {
	k        *kernel.Kernel
	log      *zap.Logger
	cancel   context.CancelFunc
	started  time.Time
	waiting  chan struct{} // calls have begun to wait
	answered metrics.Meter
	refused  metrics.Meter
	unknown  metrics.Meter

	mu       sync.Mutex
	ctrl     *admission.Controller
	registry *execution.Registry
	claims   *execution.Claims
	tracker  lifecycle.Tracker
	backend  kernel.BackendInfo
	up       bool // a backend server has announced itself
	leaving  bool
	renewed  time.Time
	running  map[string]*kernel.Execution // by token
	requests map[string]*kernel.Execution // by the caller's id of the request
	views    *execution.Views
	seen     uint64 // version of the fleet that views knows
}

func newTarget(k *kernel.Kernel) *target {
	now := time.Now()
	t := &target{
		k:        k,
		log:      k.Log,
		started:  now,
		waiting:  make(chan struct{}, 1),
		registry: execution.NewRegistry(execution.DefaultRegistryConfig()),
		claims:   execution.NewClaims(execution.DefaultClaimsConfig(), time.Time{}),
		views:    execution.NewViews(k.NodeID, ClaimHolders, execution.DefaultClaimsConfig().ClockSkew),
		running:  map[string]*kernel.Execution{},
		requests: map[string]*kernel.Execution{},
		answered: metrics.GetOrRegisterMeter("target.answered", k.Metrics),
		refused:  metrics.GetOrRegisterMeter("target.refused", k.Metrics),
		unknown:  metrics.GetOrRegisterMeter("target.unknown", k.Metrics),
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
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	tick.Stop() // until calls wait
	ticking := false
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	for {
		select {
		case <-t.waiting:
			if !ticking { // a reset would put off the next tick
				tick.Reset(tickInterval)
				ticking = true
			}
		case now := <-tick.C:
			if t.tick(now) == 0 {
				tick.Stop()
				ticking = false
			}
		case now := <-expire.C:
			t.expire(now)
		case <-ctx.Done():
			return
		}
	}
}

// tick looks through the queue and returns how many calls wait.
func (t *target) tick(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctrl == nil {
		return 0
	}
	t.deliver(t.ctrl.Tick(now))
	return t.ctrl.Waiting()
}

// queued lets the queue be looked through while calls wait.
func (t *target) queued() {
	select {
	case t.waiting <- struct{}{}:
	default: // that was asked for already
	}
}

// expire forgets old attempts, and the backend server when its announcement lapsed.
func (t *target) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.registry.Expire(now)
	t.observeMembers(now)
	if t.up && now.Sub(t.renewed) > t.k.Settings.Backend.AnnounceTTL {
		t.log.Warn("backend_lapsed", zap.String("service", t.backend.Service), zap.String("addr", t.backend.Address))
		t.withdraw(now)
	}
}

// deliver hands the decisions on queued tickets to their goroutines.
func (t *target) deliver(actions []admission.Action) {
	for _, a := range actions {
		a.Ticket.Data.(chan admission.Action) <- a
	}
}

// Report implements kernel.Target.
func (t *target) Report(ctx context.Context, r lifecycle.Report) {
	if change := t.report(r, time.Now()); r.Draining && change != lifecycle.Stale {
		t.recordEnd(ctx)
	}
}

func (t *target) report(r lifecycle.Report, now time.Time) lifecycle.Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	change := t.tracker.Take(r, now)
	if change != lifecycle.Renewed {
		t.log.Info("backend_report", zap.Stringer("change", change), zap.String("instance", r.Instance), zap.Int64("born", r.Born),
			zap.Int64("sequence", r.Sequence), zap.String("service", r.Service), zap.Bool("draining", r.Draining), zap.Duration("cold", r.Cold))
	}
	switch change {
	case lifecycle.Started, lifecycle.Renewed:
		if t.tracker.Serving() {
			t.announce(kernel.BackendInfo{Instance: r.Instance, Service: r.Service, Address: r.Address, Slots: r.Slots}, now)
		}
	case lifecycle.Ended:
		t.withdraw(now)
	}
	return change
}

// BackendDeparted implements kernel.Target.
func (t *target) BackendDeparted(ctx context.Context, start membership.Start) {
	if change := t.depart(start, time.Now()); change != lifecycle.Stale {
		t.recordEnd(ctx)
	}
}

func (t *target) depart(start membership.Start, now time.Time) lifecycle.Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	change := t.tracker.Leave(start.Instance, start.Born, now)
	t.log.Info("backend_departed", zap.Stringer("change", change), zap.String("instance", start.Instance), zap.Int64("born", start.Born))
	if change == lifecycle.Ended {
		t.withdraw(now)
	}
	return change
}

// recordEndTimeout leaves 0.4 s of the second within which a backend server has
// to hear the answer to what it tells.
const recordEndTimeout = 600 * time.Millisecond

// recordEnd lets the last end of a start outlast this process. A store that cannot be
// reached delays nobody for long: the end holds in this process in any case.
func (t *target) recordEnd(ctx context.Context) {
	t.mu.Lock()
	var start membership.Start
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
	t.announce(b, time.Now())
}

// announce serves a backend server; the caller holds mu.
func (t *target) announce(b kernel.BackendInfo, now time.Time) {
	t.renewed = now
	if t.leaving || t.up && t.backend == b {
		return
	}
	if t.up && t.backend.Service == b.Service && t.backend.Address == b.Address && t.backend.Instance == b.Instance {
		t.backend = b
		t.ctrl.Hint(b.Slots, now)
		t.k.Fleet.Announce(b.Service, b.Slots)
		return
	}
	if t.up {
		t.withdraw(now)
	}
	t.backend = b
	t.up = true
	t.ctrl = admission.New(t.admissionConfig(b.Slots), rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), now)
	t.ctrl.Hint(b.Slots, now)
	t.log.Info("backend_announced", zap.String("service", b.Service), zap.String("instance", b.Instance), zap.String("addr", b.Address),
		zap.Int("slots", b.Slots), zap.Int("connections", b.Connections))
	t.k.Fleet.Announce(b.Service, b.Slots)
}

// admissionConfig returns the settings for a backend server of that many slots.
func (t *target) admissionConfig(slots int) admission.Config {
	cfg := admission.DefaultConfig()
	if t.k.Settings.Backend.TrustSlots && slots > 0 {
		cfg.FixLimit(slots)
	}
	return cfg
}

// WithdrawBackend implements kernel.Target: queued calls are refused as not run,
// running ones end by themselves.
func (t *target) WithdrawBackend() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.withdraw(time.Now())
}

// replaced ends serving a backend server whose address another one has.
func (t *target) replaced(b kernel.BackendInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.up && t.backend == b {
		t.log.Warn("backend_replaced", zap.String("instance", b.Instance), zap.String("addr", b.Address))
		t.withdraw(time.Now())
	}
}

// withdraw ends serving the backend server; the caller holds mu.
func (t *target) withdraw(now time.Time) {
	if !t.up {
		return
	}
	t.up = false
	t.log.Info("backend_withdrawn", zap.String("service", t.backend.Service), zap.Int("running", len(t.running)))
	t.deliver(t.ctrl.Leave(now))
	t.k.Fleet.Announce("", 0)
}

// Leave starts the graceful shutdown of the target role.
func (t *target) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
	t.up = false
	if t.ctrl != nil {
		t.deliver(t.ctrl.Leave(time.Now()))
	}
}

// Status implements kernel.Target.
func (t *target) Status() kernel.TargetStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := kernel.TargetStatus{Backend: t.backend, Leaving: t.leaving || !t.up, Running: len(t.running)}
	if t.ctrl != nil {
		s.Pressure = t.ctrl.Pressure(time.Now())
	}
	return s
}

// Lookup implements kernel.Executions.
func (t *target) Lookup(token string) (*kernel.Execution, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.running[token]
	return e, ok
}

// LookupRequest implements kernel.Executions.
func (t *target) LookupRequest(id string) (*kernel.Execution, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.requests[id]
	return e, ok
}

// Withdraw implements kernel.Target. A process that was started since knows
// nothing of what its predecessor ran.
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
