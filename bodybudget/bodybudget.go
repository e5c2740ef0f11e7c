// Package bodybudget bounds the memory that a node uses for the bodies of requests. Who
// reads a body takes room for it first and waits while the budget is used up, so that the
// sender is held back by flow control.
package bodybudget

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
)

// Errors of Acquire.
var (
	ErrTooLarge = errors.New("the body exceeds the whole budget for bodies")
	ErrNoRoom   = errors.New("no room for the body in time")
)

// Budget is a number of bytes shared by all bodies of a node. It is safe for concurrent
// use. A nil Budget is unlimited.
type Budget struct {
	limit   int64
	huge    int64 // largest body that may be held besides the limit, one at a time; 0 for none
	refused atomic.Int64

	mu       sync.Mutex
	used     int64
	hugeUsed bool
	buffered int64     // received for bodies that wait
	waiting  []*waiter // in order of arrival
}

type waiter struct {
	bytes    int64
	buffered int64 // of it, may have been received
	granted  chan struct{}
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// NewWithHuge returns a budget of limit bytes. Besides, one body at a time may have up to huge bytes,
// so that a body that never fits the limit is served while no other such body is held.
func NewWithHuge(limit, huge int64) *Budget { return &Budget{limit: limit, huge: huge} }

// reserveFraction is the part of the budget, as its divisor, that only TryAcquire uses, so
// that small bodies do not wait behind large ones.
const reserveFraction = 8

// bufferedFraction is the part of the budget, as its divisor, that is left to the received
// parts of bodies that wait.
const bufferedFraction = 8

// largeLimit returns the bytes that Acquire may use.
func (b *Budget) largeLimit() int64 {
	return b.limit - b.limit/reserveFraction - b.limit/bufferedFraction
}

// TryAcquire takes room for a small body without waiting and reports whether it did.
func (b *Budget) TryAcquire(bytes int64) bool {
	if b == nil || bytes == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+bytes > b.limit-b.limit/bufferedFraction {
		return false
	}
	b.used += bytes
	return true
}

// isHuge reports whether a body of that size never fits the limit.
func (b *Budget) isHuge(bytes int64) bool { return bytes > b.largeLimit() }

// Ceiling returns the room to take for a body of at most limit bytes that may grow further, once it needs
// that many bytes: that many, or for a huge one the most that it can have, since a huge body cannot grow.
func (b *Budget) Ceiling(bytes, limit int64) int64 {
	if b != nil && b.isHuge(bytes) && bytes <= b.huge {
		return min(limit, b.huge)
	}
	return bytes
}

// fits reports whether there is room for a large body. The caller must hold mu.
func (b *Budget) fits(bytes int64) bool {
	if b.isHuge(bytes) {
		return !b.hugeUsed
	}
	return b.used+bytes <= b.largeLimit()
}

// take takes the room of a large body. The caller must hold mu.
func (b *Budget) take(bytes int64) {
	if b.isHuge(bytes) {
		b.hugeUsed = true
		return
	}
	b.used += bytes
}

// isAwaited reports whether a body waits for the same room as one of that size. The caller must hold mu.
func (b *Budget) isAwaited(bytes int64) bool {
	return slices.ContainsFunc(b.waiting, func(w *waiter) bool { return b.isHuge(w.bytes) == b.isHuge(bytes) })
}

// Acquire takes room for a body, in order of arrival. It returns ErrTooLarge for a body
// that never fits, and ErrNoRoom if ctx ends first.
func (b *Budget) Acquire(ctx context.Context, bytes int64) error {
	return b.AcquireBuffered(ctx, bytes, 0)
}

// AcquireBuffered is Acquire for a body of which a part may be received while it waits,
// which takes memory too. It returns ErrNoRoom at once if the parts of all that wait
// exceed their share of the budget.
func (b *Budget) AcquireBuffered(ctx context.Context, bytes, buffered int64) error {
	if b == nil {
		return nil
	}
	if bytes > max(b.largeLimit(), b.huge) {
		b.refused.Add(1)
		return ErrTooLarge
	}
	b.mu.Lock()
	if !b.isAwaited(bytes) && b.fits(bytes) {
		b.take(bytes)
		b.mu.Unlock()
		return nil
	}
	if buffered > 0 && b.buffered+buffered > b.limit/bufferedFraction {
		b.mu.Unlock()
		b.refused.Add(1)
		return ErrNoRoom
	}
	b.buffered += buffered
	w := &waiter{bytes: bytes, buffered: buffered, granted: make(chan struct{})}
	b.waiting = append(b.waiting, w)
	b.mu.Unlock()
	select {
	case <-w.granted:
		return nil
	case <-ctx.Done():
		return b.giveUp(w)
	}
}

// giveUp ends the wait of w, unless it was granted room in the meantime.
func (b *Budget) giveUp(w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.waiting {
		if other == w {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			b.buffered -= w.buffered
			b.refused.Add(1)
			b.grant() // a smaller one behind it may fit
			return ErrNoRoom
		}
	}
	return nil
}

// Release returns room.
func (b *Budget) Release(bytes int64) {
	if b == nil || bytes == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isHuge(bytes) {
		b.hugeUsed = false
	} else {
		b.used -= bytes
	}
	b.grant()
}

// grant gives room to those that have waited longest: huge bodies do not hold up others, nor these
// them. The caller must hold mu.
func (b *Budget) grant() {
	var held [2]bool // up, for other bodies and for huge ones
	b.waiting = slices.DeleteFunc(b.waiting, func(w *waiter) bool {
		kind := 0
		if b.isHuge(w.bytes) {
			kind = 1
		}
		if held[kind] || !b.fits(w.bytes) {
			held[kind] = true
			return false
		}
		b.take(w.bytes)
		b.buffered -= w.buffered
		close(w.granted)
		return true
	})
}

// Status is the use of a Budget.
type Status struct {
	Limit, Used int64 // bytes
	Waiting     int   // bodies that wait for room
	Refused     int64 // bodies that got no room, since the start
}

// Status returns the current use.
func (b *Budget) Status() Status {
	if b == nil {
		return Status{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Status{Limit: b.limit, Used: b.used, Waiting: len(b.waiting), Refused: b.refused.Load()}
}
