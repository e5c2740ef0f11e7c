package quarantine

import "time"

// permit lets one attempt at a time run a request.
type permit struct {
	holder string // "" if nobody holds it
	until  time.Time
}

// acquire gives the permit to the holder, and reports whether it was free.
func (p *permit) acquire(holder string, now time.Time, ttl time.Duration) bool {
	if p.holder != "" && p.holder != holder && now.Before(p.until) {
		return false
	}
	*p = permit{holder: holder, until: now.Add(ttl)}
	return true
}

func (p *permit) release(holder string) {
	if p.holder == holder {
		p.holder = ""
	}
}
