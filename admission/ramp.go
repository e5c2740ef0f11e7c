package admission

import "time"

// rampGrowth is the factor on the bound per step while calls wait and the backend
// server is not congested.
const rampGrowth = 1.5

// ramp bounds the concurrency of a cold backend server. The bound rises with
// time, and faster while calls wait and the backend server is not congested: when
// all backend servers of a service are cold, the calls cannot go anywhere else.
type ramp struct {
	active   bool
	start    time.Time
	lastStep time.Time
	from, to float64
	boost    float64
}

// begin starts a ramp that ends at the concurrency to.
func (r *ramp) begin(cfg *Config, to float64, now time.Time) {
	from := max(float64(cfg.MinLimit), cfg.RampStart*to)
	*r = ramp{active: from < to, start: now, lastStep: now, from: from, to: to, boost: 1}
}

// bound returns the lower of limit and the current bound.
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

// step raises the bound if calls wait and the backend server is not congested. It
// does so at most once per WindowDuration.
func (r *ramp) step(cfg *Config, waiting, uncongested bool, now time.Time) {
	if !r.active || now.Sub(r.lastStep) < cfg.WindowDuration {
		return
	}
	r.lastStep = now
	if waiting && uncongested {
		r.boost *= rampGrowth
	}
}
