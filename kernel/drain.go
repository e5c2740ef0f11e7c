package kernel

import (
	"context"
	"sync"
	"sync/atomic"
)

// Drain tracks the graceful shutdown of a node: whether the node is leaving and
// how many requests are in flight.
type Drain struct {
	mu          sync.Mutex
	closing     atomic.Bool
	leaving     bool
	inFlight    int
	idle        chan struct{} // closed once the node is leaving and nothing is in flight
	requestOnce sync.Once
	requested   chan struct{} // closed once an operator has requested the shutdown
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
// for sub-calls of executions in flight, which may finish, and for attempts
// whose refusal must still be sent.
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

// MarkClosing marks the node as about to stop. Callers are told to use another node,
// but their requests are still served until Leave is called.
func (d *Drain) MarkClosing() { d.closing.Store(true) }

// Closing reports whether MarkClosing has been called.
func (d *Drain) Closing() bool { return d.closing.Load() }

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
