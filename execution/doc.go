// Package execution keeps the state with which a target node executes each
// attempt at most once, and with which the holders of an idempotency key grant
// it to at most one submission.
//
// All decisions are pure: the current time is passed in, nothing blocks and no
// goroutine is started. The types are not safe for concurrent use.
package execution
