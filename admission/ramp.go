package admission

import "time"

// rampGrowth is the growth of the ramp per step while calls wait and latency is
// near its baseline.
const rampGrowth = 1.5

// ramp bounds the concurrency of a cold backend server. The bound rises with
// time, and faster while calls wait and the backend server copes: when all
// backend servers of a service are new, there is no other place for the calls.
type ramp struct {
	active   bool
	start    time.Time
	lastStep time.Time
	from, to float64
	boost    float64
}

// begin starts a ramp towards the concurrency to.
func (r *ramp) begin(cfg *Config, to float64, now time.Time) {
	from := max(float64(cfg.MinLimit), cfg.RampStart*to)
	*r = ramp{active: from < to, start: now, lastStep: now, from: from, to: to, boost: 1}
}

// bound returns limit or the present bound if that is lower.
func (r *ramp) bound(cfg *Config, limit int, now time.Time) int {
	if !r.active || cfg.Disabled.Ramp {
		return limit
	}
	elapsed := now.Sub(r.start)
	if elapsed >= cfg.RampDuration {
		r.active = false
		return limit
	}
	progress := elapsed.Seconds() / cfg.RampDuration.Seconds()
	bound := (r.from + progress*(r.to-r.from)) * r.boost
	if bound >= r.to {
		r.active = false
		return limit
	}
	return min(limit, int(bound))
}

// step raises the bound while calls wait and the backend server copes.
func (r *ramp) step(cfg *Config, waiting, uncongested bool, now time.Time) {
	if !r.active || now.Sub(r.lastStep) < cfg.WindowDuration {
		return
	}
	r.lastStep = now
	if waiting && uncongested {
		r.boost *= rampGrowth
	}
}
