// Package kernel holds the state that the plug-ins of a node share, and starts and
// stops the plug-ins in order. A plug-in registers itself with a name and a stage,
// and uses other plug-ins through the interfaces in this package.
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

	"github.com/dogwoodhatch/dogwoodhatch/bodybudget"
	"github.com/dogwoodhatch/dogwoodhatch/headbudget"
	"github.com/dogwoodhatch/dogwoodhatch/logging"
	"github.com/dogwoodhatch/dogwoodhatch/route"
	"github.com/dogwoodhatch/dogwoodhatch/settings"
	"github.com/dogwoodhatch/dogwoodhatch/store"
)

// Kernel is the shared state of one node. Plug-ins set the interface fields during
// setup; after Start they must not be changed.
type Kernel struct {
	Settings *settings.Settings
	Log      *zap.Logger
	Metrics  metrics.Registry
	Sampler  *logging.Sampler // selects the requests that are logged
	Control  *Control
	Pulse    *Pulse
	NodeID   string // unique per process start

	Profiles   Profiles
	Fleet      Fleet
	Transport  Transport
	Target     Target
	Caller     Caller
	Ingress    Ingress
	Executions Executions
	Backend    Backend
	Dialect    BackendDialect // nil selects the built-in dialect
	Quarantine Quarantine
	Quotas     Quotas
	Routes     *route.ActiveTable // desired routing state
	Replica    Replica
	Records    *Records
	Store      store.Store // nil if no store is configured
	Exchanges  *Exchanges
	Drain      *Drain
	Bodies     *bodybudget.Budget // memory for bodies of requests of callers
	CallBodies *bodybudget.Budget // memory for bodies of calls of other nodes
	Heads      *headbudget.Heads  // memory for the heads of requests

	descriptors  int // that the node may open
	plugins      []namedPlugin
	started      atomic.Bool
	localService atomic.Pointer[string]
}

type namedPlugin struct {
	name   string
	plugin Plugin
}

// Plugin is a component of a node that is started and stopped with it.
type Plugin interface {
	// Start begins serving and returns once the plug-in is ready.
	Start(ctx context.Context) error
	// Stop ends serving. Plug-ins are stopped in the reverse order of their start.
	Stop(ctx context.Context) error
}

// Setup creates a plug-in and sets the kernel fields that it implements.
type Setup func(k *Kernel) (Plugin, error)

// Stage determines the order in which plug-ins are set up and started.
type Stage int

// Stages in order. During setup a plug-in may use the kernel fields set by earlier
// stages.
const (
	StagePlatform  Stage = iota // adapters of the platform, such as the store
	StageState                  // membership and configuration
	StageTransport              // connections to other nodes and to the backend server
	StageTarget                 // role of the node beside the backend server
	StageCaller                 // role of the node beside the caller
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

// Register adds a plug-in to every kernel that New creates in this process. It is
// meant to be called from init.
func Register(name string, stage Stage, s Setup) {
	registryMu.Lock()
	defer registryMu.Unlock()
	registry = append(registry, registration{name, stage, s})
	slices.SortStableFunc(registry, func(a, b registration) int { return cmp.Compare(a.stage, b.stage) })
}

// New returns a kernel on which all registered plug-ins have been set up, or the error
// of the first one whose setup failed.
func New(s *settings.Settings, nodeID string, log *zap.Logger, reg metrics.Registry) (*Kernel, error) {
	k := &Kernel{Settings: s, Sampler: logging.NewSampler(s.Log.Sample), NodeID: nodeID, Log: log, Metrics: reg, Control: newControl(), Exchanges: newExchanges(), Records: newRecords(), Routes: &route.ActiveTable{}, Drain: newDrain(), Bodies: newBodyBudget(s), CallBodies: newBodyBudget(s), Heads: newHeadBudgets(s), descriptors: descriptors(s, log)}
	k.Pulse = newPulse(log, k.Control)
	k.registerBodyGauges()
	k.registerHeadGauges()
	metrics.NewRegisteredFunctionalGauge("process.delay_us", reg, func() int64 { return k.Pulse.Delay().Microseconds() })
	metrics.NewRegisteredFunctionalGauge("control.wait_us", reg, func() int64 { return k.Control.Wait().Microseconds() })
	metrics.NewRegisteredFunctionalGauge("control.busy_us", reg, func() int64 { return k.Control.Busy().Microseconds() })
	metrics.NewRegisteredFunctionalGauge("requests.in_flight", reg, func() int64 { return int64(k.Drain.InFlight()) })
	metrics.NewRegisteredFunctionalGauge("log.requests_ordinary", reg, func() int64 { n, _ := k.Sampler.Skipped(); return int64(n) })
	metrics.NewRegisteredFunctionalGauge("log.requests_throttled", reg, func() int64 { _, n := k.Sampler.Skipped(); return int64(n) })
	k.Reload(s)
	registryMu.Lock()
	registrations := slices.Clone(registry)
	registryMu.Unlock()
	for _, r := range registrations {
		p, err := r.setup(k)
		if err != nil {
			return nil, fmt.Errorf("plug-in %s: %w", r.name, err)
		}
		k.plugins = append(k.plugins, namedPlugin{r.name, p})
	}
	return k, nil
}

// Start runs the control goroutine and starts the plug-ins in order. If one fails,
// Start stops those already started and returns the error.
func (k *Kernel) Start(ctx context.Context) error {
	go k.Control.run()
	go k.Pulse.run()
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

// Ready reports whether the node accepts work: all plug-ins have started, the
// state of the fleet is known, and the node is not about to stop.
func (k *Kernel) Ready() bool {
	return k.started.Load() && k.Replica.Revision() > 0 && !k.Drain.Closing()
}

// LocalService returns the service of the backend server on this VM.
func (k *Kernel) LocalService() string { return *k.localService.Load() }

// Reload applies new settings. Only the settings that can change while the node
// runs are read.
func (k *Kernel) Reload(s *settings.Settings) { k.localService.Store(&s.Node.Service) }

// Stop stops the plug-ins in reverse order, then the control goroutine.
func (k *Kernel) Stop(ctx context.Context) { k.stop(ctx, k.plugins) }

func (k *Kernel) stop(ctx context.Context, plugins []namedPlugin) {
	for _, p := range slices.Backward(plugins) {
		if err := p.plugin.Stop(ctx); err != nil {
			k.Log.Warn("plugin_stop_failed", zap.String("plugin", p.name), zap.Error(err))
		}
	}
	k.Control.stop()
	k.Pulse.stop()
}
