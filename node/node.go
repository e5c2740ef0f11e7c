// Package node is the daemon that runs beside each backend server. It serves
// local and outside callers, reaches other nodes and guards its backend server.
package node

import (
	"context"
	"io"
	"os"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/logging"
	"github.com/dogwoodhatch/dogwoodhatch/settings"
)

const (
	// announceTime is how long a leaving node keeps refusing calls as not run
	// after its last work ended, so that the news that it leaves overtakes
	// the calls that are still sent to it.
	announceTime = 2 * time.Second
	// callersLeaveTime is how long callers of the platform may take until they go
	// elsewhere: it asks each second whether the node is ready, twice.
	callersLeaveTime = 2300 * time.Millisecond
	// graceReserve is left of the grace time for the end of the process.
	graceReserve = 1200 * time.Millisecond
	// settingsInterval is the time between two looks at the settings file.
	settingsInterval = time.Second
	stopTimeout      = 5 * time.Second
)

// Node is one running node.
type Node struct {
	settings *settings.Settings
	config   string // path of the settings file
	kernel   *kernel.Kernel
	log      *zap.Logger
	writer   *logging.Writer
	file     *os.File
	exitOnce sync.Once
	exited   chan struct{}
}

// New reads the settings and sets up all plug-ins. Nothing is served yet.
func New(o *Options) (*Node, error) {
	s, err := settings.Load(o.Config)
	if err != nil {
		return nil, err
	}
	n := &Node{settings: s, config: o.Config, exited: make(chan struct{})}
	if err := n.openLog(o); err != nil {
		return nil, err
	}
	// The identity differs after each start, so that a new process at an old
	// address is never taken for its predecessor.
	id := s.Node.ID + "-" + uuid.NewString()[:8]
	reg := metrics.NewRegistry()
	metrics.NewRegisteredFunctionalGauge("log.dropped", reg, func() int64 { return int64(n.writer.Dropped()) })
	n.kernel, err = kernel.New(s, id, n.log, reg)
	if err != nil {
		n.closeLog()
		return nil, err
	}
	return n, nil
}

func (n *Node) openLog(o *Options) error {
	var out io.Writer = os.Stdout
	if o.LogOutput != nil {
		out = o.LogOutput
	}
	if path := n.settings.Log.Path; path != "" {
		f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return errs.Wrap(err, errs.Invalid, "correct path in section log", "log cannot be opened")
		}
		n.file = f
		out = f
	}
	n.writer = logging.NewWriter(out, n.settings.Log.Buffer)
	log, err := logging.New(n.writer, n.settings.Log.Level)
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "correct level in section log", "log cannot be opened")
	}
	n.log = log
	return nil
}

// flushTimeout is how long the process waits at its end for the reader of its log:
// a reader that lives takes the buffered lines in far less.
const flushTimeout = 500 * time.Millisecond

// closeLog flushes the log; lines that nobody reads are lost. The writer stays
// usable, because goroutines of calls that were cut at the end may still log.
func (n *Node) closeLog() {
	n.writer.Flush(flushTimeout)
	if n.file != nil {
		n.file.Close()
	}
}

// Main starts the node and serves until Exit has finished.
func (n *Node) Main(ctx context.Context) error {
	if err := n.kernel.Start(ctx); err != nil {
		n.closeLog()
		return err
	}
	n.log.Info("node_started", zap.String("node", n.kernel.NodeID), zap.String("region", n.settings.Node.Region),
		zap.String("failure_domain", n.settings.Node.FailureDomain), zap.String("peer", n.settings.Listen.Peer),
		zap.Duration("grace", n.settings.Bounds.Grace), zap.Float64("retry_ratio", n.settings.Bounds.RetryRatio), zap.Float64("retry_slack", n.settings.Bounds.RetrySlack))
	go n.watchSettings()
	select {
	case <-n.kernel.Drain.Requested():
		n.Exit()
	case <-n.exited:
	}
	return nil
}

// Exit shuts the node down gracefully: new work is refused as not run, work in
// flight ends, and after the drain timeout of the settings what is left is cut.
func (n *Node) Exit() {
	n.exitOnce.Do(n.exit)
	<-n.exited
}

func (n *Node) exit() {
	defer close(n.exited)
	began := time.Now()
	n.log.Info("node_leaving", zap.Int("in_flight", n.kernel.Drain.InFlight()))
	limit := n.settings.Backend.DrainTimeout
	if grace := n.settings.Bounds.Grace; grace > 0 {
		limit = min(limit, grace-graceReserve)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	n.kernel.Drain.Close()
	n.kernel.Target.Leave()
	n.kernel.Fleet.Leave()
	if n.settings.Platform.Callers != "" {
		n.wait(ctx, callersLeaveTime)
	}
	n.kernel.Drain.Leave()
	cut := n.drain(ctx)
	stop, cancelStop := context.WithTimeout(context.Background(), n.stopTimeout())
	defer cancelStop()
	n.kernel.Stop(stop)
	n.log.Info("node_stopped", zap.Int("cut", cut), zap.Duration("took", time.Since(began)))
	n.closeLog()
}

// stopTimeout bounds the end of the plug-ins.
func (n *Node) stopTimeout() time.Duration {
	if n.settings.Bounds.Grace > 0 {
		return graceReserve / 2
	}
	return stopTimeout
}

// drain waits for the work in flight and returns how many requests are left
// when ctx ends.
func (n *Node) drain(ctx context.Context) int {
	if n.settings.Platform.Callers == "" {
		n.wait(ctx, announceTime)
	}
	if err := n.kernel.Drain.Wait(ctx); err != nil {
		return n.kernel.Drain.InFlight()
	}
	return 0
}

// wait returns after d or when ctx ends.
func (n *Node) wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Reload reads the settings again. A file that cannot be read leaves the last
// good settings in force.
func (n *Node) Reload() {
	s, err := settings.Load(n.config)
	if err != nil {
		n.log.Error("reload_failed", zap.Error(err))
		return
	}
	n.kernel.Reload(s)
	n.log.Info("reloaded", zap.String("service", s.Node.Service))
}

// watchSettings reloads the settings when their file has changed.
func (n *Node) watchSettings() {
	last := n.fileState()
	tick := time.NewTicker(settingsInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-n.exited:
			return
		}
		if now := n.fileState(); now != last {
			last = now
			n.Reload()
		}
	}
}

// fileState is what shows that a file has changed.
type fileState struct {
	modified time.Time
	size     int64
}

func (n *Node) fileState() fileState {
	info, err := os.Stat(n.config)
	if err != nil {
		return fileState{}
	}
	return fileState{info.ModTime(), info.Size()}
}
