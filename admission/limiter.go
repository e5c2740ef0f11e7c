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

	// easingFactor is a fall of the latency ratio, within a series of cuts, that
	// the last cut does not explain.
	easingFactor = 0.5

	// peakDecay is the part of the highest recent limit that is kept per window.
	peakDecay = 0.97

	// firstProbe is the wait for the first probe. The first baseline is often
	// measured with calls waiting in the backend server.
	firstProbe = time.Second

	// judgeWindows is how many times more samples a window has after a cut.
	judgeWindows = 2

	// settleFactor is how many times the calls in flight at a change of the
	// limit must have ended before samples count. The first ones were started
	// under the old limit or are the short ones among those started since.
	settleFactor = 2

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
// latency before and after a cut. If the cut did not lower the latency, the
// limit is restored and the present latency becomes the baseline.
//
// While the limit is saturated it is lowered for a moment at intervals, so that
// latency without queueing enters the baseline, as BBR does for its minimum
// round-trip time (Cardwell et al., "BBR: Congestion-Based Congestion Control",
// ACM Queue 2016).
type limiter struct {
	cfg       *Config
	lat       *latencies
	limit     float64
	slowStart float64 // threshold up to which the limit grows fast
	peak      float64 // highest recent limit that latency allowed
	hinted    int     // last report of the backend server

	baseline    baseline
	window      classSums
	windowStart time.Time
	unsettled   int // calls that have to end before samples count
	inFlight    int
	inUse       bool
	ratio       float64 // latency to baseline in the last window

	cutFrom    float64 // limit before the first of a series of cuts, or 0
	firstRatio float64 // latency ratio that caused the first cut
	cutRatio   float64 // latency ratio in the last window of the series
	probeFrom  float64 // limit to restore after a probe, or 0
	lastProbe  time.Time
	probeWait  time.Duration // until the next probe, growing to ProbeInterval
	lastShed   time.Time
}

func newLimiter(cfg *Config, lat *latencies, now time.Time) *limiter {
	return &limiter{
		cfg:         cfg,
		lat:         lat,
		limit:       float64(cfg.InitialLimit),
		slowStart:   float64(cfg.MaxLimit),
		windowStart: now,
		lastProbe:   now,
		probeWait:   firstProbe,
		unsettled:   cfg.WindowSamples,
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

// sample records the end of a call.
func (l *limiter) sample(c *classLatency, s Sample, now time.Time) {
	settled := l.countEnd(now)
	if s.Shed {
		l.shed(settled, now)
		return
	}
	seconds := s.Latency.Seconds()
	if s.Failed || s.Canceled {
		short := seconds < c.mean
		l.lat.partial(c, seconds)
		if short {
			return // a lower bound that says nothing
		}
	} else {
		l.lat.complete(c, seconds)
	}
	if !settled {
		return
	}
	l.window.add(c.index, seconds)
	closed := l.baseline.add(l.cfg, c.index, seconds, now)
	if closed && l.probeFrom > 0 {
		l.endProbe(now)
		return
	}
	if l.windowComplete(now) {
		l.advance(now)
	}
}

// countEnd counts the end of a call and reports whether samples count.
func (l *limiter) countEnd(now time.Time) bool {
	if l.unsettled == 0 {
		return true
	}
	l.unsettled--
	if l.unsettled == 0 {
		l.openWindow(now)
	}
	return false
}

// windowComplete reports whether the window has seen enough.
func (l *limiter) windowComplete(now time.Time) bool {
	least := max(l.cfg.WindowDuration, l.lat.mean())
	samples := l.cfg.WindowSamples
	if l.cutFrom > 0 {
		samples *= judgeWindows
	}
	elapsed := now.Sub(l.windowStart)
	if l.window.count >= samples {
		return elapsed >= least
	}
	return l.window.count >= slowWindowSamples && elapsed >= slowWindows*least
}

// advance changes the limit at the end of a window.
func (l *limiter) advance(now time.Time) {
	window := l.window
	inUse := l.inUse
	l.ratio = l.baseline.ratio(&window)
	l.openWindow(now)
	switch {
	case l.probeFrom > 0:
	case l.ratio > l.cfg.CutTolerance:
		l.congested(window, now)
	default:
		l.calm(inUse, now)
	}
}

func (l *limiter) openWindow(now time.Time) {
	l.windowStart = now
	l.window = classSums{}
	l.inUse = false
}

// settle makes samples count again only when they reflect the present limit.
func (l *limiter) settle() {
	l.unsettled = max(settleFactor*l.inFlight, l.cfg.MinLimit)
	l.baseline.dropOpen()
}

// calm handles a window whose latency is near the baseline.
func (l *limiter) calm(inUse bool, now time.Time) {
	l.peak = max(l.limit, peakDecay*l.peak)
	if l.cutFrom > 0 {
		l.endCuts()
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

// endCuts lets the limit return fast to where one cut of the highest recent limit
// would have brought it.
func (l *limiter) endCuts() {
	l.slowStart = max(l.limit, cutFactor*l.peak)
	l.cutFrom = 0
}

func (l *limiter) grow() {
	headroom := (l.cfg.GrowTolerance - l.ratio) / (l.cfg.GrowTolerance - 1)
	next := l.limit * (1 + growthFactor*min(headroom, 1))
	if l.limit < l.slowStart {
		next = max(next, min(l.limit*slowStartFactor, l.slowStart))
	}
	l.set(next)
}

// congested handles a window whose latency is far above the baseline.
func (l *limiter) congested(window classSums, now time.Time) {
	previous := l.cutRatio
	if l.cutFrom == 0 {
		l.cutFrom = l.limit
		l.firstRatio = l.ratio
	}
	l.cutRatio = l.ratio
	switch {
	case l.unresponsive():
		l.baseline.rebase(window)
		l.probeWait = firstProbe // checks the judgement
		l.set(l.cutFrom)
		l.cutFrom = 0
		l.settle()
	case l.cutFrom > l.limit && l.ratio < easingFactor*previous:
		// The cause is ending: another cut would only delay the recovery.
	default:
		l.set(l.limit * cutFactor)
		l.slowStart = l.limit
		l.lastProbe = now
		l.settle()
	}
}

// unresponsive reports whether cuts do not lower the latency.
func (l *limiter) unresponsive() bool {
	if l.limit <= float64(l.cfg.MinLimit) && l.cutFrom == l.limit {
		return true
	}
	halved := l.limit <= responseFraction*l.cutFrom
	return halved && l.ratio > responseFactor*l.firstRatio
}

// shed handles a refusal by the backend server.
func (l *limiter) shed(settled bool, now time.Time) {
	if now.Sub(l.lastShed) > l.cfg.BucketDuration {
		l.slowStart = l.limit * shedCutFactor
	}
	l.lastShed = now
	if !settled {
		return
	}
	l.probeFrom = 0
	l.set(l.limit * shedCutFactor)
	l.settle()
}

// probeDue reports whether to measure the latency at a lower limit.
func (l *limiter) probeDue(now time.Time) bool {
	if l.limit < l.slowStart || l.limit*probeFactor < float64(l.cfg.MinLimit) {
		return false
	}
	return now.Sub(l.lastProbe) >= l.probeWait
}

func (l *limiter) startProbe() {
	l.probeFrom = l.limit
	l.set(l.limit * probeFactor)
	l.settle()
}

// endProbe restores the limit once the lowered one was measured.
func (l *limiter) endProbe(now time.Time) {
	l.set(l.probeFrom)
	l.probeFrom = 0
	l.lastProbe = now
	l.probeWait = min(2*l.probeWait, l.cfg.ProbeInterval)
	l.settle()
}

func (l *limiter) set(limit float64) {
	l.limit = min(max(limit, float64(l.cfg.MinLimit)), float64(l.cfg.MaxLimit))
}

// hint takes the number of slots that the backend server reports. As the report
// may be wrong, it only sets how far the limit grows fast, and moves the first
// limit towards it.
func (l *limiter) hint(slots int) {
	if slots == l.hinted {
		return
	}
	l.hinted = slots
	l.slowStart = float64(slots)
	if l.baseline.empty() {
		first := min(float64(slots)/2, hintFactor*float64(l.cfg.InitialLimit))
		l.set(max(l.limit, first))
	}
}

// restart forgets the baseline of the backend server before its restart.
func (l *limiter) restart(now time.Time) {
	l.baseline = baseline{}
	l.probeFrom = 0
	l.probeWait = firstProbe
	l.cutFrom = 0
	l.baseline.dropOpen()
	l.unsettled = max(settleFactor*l.inFlight, l.cfg.WindowSamples)
}
