package node

import (
	"math"
	"runtime/debug"
	runtimemetrics "runtime/metrics"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/logging"
	"github.com/dogwoodhatch/dogwoodhatch/memlimit"
)

// memoryInterval is the time between two looks at the garbage collector.
const memoryInterval = 250 * time.Millisecond

// memoryWatch measures what the garbage collector costs, and sets the soft memory limit of the
// Go runtime accordingly.
type memoryWatch struct {
	log        *zap.Logger
	controller *memlimit.Controller
	samples    []runtimemetrics.Sample // gc, user: processor time in seconds, updated at the end of a collection
	gc, user   float64                 // of the last look
	gcPermille atomic.Int64            // of the processor time that the process used until the end of the last collection
}

func newMemoryWatch(log *zap.Logger, reg metrics.Registry) *memoryWatch {
	w := &memoryWatch{log: logging.Control(log), controller: memlimit.New(memlimit.DefaultConfig(memlimit.Available())), samples: []runtimemetrics.Sample{{Name: "/cpu/classes/gc/total:cpu-seconds"}, {Name: "/cpu/classes/user:cpu-seconds"}}}
	metrics.NewRegisteredFunctionalGauge("process.gc_permille", reg, w.gcPermille.Load)
	metrics.NewRegisteredFunctionalGauge("process.memory_limit_bytes", reg, func() int64 { return debug.SetMemoryLimit(-1) })
	return w
}

// run looks at the garbage collector until stop is closed.
func (w *memoryWatch) run(stop <-chan struct{}) {
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.look()
		case <-stop:
			return
		}
	}
}

// look measures the part of the processor time that the garbage collector took since the
// last look, and lets the controller adapt the limit.
func (w *memoryWatch) look() {
	runtimemetrics.Read(w.samples)
	gc, user := w.samples[0].Value.Float64(), w.samples[1].Value.Float64()
	cost := 0.0
	if used := gc - w.gc + user - w.user; used > 0 {
		cost = (gc - w.gc) / used
	}
	w.gc, w.user = gc, user
	w.gcPermille.Store(int64(math.Round(1000 * cost)))
	if w.controller.Observe(cost) {
		debug.SetMemoryLimit(w.controller.Limit())
		w.log.Info("memory_limit", zap.Int64("bytes", w.controller.Limit()), zap.Float64("gc_cost", cost))
	}
}
