package backend

import (
	"context"
	"sync/atomic"
)

// slots limits the number of requests in flight and the number of them that
// execute concurrently. It is safe for concurrent use.
type slots struct {
	tokens      chan struct{}
	connections int64
	inFlight    atomic.Int64 // requests queued or executing
}

func newSlots(count, connections int) *slots {
	return &slots{tokens: make(chan struct{}, count), connections: int64(connections)}
}

// tryEnter counts a request as in flight, or returns false at the connection
// limit. Each successful call must be followed by leave.
func (s *slots) tryEnter() bool {
	if s.inFlight.Add(1) > s.connections {
		s.inFlight.Add(-1)
		return false
	}
	return true
}

func (s *slots) leave() { s.inFlight.Add(-1) }

// acquire waits for a free slot. It returns the error of ctx if that ends first.
func (s *slots) acquire(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	select {
	case s.tokens <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *slots) release() { <-s.tokens }
