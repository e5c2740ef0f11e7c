package backend

import (
	"context"
	"sync/atomic"
)

// slots bounds how many requests are inside the server and how many of these
// are executed. It is safe for concurrent use.
type slots struct {
	tokens      chan struct{}
	connections int64
	inside      atomic.Int64 // requests waiting or executed
}

func newSlots(n, connections int) *slots {
	return &slots{tokens: make(chan struct{}, n), connections: int64(connections)}
}

// enter lets a request in and reports whether there was room.
func (s *slots) enter() bool {
	if s.inside.Add(1) > s.connections {
		s.inside.Add(-1)
		return false
	}
	return true
}

func (s *slots) leave() { s.inside.Add(-1) }

// acquire waits for a slot until ctx ends.
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
