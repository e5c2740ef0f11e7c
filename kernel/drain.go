package kernel

import (
	"context"
	"sync"
	"sync/atomic"
)

// Drain tracks the graceful shutdown of a node: whether it is leaving and how
// many requests it still carries.
type Drain struct {
	mu       sync.Mutex
	closing  atomic.Bool
	leaving  bool
	inFlight int
	idle     chan struct{} // closed when leaving and nothing is in flight
	request  sync.Once
	asked    chan struct{} // closed when an operator asked for the shutdown
}

func newDrain() *Drain { return &Drain{idle: make(chan struct{}), asked: make(chan struct{})} }

// Request asks the node to shut down gracefully. A second call has no effect.
func (d *Drain) Request() { d.request.Do(func() { close(d.asked) }) }

// Requested is closed once Request was called.
func (d *Drain) Requested() <-chan struct{} { return d.asked }

// Enter counts a request in. It reports false when the node is leaving; the
// request must then be refused and Exit not be called.
func (d *Drain) Enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving {
		return false
	}
	d.inFlight++
	return true
}

// ForceEnter counts a request in that belongs to work already in flight,
// also while the node is leaving.
func (d *Drain) ForceEnter() {
	d.mu.Lock()
	d.inFlight++
	d.mu.Unlock()
}

// Exit counts a request out.
func (d *Drain) Exit() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	d.check()
}

// Close says that the node stops soon: callers are told to go elsewhere, and
// their requests are still served.
func (d *Drain) Close() { d.closing.Store(true) }

// Closing tells whether Close was called.
func (d *Drain) Closing() bool { return d.closing.Load() }

// Leave starts the graceful shutdown.
func (d *Drain) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
	d.check()
}

func (d *Drain) check() {
	if !d.leaving || d.inFlight > 0 {
		return
	}
	select {
	case <-d.idle:
	default:
		close(d.idle)
	}
}

// Leaving tells whether Leave was called.
func (d *Drain) Leaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leaving
}

// InFlight returns the number of requests that the node carries.
func (d *Drain) InFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

// Wait returns when the node is leaving and idle, or with the error of ctx.
func (d *Drain) Wait(ctx context.Context) error {
	select {
	case <-d.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
