package kernel

import (
	"sync"
	"time"
)

// peak holds the longest of the durations observed in the present and the previous second.
// It is safe for concurrent use.
type peak struct {
	mu                sync.Mutex
	second            int64
	current, previous time.Duration
}

func (p *peak) observe(now time.Time, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	p.current = max(p.current, d)
}

func (p *peak) longest(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(now)
	return max(p.current, p.previous)
}

// advance begins a new second. The caller must hold mu.
func (p *peak) advance(now time.Time) {
	second := now.Unix()
	switch {
	case second == p.second:
		return
	case second == p.second+1:
		p.previous = p.current
	default:
		p.previous = 0
	}
	p.second, p.current = second, 0
}
