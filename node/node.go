// Package node implements the daemon that runs beside each backend server. It serves
// local and external callers, communicates with other nodes and protects its backend
// server from overload.
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
	// leaveNoticeTime is the minimum time that a leaving node keeps running and
	// refuses calls as not run, until other nodes know that it leaves and send no
	// more calls.
	leaveNoticeTime = 2 * time.Second
	// callerRedirectTime is how long the platform may take to direct callers to
	// another node. It checks once per second whether the node is ready, and needs two
	// failed checks.
	callerRedirectTime = 2300 * time.Millisecond
	// graceReserve is the part of the grace period that is kept for stopping the
	// plug-ins and ending the process.
	graceReserve = 1200 * time.Millisecond
	// settingsInterval is the time between two checks of the settings file.
	settingsInterval = time.Second
	// stopTimeout limits the time for stopping the plug-ins if there is no grace period.
	stopTimeout = 5 * time.Second
)

// Node is one running node.
type Node struct {
	settings   *settings.Settings
	configPath string
	kernel     *kernel.Kernel
	memory     *memoryWatch
	log        *zap.Logger
	logWriter  *logging.Writer
	logFile    *os.File
	exitOnce   sync.Once
	exited     chan struct{}
}

// New reads the settings and sets up all plug-ins. Main starts serving. The error is of
// kind errs.Invalid if the settings are invalid or the log cannot be opened; otherwise it
// is that of the plug-in whose setup failed.
func New(o *Options) (*Node, error) {
	s, err := settings.Load(o.Config)
	if err != nil {
		return nil, err
	}
	if s.Limits.Descriptors == 0 {
		s.Limits.Descriptors = o.Descriptors
	}
	n := &Node{settings: s, configPath: o.Config, exited: make(chan struct{})}
	if err := n.openLog(o); err != nil {
		return nil, err
	}
	// The ID is unique per process start, so that a restarted node at the same
	// address is never mistaken for the previous process.
	id := s.Node.ID + "-" + uuid.NewString()[:8]
	reg := metrics.NewRegistry()
	n.memory = newMemoryWatch(n.log, reg)
	metrics.NewRegisteredFunctionalGauge("log.dropped", reg, func() int64 { return int64(n.logWriter.Dropped()) })
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
			return errs.Wrap(err, errs.Invalid, "correct path in section log", "cannot open the log file")
		}
		n.logFile = f
		out = f
	}
	n.logWriter = logging.NewWriter(out, n.settings.Log.Buffer)
	log, err := logging.New(n.logWriter, n.settings.Log.Level)
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "correct level in section log", "cannot set up the log")
	}
	n.log = log
	return nil
}

// flushTimeout bounds how long the exiting process waits for the reader of its log to
// take the buffered lines. A working reader needs far less.
const flushTimeout = 500 * time.Millisecond

// closeLog flushes and closes the log. Lines not written within flushTimeout are lost.
// logWriter stays usable, because goroutines of interrupted calls may still log.
func (n *Node) closeLog() {
	n.logWriter.Flush(flushTimeout)
	if n.logFile != nil {
		n.logFile.Close()
	}
}

// Main starts the node and returns once Exit has finished, or with an error if a
// plug-in cannot be started. If an operator requests a shutdown, Main calls Exit itself.
func (n *Node) Main(ctx context.Context) error {
	if err := n.kernel.Start(ctx); err != nil {
		n.closeLog()
		return err
	}
	n.log.Info("node_started", zap.String("node", n.kernel.NodeID), zap.String("region", n.settings.Node.Region),
		zap.String("failure_domain", n.settings.Node.FailureDomain), zap.String("peer", n.settings.Listen.Peer),
		zap.Duration("grace", n.settings.Bounds.Grace), zap.Float64("retry_ratio", n.settings.Bounds.RetryRatio), zap.Float64("retry_slack", n.settings.Bounds.RetrySlack),
		zap.Duration("revoke", n.settings.Bounds.Revoke), zap.Bool("revoke_fail_closed", n.settings.Bounds.RevokeFailClosed))
	go n.watchSettings()
	go n.memory.run(n.exited)
	select {
	case <-n.kernel.Drain.Requested():
		n.Exit()
	case <-n.exited:
	}
	return nil
}

// Exit shuts the node down gracefully: it refuses new requests as not run and waits for
// those in flight to end. If the node serves callers of the platform, it still serves
// them for callerRedirectTime, before it refuses their requests; those whose deadline is
// after the drain timeout are refused from the beginning. After the drain timeout of the
// settings the remaining requests are interrupted.
func (n *Node) Exit() {
	n.exitOnce.Do(n.exit)
	<-n.exited
}

func (n *Node) exit() {
	defer close(n.exited)
	began := time.Now()
	n.log.Info("node_leaving", zap.Int("in_flight", n.kernel.Drain.InFlight()))
	timeout := n.settings.Backend.DrainTimeout
	if grace := n.settings.Bounds.Grace; grace > 0 {
		timeout = min(timeout, grace-graceReserve)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var redirect time.Duration
	if n.settings.Platform.Callers != "" {
		redirect = callerRedirectTime
	}
	n.kernel.Drain.MarkClosing(began, began.Add(redirect), began.Add(timeout))
	n.kernel.Target.Leave()
	n.kernel.Fleet.Leave()
	n.sleep(ctx, redirect)
	n.kernel.Drain.Leave()
	cut := n.drain(ctx)
	stopCtx, cancelStop := context.WithTimeout(context.Background(), n.stopTimeout())
	defer cancelStop()
	n.kernel.Stop(stopCtx)
	n.log.Info("node_stopped", zap.Int("cut", cut), zap.Duration("took", time.Since(began)))
	n.closeLog()
}

// stopTimeout returns the time limit for stopping the plug-ins.
func (n *Node) stopTimeout() time.Duration {
	if n.settings.Bounds.Grace > 0 {
		return graceReserve / 2
	}
	return stopTimeout
}

// drain waits for the requests in flight and returns how many are left when ctx
// ends. It also waits for leaveNoticeTime, unless exit has already waited for
// callerRedirectTime, which is longer.
func (n *Node) drain(ctx context.Context) int {
	if n.settings.Platform.Callers == "" {
		n.sleep(ctx, leaveNoticeTime)
	}
	if err := n.kernel.Drain.Wait(ctx); err != nil {
		return n.kernel.Drain.InFlight()
	}
	return 0
}

// sleep returns after d, or earlier if ctx ends.
func (n *Node) sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// Reload reads the settings file again. If the file is unreadable or invalid, the
// previous settings stay in force.
func (n *Node) Reload() {
	s, err := settings.Load(n.configPath)
	if err != nil {
		n.log.Error("reload_failed", zap.Error(err))
		return
	}
	n.kernel.Reload(s)
	n.log.Info("reloaded", zap.String("service", s.Node.Service))
}

// watchSettings reloads the settings whenever their file has changed, until the node
// exits.
func (n *Node) watchSettings() {
	last := n.settingsVersion()
	tick := time.NewTicker(settingsInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-n.exited:
			return
		}
		if now := n.settingsVersion(); now != last {
			last = now
			n.Reload()
		}
	}
}

// fileVersion holds the attributes that reveal a change of a file.
type fileVersion struct {
	modified time.Time
	size     int64
}

func (n *Node) settingsVersion() fileVersion {
	info, err := os.Stat(n.configPath)
	if err != nil {
		return fileVersion{}
	}
	return fileVersion{info.ModTime(), info.Size()}
}
