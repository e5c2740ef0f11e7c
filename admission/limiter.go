package admission

import (
	"time"
)

const (
	slowStartFactor  = 1.5  // growth per window below the slow start threshold
	growthFactor     = 0.05 // growth per window above it
	latencyCutFactor = 0.7
	shedCutFactor    = 0.8
	probeFactor      = 0.75
	inUseFraction    = 0.9 // of the limit in flight, for it to count as in use

	// A cut of the limit to responseFraction must lower the latency to
	// responseLatency of its value before, or the latency has another cause.
	responseFraction = 0.5
	responseLatency  = 0.75

	// A window with few samples closes after slowWindows times its duration.
	slowWindowSamples = 5
	slowWindows       = 5
)

// limiter learns the concurrency that the backend server can use. The limit
// grows while it is in use and latency stays near its baseline, and is cut when
// latency rises far above the baseline or the backend server sheds.
//
// Latency includes sub-calls, so it also rises when a deeper service slows;
// fewer calls in flight do not help then. The limiter therefore compares the
// latency before and after a cut. If halving the limit did not lower the
// latency, the limit is restored and the present latency becomes the baseline.
//
// The baseline is the windowed minimum of averaged latencies, per class. While
// the limit is saturated it is lowered for a moment at intervals, as BBR does
// for its minimum round-trip time (Cardwell et al., "BBR: Congestion-Based
// Congestion Control", ACM Queue 2016).
type limiter struct {
	cfg       *Config
	lat       *latencies
	limit     float64
	slowStart float64 // threshold up to which the limit grows fast
	epoch     uint32  // calls started in an earlier epoch ran under another limit

	windowStart time.Time
	expected    float64 // sum of baselines over the samples of the window
	measured    float64 // sum of latencies
	samples     int
	inUse       bool

	cutFrom   float64 // limit before the first of a series of cuts, or 0
	cutRatio  float64 // latency ratio that caused it
	probeFrom float64 // limit to restore after a probe, or 0
	lastProbe time.Time
	lastShed  time.Time
	ratio     float64 // latency ratio of the last window
}

func newLimiter(cfg *Config, lat *latencies, now time.Time) *limiter {
	return &limiter{
		cfg:         cfg,
		lat:         lat,
		limit:       float64(cfg.InitialLimit),
		slowStart:   float64(cfg.MaxLimit),
		windowStart: now,
		lastProbe:   now,
		ratio:       1,
	}
}

// current returns the limit in calls.
func (l *limiter) current() int { return int(l.limit) }

// observe notes how much of the limit is in use.
func (l *limiter) observe(inFlight, queued, limit int) {
	if queued > 0 || float64(inFlight) >= inUseFraction*float64(limit) {
		l.inUse = true
	}
}

// sample records the end of a call that was started in the given epoch.
func (l *limiter) sample(class string, epoch uint32, s Sample, now time.Time) {
	if s.Shed {
		l.shed(epoch, now)
		return
	}
	seconds := s.Latency.Seconds()
	c := l.lat.class(class)
	partial := s.Failed || s.Canceled
	base := c.baseline()
	if partial {
		c.addLowerBound(seconds)
		l.lat.all.addLowerBound(seconds)
	} else {
		c.add(l.cfg, seconds, now)
		l.lat.all.smooth(seconds)
	}
	if epoch != l.epoch || base == 0 {
		return
	}
	if partial && seconds < base {
		return
	}
	l.expected += base
	l.measured += seconds
	l.samples++
	l.advance(now)
}

// advance closes the window when it has seen enough.
func (l *limiter) advance(now time.Time) {
	elapsed := now.Sub(l.windowStart)
	full := l.samples >= l.cfg.WindowSamples && elapsed >= l.cfg.WindowDuration
	slow := l.samples >= slowWindowSamples && elapsed >= slowWindows*l.cfg.WindowDuration
	if !full && !slow {
		return
	}
	l.ratio = l.measured / l.expected
	inUse := l.inUse
	l.openWindow(now)
	switch {
	case l.probeFrom > 0:
		l.endProbe(now)
	case l.ratio > l.cfg.CutTolerance:
		l.congested(now)
	default:
		l.calm(inUse, now)
	}
}

func (l *limiter) openWindow(now time.Time) {
	l.windowStart = now
	l.expected = 0
	l.measured = 0
	l.samples = 0
	l.inUse = false
}

// calm handles a window whose latency is near the baseline.
func (l *limiter) calm(inUse bool, now time.Time) {
	l.cutFrom = 0
	if !inUse {
		return
	}
	if now.Sub(l.lastProbe) >= l.cfg.ProbeInterval {
		l.startProbe(now)
		return
	}
	if l.ratio < l.cfg.GrowTolerance {
		l.grow()
	}
}

func (l *limiter) grow() {
	next := l.limit + max(1, growthFactor*l.limit)
	if l.limit < l.slowStart {
		next = max(next, min(l.limit*slowStartFactor, l.slowStart))
	}
	l.set(next)
}

// congested handles a window whose latency is far above the baseline.
func (l *limiter) congested(now time.Time) {
	if l.cutFrom == 0 {
		l.cutFrom = l.limit
		l.cutRatio = l.ratio
	}
	if l.unresponsive() {
		l.lat.rebase()
		l.set(l.cutFrom)
		l.cutFrom = 0
		l.nextEpoch(now)
		return
	}
	l.set(l.limit * latencyCutFactor)
	l.slowStart = l.limit
	l.lastProbe = now
	l.nextEpoch(now)
}

// unresponsive reports whether earlier cuts failed to lower the latency.
func (l *limiter) unresponsive() bool {
	deep := l.limit <= responseFraction*l.cutFrom || l.limit <= float64(l.cfg.MinLimit)
	return deep && l.ratio > responseLatency*l.cutRatio
}

// shed handles a refusal by the backend server.
func (l *limiter) shed(epoch uint32, now time.Time) {
	if now.Sub(l.lastShed) > l.cfg.BucketDuration {
		l.slowStart = l.limit * shedCutFactor
	}
	l.lastShed = now
	if epoch != l.epoch {
		return
	}
	l.probeFrom = 0
	l.set(l.limit * shedCutFactor)
	l.nextEpoch(now)
}

func (l *limiter) startProbe(now time.Time) {
	l.probeFrom = l.limit
	l.lat.dropBuckets()
	l.set(l.limit * probeFactor)
	l.nextEpoch(now)
}

// endProbe restores the limit once the lowered one was measured.
func (l *limiter) endProbe(now time.Time) {
	if now.Sub(l.lastProbe) < l.cfg.ProbeInterval+l.cfg.BucketDuration {
		return
	}
	l.set(l.probeFrom)
	l.probeFrom = 0
	l.lastProbe = now
	l.nextEpoch(now)
}

// nextEpoch makes the calls now in flight count no more.
func (l *limiter) nextEpoch(now time.Time) {
	l.epoch++
	l.openWindow(now)
}

func (l *limiter) set(limit float64) {
	l.limit = min(max(limit, float64(l.cfg.MinLimit)), float64(l.cfg.MaxLimit))
}

// hint takes the number of slots that the backend server reports. As the report
// may be wrong, it only sets how far the limit grows fast.
func (l *limiter) hint(slots int) {
	l.slowStart = float64(slots)
}
