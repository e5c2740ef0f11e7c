package kernel

import (
	"sync"
	"sync/atomic"
	"time"
)

// controlQueueLen bounds the functions that wait for the control goroutine.
const controlQueueLen = 1024

// Control is the one goroutine that owns the control state of a node. Traffic
// goroutines never wait for it; they read immutable snapshots.
type Control struct {
	queue chan func()
	quit  chan struct{}
	done  chan struct{}
	once  sync.Once
	busy  atomic.Int64 // nanoseconds
}

func newControl() *Control {
	return &Control{queue: make(chan func(), controlQueueLen), quit: make(chan struct{}), done: make(chan struct{})}
}

func (c *Control) run() {
	defer close(c.done)
	for {
		select {
		case f := <-c.queue:
			began := time.Now()
			f()
			c.busy.Add(int64(time.Since(began)))
		case <-c.quit:
			return
		}
	}
}

// Busy returns the time that the goroutine has worked since its start.
func (c *Control) Busy() time.Duration { return time.Duration(c.busy.Load()) }

// Go queues f for the control goroutine. It reports false when the queue is
// full or the node has stopped; f then never runs.
func (c *Control) Go(f func()) bool {
	select {
	case <-c.quit:
		return false
	default:
	}
	select {
	case c.queue <- f:
		return true
	default:
		return false
	}
}

// Do runs f on the control goroutine and waits for it. It reports false when
// the node has stopped. It must not be called from the control goroutine.
func (c *Control) Do(f func()) bool {
	ran := make(chan struct{})
	select {
	case c.queue <- func() { f(); close(ran) }:
	case <-c.quit:
		return false
	}
	select {
	case <-ran:
		return true
	case <-c.done:
		return false
	}
}

func (c *Control) stop() { c.once.Do(func() { close(c.quit) }) }
