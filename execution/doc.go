// Package execution implements at-most-once execution: a target node executes
// each attempt at most once, and the holders of an idempotency key grant it to
// at most one submission.
//
// The package does no I/O, reads no clock, starts no goroutine and never blocks; the
// current time is passed in. The types are not safe for concurrent use.
package execution
