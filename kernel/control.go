package kernel

import (
	"sync"
	"sync/atomic"
	"time"
)

// controlQueueLen is the maximum number of functions queued for the control goroutine.
const controlQueueLen = 1024

// Control runs the single goroutine that owns the control state of a node.
// Goroutines that serve traffic never wait for it; they read immutable snapshots.
type Control struct {
	queue     chan controlTask
	stopped   chan struct{} // closed by stop
	done      chan struct{} // closed once run has returned
	stopOnce  sync.Once
	busyNanos atomic.Int64
	waits     peak // of queued functions
}

// controlTask is a function for the control goroutine and the time at which it was queued.
type controlTask struct {
	run    func()
	queued time.Time
}

func newControl() *Control {
	return &Control{queue: make(chan controlTask, controlQueueLen), stopped: make(chan struct{}), done: make(chan struct{})}
}

func (c *Control) run() {
	defer close(c.done)
	for {
		select {
		case t := <-c.queue:
			began := time.Now()
			c.waits.observe(began, began.Sub(t.queued))
			t.run()
			c.busyNanos.Add(int64(time.Since(began)))
		case <-c.stopped:
			return
		}
	}
}

// Busy returns the total time that the control goroutine has spent running
// queued functions.
func (c *Control) Busy() time.Duration { return time.Duration(c.busyNanos.Load()) }

// Wait returns the longest time that a queued function has waited for its turn in the last
// one to two seconds.
func (c *Control) Wait() time.Duration { return c.waits.longest(time.Now()) }

// Go queues f for the control goroutine without waiting for it to run. It
// returns false if the queue is full or the node has stopped; f then never runs.
func (c *Control) Go(f func()) bool {
	select {
	case <-c.stopped:
		return false
	default:
	}
	select {
	case c.queue <- controlTask{f, time.Now()}:
		return true
	default:
		return false
	}
}

// Do runs f on the control goroutine and waits until it has returned. It returns
// false if the node has stopped, in which case f may or may not have run. Calling it
// from the control goroutine deadlocks.
func (c *Control) Do(f func()) bool {
	ran := make(chan struct{})
	select {
	case c.queue <- controlTask{func() { f(); close(ran) }, time.Now()}:
	case <-c.stopped:
		return false
	}
	select {
	case <-ran:
		return true
	case <-c.done:
		return false
	}
}

func (c *Control) stop() { c.stopOnce.Do(func() { close(c.stopped) }) }
