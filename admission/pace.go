package admission

import (
	"math"
	"time"
)

// paceHalfLife is the age at which a reported pace has moved half way to 1. Slow spells
// of backend servers last about 600 ms.
const paceHalfLife = 350 * time.Millisecond

// pace follows the pace that the backend server reports, as a multiple of the usual
// execution time, and the progress of work at it.
type pace struct {
	latest   float64 // 0 if never reported
	at       time.Time
	progress float64 // seconds of work at a pace of 1 that one call has done until at
}

// known reports whether a pace was reported.
func (p *pace) known() bool { return p.latest > 0 }

// observe records a reported pace; 0 is ignored. Between two reports, the speed is
// taken for the mean of both.
func (p *pace) observe(reported float64, now time.Time) {
	if reported <= 0 {
		return
	}
	if p.known() {
		speed := (1/p.latest + 1/reported) / 2
		p.progress += max(now.Sub(p.at).Seconds(), 0) * speed
	}
	p.latest = reported
	p.at = now
}

// current returns the expected pace, 0 if none was reported.
func (p *pace) current(now time.Time) float64 {
	if !p.known() {
		return 0
	}
	age := max(now.Sub(p.at), 0)
	return 1 + (p.latest-1)*math.Exp2(-age.Seconds()/paceHalfLife.Seconds())
}

// progressAt returns the seconds of work at a pace of 1 that one call could have done
// since the first report.
func (p *pace) progressAt(now time.Time) float64 {
	if !p.known() {
		return 0
	}
	return p.progress + max(now.Sub(p.at).Seconds(), 0)/p.latest
}
