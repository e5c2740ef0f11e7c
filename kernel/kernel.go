// Package kernel holds what the plug-ins of a node share and runs them in
// order. A plug-in registers itself under a name and a stage; it finds its
// neighbours through the small interfaces in this package.
package kernel

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/logging"
	"github.com/dogwoodhatch/dogwoodhatch/route"
	"github.com/dogwoodhatch/dogwoodhatch/settings"
	"github.com/dogwoodhatch/dogwoodhatch/store"
)

// Kernel is the shared state of one node. The interface fields are set by the
// plug-ins during setup and are read only after Start.
type Kernel struct {
	Settings *settings.Settings
	Log      *zap.Logger
	Metrics  metrics.Registry
	Sampler  *logging.Sampler // which requests are logged
	Control  *Control
	NodeID   string // unique per process start

	Policies   Policies
	Fleet      Fleet
	Transport  Transport
	Target     Target
	Caller     Caller
	Ingress    Ingress
	Executions Executions
	Backend    Backend
	Dialect    BackendDialect     // nil speaks the project's own
	Routes     *route.ActiveTable // desired state of routes
	Replica    Replica
	Records    *Records
	Store      store.Store // nil without a store
	Exchanges  *Exchanges
	Drain      *Drain

	plugins []named
	started atomic.Bool
	origin  atomic.Pointer[string]
}

type named struct {
	name   string
	plugin Plugin
}

// Plugin is a part of a node with a life cycle.
type Plugin interface {
	// Start begins serving; it returns once the plug-in is ready.
	Start(ctx context.Context) error
	// Stop ends serving; it is called in the reverse order of Start.
	Stop(ctx context.Context) error
}

// Setup creates a plug-in and fills the kernel fields that it provides.
type Setup func(k *Kernel) (Plugin, error)

// Stage orders the setup of plug-ins.
type Stage int

// Stages: a plug-in may use during setup what earlier stages provide.
const (
	StagePlatform  Stage = iota // what the platform provides
	StageState                  // membership and configuration
	StageTransport              // between nodes
	StageTarget                 // beside the backend server
	StageCaller                 // beside the caller
	StageListen                 // listeners for callers and operators
)

type registration struct {
	name  string
	stage Stage
	setup Setup
}

var (
	registryMu sync.Mutex
	registry   []registration
)

// Register adds a plug-in to every node of this process; call it from init.
func Register(name string, stage Stage, s Setup) {
	registryMu.Lock()
	defer registryMu.Unlock()
	registry = append(registry, registration{name, stage, s})
	slices.SortStableFunc(registry, func(a, b registration) int { return cmp.Compare(a.stage, b.stage) })
}

// New returns a kernel with all registered plug-ins set up.
func New(s *settings.Settings, nodeID string, log *zap.Logger, reg metrics.Registry) (*Kernel, error) {
	k := &Kernel{Settings: s, Sampler: logging.NewSampler(s.Log.Sample), NodeID: nodeID, Log: log, Metrics: reg, Control: newControl(), Exchanges: newExchanges(), Records: newRecords(), Routes: &route.ActiveTable{}, Drain: newDrain()}
	metrics.NewRegisteredFunctionalGauge("control.busy_us", reg, func() int64 { return k.Control.Busy().Microseconds() })
	metrics.NewRegisteredFunctionalGauge("requests.in_flight", reg, func() int64 { return int64(k.Drain.InFlight()) })
	metrics.NewRegisteredFunctionalGauge("log.requests_ordinary", reg, func() int64 { n, _ := k.Sampler.Skipped(); return int64(n) })
	metrics.NewRegisteredFunctionalGauge("log.requests_throttled", reg, func() int64 { _, n := k.Sampler.Skipped(); return int64(n) })
	k.Reload(s)
	registryMu.Lock()
	list := slices.Clone(registry)
	registryMu.Unlock()
	for _, r := range list {
		p, err := r.setup(k)
		if err != nil {
			return nil, fmt.Errorf("plug-in %s: %w", r.name, err)
		}
		k.plugins = append(k.plugins, named{r.name, p})
	}
	return k, nil
}

// Start runs the control goroutine and starts the plug-ins in order. When one
// fails, those already started are stopped.
func (k *Kernel) Start(ctx context.Context) error {
	go k.Control.run()
	for i, p := range k.plugins {
		if err := p.plugin.Start(ctx); err != nil {
			k.stop(ctx, k.plugins[:i])
			return fmt.Errorf("plug-in %s: %w", p.name, err)
		}
		k.Log.Info("plugin_started", zap.String("plugin", p.name))
	}
	k.started.Store(true)
	return nil
}

// Ready reports whether the node takes work: it has started, knows the state of
// the fleet and is not about to stop.
func (k *Kernel) Ready() bool {
	return k.started.Load() && k.Replica.Revision() > 0 && !k.Drain.Closing()
}

// Origin returns the service of the backend server on the VM.
func (k *Kernel) Origin() string { return *k.origin.Load() }

// Reload takes new settings; only those that can change while the node runs are
// read.
func (k *Kernel) Reload(s *settings.Settings) { k.origin.Store(&s.Node.Service) }

// Stop stops the plug-ins in reverse order, then the control goroutine.
func (k *Kernel) Stop(ctx context.Context) { k.stop(ctx, k.plugins) }

func (k *Kernel) stop(ctx context.Context, list []named) {
	for _, p := range slices.Backward(list) {
		if err := p.plugin.Stop(ctx); err != nil {
			k.Log.Warn("plugin_stop_failed", zap.String("plugin", p.name), zap.Error(err))
		}
	}
	k.Control.stop()
}
