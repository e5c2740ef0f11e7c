package routing

import "time"

// windowSlots is the number of slots that a sliding window is cut into.
const windowSlots = 10

// window counts requests and accepts over the last ThrottleWindow.
type window struct {
	slots [windowSlots]slot
}

// slot is one part of a window.
type slot struct {
	number   int64 // of the slot, counted from the epoch
	requests float64
	accepts  float64
}

// slotNumber returns the number of the slot that now falls into.
func slotNumber(cfg *Config, now time.Time) int64 {
	return now.UnixNano() / max(int64(cfg.ThrottleWindow/windowSlots), 1)
}

// add counts into the current slot.
func (w *window) add(cfg *Config, requests, accepts float64, now time.Time) {
	n := slotNumber(cfg, now)
	s := &w.slots[uint64(n)%windowSlots]
	if s.number != n {
		*s = slot{number: n}
	}
	s.requests += requests
	s.accepts += accepts
}

// sums returns the requests and accepts in the window.
func (w *window) sums(cfg *Config, now time.Time) (requests, accepts float64) {
	oldest := slotNumber(cfg, now) - windowSlots
	for _, s := range w.slots {
		if s.number > oldest {
			requests += s.requests
			accepts += s.accepts
		}
	}
	return requests, max(accepts, 0)
}

// excess returns the part of the requests that go beyond what is accepted.
func (w *window) excess(cfg *Config, now time.Time) float64 {
	requests, accepts := w.sums(cfg, now)
	if requests < cfg.ThrottleMinRequests {
		return 0
	}
	return max((requests-cfg.ThrottleFactor*accepts)/(requests+1), 0)
}

// forget removes a part of the refusals from each slot.
func (w *window) forget(cfg *Config, now time.Time) {
	oldest := slotNumber(cfg, now) - windowSlots
	for i := range w.slots {
		s := &w.slots[i]
		if s.number <= oldest || s.requests <= s.accepts {
			continue
		}
		s.requests -= cfg.RecoveryForget * (s.requests - s.accepts)
	}
}
