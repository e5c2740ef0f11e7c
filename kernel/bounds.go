package kernel

import "time"

// Bounds are limits that the place where the node runs sets.
type Bounds struct {
	// Grace is the time from the request to stop until the process is killed; 0
	// if nothing kills it.
	Grace time.Duration
	// RetryRatio and RetrySlack bound the repeated requests that all nodes
	// together send to one service within RetryWindow: RetryRatio of its requests
	// plus RetrySlack. A RetryRatio of 0 leaves the bound to each node.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// DefaultBounds are those of a place that sets none.
func DefaultBounds() Bounds { return Bounds{} }
