package admission

import "time"

const (
	slowStartFactor = 1.5  // growth per window below the slow start threshold
	growthFactor    = 0.25 // growth per window above it, at the baseline latency
	cutFactor       = 0.6  // of the limit, when latency is too high
	shedCutFactor   = 0.8  // of the limit, when the backend server sheds
	probeFactor     = 0.5  // of the limit, during a probe
	hintFactor      = 4    // of InitialLimit, highest limit that a hint may set
	inUseFraction   = 0.9  // of the limit, calls in flight at which it counts as in use

	// Cuts to responseFraction of the limit must lower the latency ratio to
	// responseFactor of its value before. Otherwise the latency has another cause
	// than the number of calls in flight.
	responseFraction = 0.5
	responseFactor   = 0.7

	// A latency ratio below recoveringFactor times the previous one, within a
	// series of cuts, has fallen more than the last cut explains.
	recoveringFactor = 0.5

	// peakDecay is the factor per window on the highest recent limit.
	peakDecay = 0.97

	// firstProbeDelay is the delay before the first probe. It is short because the
	// first baseline is often measured while calls wait inside the backend server.
	firstProbeDelay = time.Second

	// cutWindowFactor multiplies the samples of a window in a series of cuts.
	cutWindowFactor = 2

	// After a change of the limit, samples count once settleFactor times the
	// calls in flight have ended. The first calls to end were started under the
	// old limit, or are the shortest of those started since.
	settleFactor = 2

	// A window with at least slowWindowSamples samples closes after
	// slowWindowFactor times its least duration.
	slowWindowSamples = 5
	slowWindowFactor  = 5
)

// limiter learns the concurrency that the backend server can use. The limit
// grows while it is in use and latency stays near its baseline, and is cut when
// latency rises far above the baseline or the backend server sheds.
//
// Latency includes sub-calls, so it also rises when a service further down the
// call graph slows down; a lower limit does not help then. The limiter therefore
// compares the latency before and after cuts. If the cuts did not lower the
// latency, the limit is restored and the current latency becomes the baseline.
//
// A saturated limit is lowered briefly at intervals (a probe), so that latency
// without queueing enters the baseline, as BBR does for its minimum round-trip
// time (Cardwell et al., "BBR: Congestion-Based Congestion Control", ACM Queue
// 2016).
type limiter struct {
	cfg                *Config
	latencies          *latencies
	limit              float64
	slowStartThreshold float64 // limit up to which it grows fast
	peak               float64 // highest recent limit at which latency was near the baseline
	hintedSlots        int     // slots in the last hint

	baseline         baseline
	window           classSums
	windowStart      time.Time
	endsUntilSettled int // calls that must end before samples count
	inFlight         int
	inUse            bool
	ratio            float64 // of latency to baseline in the last window

	limitBeforeCuts  float64 // limit before the first of a series of cuts, or 0
	firstCutRatio    float64 // latency ratio that caused the first cut
	lastCutRatio     float64 // latency ratio in the last window of the series
	limitBeforeProbe float64 // limit to restore after a probe, or 0
	lastProbe        time.Time
	probeDelay       time.Duration // between probes, doubles up to ProbeInterval
	lastShed         time.Time
}

func newLimiter(cfg *Config, lat *latencies, now time.Time) *limiter {
	return &limiter{
		cfg:                cfg,
		latencies:          lat,
		limit:              float64(cfg.InitialLimit),
		slowStartThreshold: float64(cfg.MaxLimit),
		windowStart:        now,
		lastProbe:          now,
		probeDelay:         firstProbeDelay,
		endsUntilSettled:   cfg.WindowSamples,
		ratio:              1,
	}
}

// current returns the limit in calls.
func (l *limiter) current() int { return int(l.limit) }

// observe records the calls in flight and whether the limit is in use.
func (l *limiter) observe(inFlight, queued, limit int) {
	l.inFlight = inFlight
	if queued > 0 || float64(inFlight) >= inUseFraction*float64(limit) {
		l.inUse = true
	}
}

// record records the end of a call.
func (l *limiter) record(c *classLatency, s Sample, now time.Time) {
	settled := l.countEnd(now)
	if s.Shed {
		l.handleShed(settled, now)
		return
	}
	seconds := s.Latency.Seconds()
	if s.Failed || s.Canceled {
		uninformative := seconds < c.mean
		l.latencies.recordPartial(c, seconds)
		if uninformative {
			return // a lower bound below the mean carries no information
		}
	} else {
		l.latencies.recordComplete(c, seconds)
	}
	if !settled {
		return
	}
	l.window.add(c.index, seconds)
	closed := l.baseline.add(l.cfg, c.index, seconds, now)
	if closed && l.limitBeforeProbe > 0 {
		l.endProbe(now)
		return
	}
	if l.windowComplete(now) {
		l.closeWindow(now)
	}
}

// countEnd counts the end of a call and reports whether samples count.
func (l *limiter) countEnd(now time.Time) bool {
	if l.endsUntilSettled == 0 {
		return true
	}
	l.endsUntilSettled--
	if l.endsUntilSettled == 0 {
		l.openWindow(now)
	}
	return false
}

// windowComplete reports whether the window has enough samples for its age.
func (l *limiter) windowComplete(now time.Time) bool {
	minDuration := max(l.cfg.WindowDuration, l.latencies.mean())
	samples := l.cfg.WindowSamples
	if l.limitBeforeCuts > 0 {
		samples *= cutWindowFactor
	}
	elapsed := now.Sub(l.windowStart)
	if l.window.count >= samples {
		return elapsed >= minDuration
	}
	return l.window.count >= slowWindowSamples && elapsed >= slowWindowFactor*minDuration
}

// closeWindow adjusts the limit at the end of a window.
func (l *limiter) closeWindow(now time.Time) {
	window := l.window
	inUse := l.inUse
	l.ratio = l.baseline.ratio(&window)
	l.openWindow(now)
	switch {
	case l.limitBeforeProbe > 0: // record ends the probe once a bucket is complete
	case l.ratio > l.cfg.CutTolerance:
		l.handleCongested(window, now)
	default:
		l.handleUncongested(inUse, now)
	}
}

func (l *limiter) openWindow(now time.Time) {
	l.windowStart = now
	l.window = classSums{}
	l.inUse = false
}

// waitUntilSettled ignores samples until they reflect the current limit.
func (l *limiter) waitUntilSettled() {
	l.endsUntilSettled = max(settleFactor*l.inFlight, l.cfg.MinLimit)
	l.baseline.discardOpenBucket()
}

// handleUncongested adjusts the limit after a window with latency near the
// baseline.
func (l *limiter) handleUncongested(inUse bool, now time.Time) {
	l.peak = max(l.limit, peakDecay*l.peak)
	if l.limitBeforeCuts > 0 {
		l.endCutSeries()
		return
	}
	if !inUse || l.baseline.empty() {
		return
	}
	if l.probeDue(now) {
		l.startProbe()
		return
	}
	if l.ratio < l.cfg.GrowTolerance {
		l.grow()
		return
	}
	l.slowStartThreshold = min(l.slowStartThreshold, l.limit)
}

// endCutSeries ends a series of cuts. The limit then grows fast up to the level
// that a single cut of the highest recent limit would have left.
func (l *limiter) endCutSeries() {
	l.slowStartThreshold = max(l.limit, cutFactor*l.peak)
	l.limitBeforeCuts = 0
}

func (l *limiter) grow() {
	headroom := (l.cfg.GrowTolerance - l.ratio) / (l.cfg.GrowTolerance - 1)
	next := l.limit * (1 + growthFactor*min(headroom, 1))
	if l.limit < l.slowStartThreshold {
		next = max(next, min(l.limit*slowStartFactor, l.slowStartThreshold))
	}
	l.setLimit(next)
}

// handleCongested adjusts the limit after a window with latency far above the
// baseline.
func (l *limiter) handleCongested(window classSums, now time.Time) {
	previous := l.lastCutRatio
	if l.limitBeforeCuts == 0 {
		l.limitBeforeCuts = l.limit
		l.firstCutRatio = l.ratio
	}
	l.lastCutRatio = l.ratio
	switch {
	case l.cutsIneffective():
		l.baseline.reset(window)
		l.probeDelay = firstProbeDelay // checks the new baseline soon
		l.setLimit(l.limitBeforeCuts)
		l.limitBeforeCuts = 0
		l.waitUntilSettled()
	case l.limitBeforeCuts > l.limit && l.ratio < recoveringFactor*previous:
		// The cause is ending; another cut would only delay the recovery.
	default:
		l.setLimit(l.limit * cutFactor)
		l.slowStartThreshold = l.limit
		l.lastProbe = now
		l.waitUntilSettled()
	}
}

// cutsIneffective reports whether cuts do not lower the latency.
func (l *limiter) cutsIneffective() bool {
	if l.limit <= float64(l.cfg.MinLimit) && l.limitBeforeCuts == l.limit {
		return true
	}
	halved := l.limit <= responseFraction*l.limitBeforeCuts
	return halved && l.ratio > responseFactor*l.firstCutRatio
}

// handleShed adjusts the limit after a refusal by the backend server.
func (l *limiter) handleShed(settled bool, now time.Time) {
	if now.Sub(l.lastShed) > l.cfg.BucketDuration {
		l.slowStartThreshold = l.limit * shedCutFactor
	}
	l.lastShed = now
	if !settled {
		return
	}
	l.limitBeforeProbe = 0
	l.setLimit(l.limit * shedCutFactor)
	l.waitUntilSettled()
}

// probeDue reports whether to start a probe.
func (l *limiter) probeDue(now time.Time) bool {
	if l.limit < l.slowStartThreshold || l.limit*probeFactor < float64(l.cfg.MinLimit) {
		return false
	}
	return now.Sub(l.lastProbe) >= l.probeDelay
}

func (l *limiter) startProbe() {
	l.limitBeforeProbe = l.limit
	l.setLimit(l.limit * probeFactor)
	l.waitUntilSettled()
}

// endProbe restores the limit after a probe.
func (l *limiter) endProbe(now time.Time) {
	l.setLimit(l.limitBeforeProbe)
	l.limitBeforeProbe = 0
	l.lastProbe = now
	l.probeDelay = min(2*l.probeDelay, l.cfg.ProbeInterval)
	l.waitUntilSettled()
}

func (l *limiter) setLimit(limit float64) {
	l.limit = min(max(limit, float64(l.cfg.MinLimit)), float64(l.cfg.MaxLimit))
}

// applySlotsHint uses the number of slots that the backend server reports. As the
// report may be wrong, it only sets the slow start threshold and raises the limit
// before the first baseline.
func (l *limiter) applySlotsHint(slots int) {
	if slots == l.hintedSlots {
		return
	}
	l.hintedSlots = slots
	l.slowStartThreshold = float64(slots)
	if l.baseline.empty() {
		first := min(float64(slots)/2, hintFactor*float64(l.cfg.InitialLimit))
		l.setLimit(max(l.limit, first))
	}
}

// reset discards the baseline after a restart of the backend server.
func (l *limiter) reset(now time.Time) {
	l.baseline = baseline{}
	l.limitBeforeProbe = 0
	l.probeDelay = firstProbeDelay
	l.limitBeforeCuts = 0
	l.baseline.discardOpenBucket()
	l.endsUntilSettled = max(settleFactor*l.inFlight, l.cfg.WindowSamples)
}
