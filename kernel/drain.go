package kernel

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// Drain tracks the graceful shutdown of a node: whether the node is leaving and
// how many requests are in flight.
type Drain struct {
	mu          sync.Mutex
	stop        atomic.Pointer[stopTimes] // nil until the node is about to stop
	leaving     bool
	inFlight    int
	idle        chan struct{} // closed once the node is leaving and nothing is in flight
	requestOnce sync.Once
	requested   chan struct{} // closed once an operator has requested the shutdown
}

// stopTimes says when a node that is about to stop does what.
type stopTimes struct {
	began      time.Time
	redirected time.Time // callers use another node from then on
	end        time.Time // requests in flight are not waited for any longer
}

func newDrain() *Drain { return &Drain{idle: make(chan struct{}), requested: make(chan struct{})} }

// Request asks the node to shut down gracefully. Later calls have no effect.
func (d *Drain) Request() { d.requestOnce.Do(func() { close(d.requested) }) }

// Requested returns a channel that is closed once Request has been called.
func (d *Drain) Requested() <-chan struct{} { return d.requested }

// Enter registers a request as in flight; Exit must be called when it ends. It
// returns false if the node is leaving: the request must then be refused, and
// Exit must not be called.
func (d *Drain) Enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving {
		return false
	}
	d.inFlight++
	return true
}

// ForceEnter registers a request as in flight even if the node is leaving. It is
// for sub-calls of executions in flight, which may finish, and for requests and
// attempts whose refusal must still be sent.
func (d *Drain) ForceEnter() {
	d.mu.Lock()
	d.inFlight++
	d.mu.Unlock()
}

// Exit registers the end of a request that was entered.
func (d *Drain) Exit() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	d.closeIdleIfDone()
}

// MarkClosing marks the node as about to stop at now. Callers are told to use another node,
// which all do by redirected. Until Leave is called their requests are still served, if they
// have ended by end; see Overruns.
func (d *Drain) MarkClosing(now, redirected, end time.Time) {
	d.stop.Store(&stopTimes{began: now, redirected: redirected, end: end})
}

// Closing reports whether MarkClosing has been called.
func (d *Drain) Closing() bool { return d.stop.Load() != nil }

// Overruns reports whether this node may stop before a request with that deadline has ended,
// so that it must be refused before it runs. retryAfter is the time until the caller is
// directed to another node. Callers return in the order in which they were refused, over half
// the time in which they were, rather than all at the same moment.
func (d *Drain) Overruns(deadline, now time.Time) (retryAfter time.Duration, overruns bool) {
	s := d.stop.Load()
	if s == nil || !deadline.After(s.end) {
		return 0, false
	}
	if !now.Before(s.redirected) {
		return 0, true
	}
	return s.redirected.Sub(now) + now.Sub(s.began)/2, true
}

// Leave starts the graceful shutdown: from now on Enter returns false.
func (d *Drain) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
	d.closeIdleIfDone()
}

// closeIdleIfDone closes the idle channel once the node is leaving and nothing is
// in flight. The caller holds mu.
func (d *Drain) closeIdleIfDone() {
	if !d.leaving || d.inFlight > 0 {
		return
	}
	select {
	case <-d.idle:
	default:
		close(d.idle)
	}
}

// Leaving reports whether Leave has been called.
func (d *Drain) Leaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving
}

// InFlight returns the number of requests in flight.
func (d *Drain) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

// Wait returns nil once the node is leaving and nothing is in flight, or the
// error of ctx if ctx ends first.
func (d *Drain) Wait(ctx context.Context) error {
	select {
	case <-d.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
