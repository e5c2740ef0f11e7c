package admission

import "time"

const (
	slowStartFactor = 1.5  // growth per window below the slow start threshold
	growthFactor    = 0.25 // growth per window above it, at the baseline latency
	cutFactor       = 0.6  // when latency is too high
	shedCutFactor   = 0.8  // when the backend server sheds
	probeFactor     = 0.5
	hintFactor      = 4   // of the initial limit, as far as a report may raise it
	inUseFraction   = 0.9 // of the limit in flight, for it to count as in use

	// Cuts to responseFraction of the limit must lower the latency ratio to
	// responseFactor of its value before, or the latency has another cause.
	responseFraction = 0.5
	responseFactor   = 0.7

	// recoveringFactor is a fall of the latency ratio, within a series of cuts, that
	// the last cut does not explain.
	recoveringFactor = 0.5

	// peakDecay is the part of the highest recent limit that is kept per window.
	peakDecay = 0.97

	// firstProbeDelay is the wait for the first probe. The first baseline is often
	// measured with calls waiting in the backend server.
	firstProbeDelay = time.Second

	// cutWindowFactor is how many times more samples a window has after a cut.
	cutWindowFactor = 2

	// settleFactor is how many times the calls in flight at a change of the
	// limit must have ended before samples count. The first ones were started
	// under the old limit or are the short ones among those started since.
	settleFactor = 2

	// A window with few samples closes after slowWindows times its duration.
	slowWindowSamples = 5
	slowWindowFactor       = 5
)

// limiter learns the concurrency that the backend server can use. The limit
// grows while it is in use and latency stays near its baseline, and is cut when
// latency rises far above the baseline or the backend server sheds.
//
// Latency includes sub-calls, so it also rises when a deeper service slows;
// fewer calls in flight do not help then. The limiter therefore compares the
// latency before and after a cut. If the cut did not lower the latency, the
// limit is restored and the present latency becomes the baseline.
//
// While the limit is saturated it is lowered for a moment at intervals, so that
// latency without queueing enters the baseline, as BBR does for its minimum
// round-trip time (Cardwell et al., "BBR: Congestion-Based Congestion Control",
// ACM Queue 2016).
type limiter struct {
	cfg       *Config
	latencies       *latencies
	limit     float64
	slowStart float64 // threshold up to which the limit grows fast
	peak      float64 // highest recent limit that latency allowed
	hintedSlots    int     // last report of the backend server

	baseline    baseline
	window      classSums
	windowStart time.Time
	endsUntilSettled   int // calls that have to end before samples count
	inFlight    int
	inUse       bool
	ratio       float64 // latency to baseline in the last window

	limitBeforeCuts    float64 // limit before the first of a series of cuts, or 0
	firstCutRatio float64 // latency ratio that caused the first cut
	lastCutRatio   float64 // latency ratio in the last window of the series
	limitBeforeProbe  float64 // limit to restore after a probe, or 0
	lastProbe  time.Time
	probeDelay  time.Duration // until the next probe, growing to ProbeInterval
	lastShed   time.Time
}

func newLimiter(cfg *Config, lat *latencies, now time.Time) *limiter {
	return &limiter{
		cfg:         cfg,
		latencies:         lat,
		limit:       float64(cfg.InitialLimit),
		slowStart:   float64(cfg.MaxLimit),
		windowStart: now,
		lastProbe:   now,
		probeDelay:   firstProbeDelay,
		endsUntilSettled:   cfg.WindowSamples,
		ratio:       1,
	}
}

// current returns the limit in calls.
func (l *limiter) current() int { return int(l.limit) }

// observe notes how much of the limit is in use.
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
			return // a lower bound that says nothing
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

// windowComplete reports whether the window has seen enough.
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

// closeWindow changes the limit at the end of a window.
func (l *limiter) closeWindow(now time.Time) {
	window := l.window
	inUse := l.inUse
	l.ratio = l.baseline.ratio(&window)
	l.openWindow(now)
	switch {
	case l.limitBeforeProbe > 0:
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

// waitUntilSettled makes samples count again only when they reflect the present limit.
func (l *limiter) waitUntilSettled() {
	l.endsUntilSettled = max(settleFactor*l.inFlight, l.cfg.MinLimit)
	l.baseline.discardOpenBucket()
}

// handleUncongested handles a window whose latency is near the baseline.
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
	l.slowStart = min(l.slowStart, l.limit)
}

// endCutSeries lets the limit return fast to where one cut of the highest recent limit
// would have brought it.
func (l *limiter) endCutSeries() {
	l.slowStart = max(l.limit, cutFactor*l.peak)
	l.limitBeforeCuts = 0
}

func (l *limiter) grow() {
	headroom := (l.cfg.GrowTolerance - l.ratio) / (l.cfg.GrowTolerance - 1)
	next := l.limit * (1 + growthFactor*min(headroom, 1))
	if l.limit < l.slowStart {
		next = max(next, min(l.limit*slowStartFactor, l.slowStart))
	}
	l.setLimit(next)
}

// handleCongested handles a window whose latency is far above the baseline.
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
		l.probeDelay = firstProbeDelay // checks the judgement
		l.setLimit(l.limitBeforeCuts)
		l.limitBeforeCuts = 0
		l.waitUntilSettled()
	case l.limitBeforeCuts > l.limit && l.ratio < recoveringFactor*previous:
		// The cause is ending: another cut would only delay the recovery.
	default:
		l.setLimit(l.limit * cutFactor)
		l.slowStart = l.limit
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

// handleShed handles a refusal by the backend server.
func (l *limiter) handleShed(settled bool, now time.Time) {
	if now.Sub(l.lastShed) > l.cfg.BucketDuration {
		l.slowStart = l.limit * shedCutFactor
	}
	l.lastShed = now
	if !settled {
		return
	}
	l.limitBeforeProbe = 0
	l.setLimit(l.limit * shedCutFactor)
	l.waitUntilSettled()
}

// probeDue reports whether to measure the latency at a lower limit.
func (l *limiter) probeDue(now time.Time) bool {
	if l.limit < l.slowStart || l.limit*probeFactor < float64(l.cfg.MinLimit) {
		return false
	}
	return now.Sub(l.lastProbe) >= l.probeDelay
}

func (l *limiter) startProbe() {
	l.limitBeforeProbe = l.limit
	l.setLimit(l.limit * probeFactor)
	l.waitUntilSettled()
}

// endProbe restores the limit once the lowered one was measured.
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

// applySlotsHint takes the number of slots that the backend server reports. As the report
// may be wrong, it only sets how far the limit grows fast, and moves the first
// limit towards it.
func (l *limiter) applySlotsHint(slots int) {
	if slots == l.hintedSlots {
		return
	}
	l.hintedSlots = slots
	l.slowStart = float64(slots)
	if l.baseline.empty() {
		first := min(float64(slots)/2, hintFactor*float64(l.cfg.InitialLimit))
		l.setLimit(max(l.limit, first))
	}
}

// reset forgets the baseline of the backend server before its reset.
func (l *limiter) reset(now time.Time) {
	l.baseline = baseline{}
	l.limitBeforeProbe = 0
	l.probeDelay = firstProbeDelay
	l.limitBeforeCuts = 0
	l.baseline.discardOpenBucket()
	l.endsUntilSettled = max(settleFactor*l.inFlight, l.cfg.WindowSamples)
}
