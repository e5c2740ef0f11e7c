// Package admission decides at the target node whether a call for the local
// backend server runs now, waits in a queue, or is refused.
//
// A Controller combines four mechanisms: a concurrency limit learned from
// latency and refusals, a bounded queue ordered by priority, fair share of the team and
// deadline, early
// refusal of calls that cannot finish before their deadline, and a ramp after a
// cold start. Decisions are deterministic: the current time and the random source
// are passed in. Nothing blocks and no goroutine is started. A Controller is not
// safe for concurrent use.
package admission
