package node

import (
	"math"
	"runtime/debug"
	runtimemetrics "runtime/metrics"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/logging"
	"github.com/dogwoodhatch/dogwoodhatch/memlimit"
	"github.com/dogwoodhatch/dogwoodhatch/sysmem"
)

const (
	// memoryInterval is the time between two samples of the garbage collector's cost.
	memoryInterval = 250 * time.Millisecond
	// memoryWindow is the number of intervals over which the cost is measured, because the
	// figures of the runtime change only at the end of a collection.
	memoryWindow = 4
	// minUsed is the processor time in seconds against which the cost of collections is measured
	// at least. Collections of a node that does little cost little, whatever their part is.
	minUsed = 0.1 * float64(memoryWindow) * float64(memoryInterval) / float64(time.Second)
)

// processorTime is the processor time since the start of the process, in seconds.
type processorTime struct{ gc, used float64 }

// memoryWatch measures what the garbage collector costs, and sets the soft memory limit of the
// Go runtime accordingly.
type memoryWatch struct {
	log        *zap.Logger
	controller *memlimit.Controller
	figures    []runtimemetrics.Sample // collections in all, and those on idle processors
	recent     [memoryWindow]processorTime
	oldest     int // index in recent
	gcPermille atomic.Int64
}

func newMemoryWatch(log *zap.Logger, reg metrics.Registry) *memoryWatch {
	w := &memoryWatch{
		log: logging.Control(log), controller: memlimit.New(memlimit.DefaultConfig(sysmem.Available())),
		figures: []runtimemetrics.Sample{{Name: "/cpu/classes/gc/total:cpu-seconds"}, {Name: "/cpu/classes/gc/mark/idle:cpu-seconds"}},
	}
	metrics.NewRegisteredFunctionalGauge("process.gc_permille", reg, w.gcPermille.Load)
	metrics.NewRegisteredFunctionalGauge("process.memory_limit_bytes", reg, func() int64 { return debug.SetMemoryLimit(-1) })
	return w
}

// run samples the cost of the garbage collector until stop is closed.
func (w *memoryWatch) run(stop <-chan struct{}) {
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.sample()
		case <-stop:
			return
		}
	}
}

// sample measures the part of the processor time that the garbage collector took lately, and lets
// the controller adapt the limit.
func (w *memoryWatch) sample() {
	now, err := w.processorTime()
	if err != nil {
		w.log.Error("processor_time_unknown", zap.Error(err))
		return
	}
	before := w.recent[w.oldest]
	w.recent[w.oldest] = now
	w.oldest = (w.oldest + 1) % memoryWindow
	cost := (now.gc - before.gc) / max(now.used-before.used, minUsed)
	w.gcPermille.Store(int64(math.Round(1000 * cost)))
	if w.controller.Observe(cost) {
		debug.SetMemoryLimit(w.controller.Limit())
		w.log.Info("memory_limit", zap.Int64("bytes", w.controller.Limit()), zap.Float64("gc_cost", cost))
	}
}

func (w *memoryWatch) processorTime() (processorTime, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return processorTime{}, err
	}
	runtimemetrics.Read(w.figures)
	return processorTime{
		gc:   w.figures[0].Value.Float64() - w.figures[1].Value.Float64(),
		used: time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds(),
	}, nil
}
