package execution

import (
	"container/list"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// RegistryConfig holds the settings of a Registry.
type RegistryConfig struct {
	// Retention is how long an attempt is remembered after the registry first
	// saw it. It must exceed the longest deadline plus the longest message
	// delay. Each remembered attempt takes about 150 bytes.
	Retention time.Duration

	// MaxEntries is the maximum number of attempts with an entry of their own.
	// When it is reached, new attempts are refused without being executed.
	MaxEntries int

	// FilterBits is the size in bits of each of the two Bloom filters that
	// remember refused and withdrawn attempts beyond MaxEntries. A smaller
	// filter refuses more new attempts by mistake.
	FilterBits int
}

// DefaultRegistryConfig returns settings for a few thousand attempts per second
// and deadlines of up to one minute.
func DefaultRegistryConfig() RegistryConfig {
	return RegistryConfig{
		Retention:  2 * time.Minute,
		MaxEntries: 1 << 18,
		FilterBits: 1 << 20,
	}
}

// Verdict is the decision of Registry.Begin about an attempt.
type Verdict uint8

// Verdicts of Registry.Begin.
const (
	Run       Verdict = iota + 1 // first copy: admit it
	Duplicate                    // a copy arrived earlier; this verdict does not tell what became of that copy
	Withdrawn                    // not executed at this node, and never will be
	Full                         // MaxEntries reached; not executed at this node, and never will be
)

// String returns the name used in logs.
func (v Verdict) String() string {
	switch v {
	case Run:
		return "run"
	case Duplicate:
		return "duplicate"
	case Withdrawn:
		return "withdrawn"
	case Full:
		return "full"
	}
	return "unset"
}

type attemptState uint8

const (
	stateBegun     attemptState = iota + 1 // admitted or waiting
	stateStarted                           // bytes may have reached the backend server
	stateFinished                          // executed
	stateRefused                           // not executed, and never will be
	stateWithdrawn                         // not executed, and never will be
)

// ended reports whether the state is final.
func (s attemptState) ended() bool { return s >= stateFinished }

type attemptEntry struct {
	attempt call.ID
	state   attemptState
	expires time.Time
}

// Registry tracks the attempts that reached a target node.
//
// An attempt that began is remembered until it has ended and Retention has passed.
// When MaxEntries attempts are remembered, new attempts are refused; old ones are
// not evicted. Refused and withdrawn attempts for which there was no room go into
// a Bloom filter of fixed size for at least Retention. A false positive of the
// filter refuses a new attempt without executing it. Nothing is remembered across
// a restart of the node: a copy of an attempt that arrives after the restart is
// treated as new.
type Registry struct {
	cfg      RegistryConfig
	entries  map[call.ID]*list.Element
	byExpiry *list.List // of *attemptEntry, soonest expiry first
	overflow agingFilter
}

// NewRegistry returns an empty Registry.
func NewRegistry(cfg RegistryConfig) *Registry {
	return &Registry{
		cfg:      cfg,
		entries:  make(map[call.ID]*list.Element),
		byExpiry: list.New(),
		overflow: agingFilter{bits: cfg.FilterBits, period: cfg.Retention},
	}
}

// Begin records the arrival of an attempt. If the verdict is Run, a call of Refuse or
// Finish must follow when the attempt ends.
func (r *Registry) Begin(attempt call.ID, now time.Time) Verdict {
	if e := r.find(attempt); e != nil {
		if e.state == stateWithdrawn {
			return Withdrawn
		}
		return Duplicate
	}
	if r.overflow.mayContain(attempt, now) {
		return Withdrawn
	}
	if !r.add(attempt, stateBegun, now) {
		r.overflow.add(attempt, now)
		return Full
	}
	return Run
}

// Start records that bytes are about to be sent to the backend server. It returns
// false if the attempt must not be executed because it was withdrawn, has already
// started or ended, or never began.
func (r *Registry) Start(attempt call.ID, now time.Time) bool {
	return r.transition(attempt, stateBegun, stateStarted)
}

// Refuse records that an attempt that began was not executed and never will be.
// For an attempt that has started, this requires proof from the backend server that
// the attempt was not executed.
func (r *Registry) Refuse(attempt call.ID, now time.Time) {
	if r.transition(attempt, stateBegun, stateRefused) {
		return
	}
	r.transition(attempt, stateStarted, stateRefused)
}

// Finish records that the execution of an attempt ended, with any result.
func (r *Registry) Finish(attempt call.ID, now time.Time) {
	if r.transition(attempt, stateStarted, stateFinished) {
		return
	}
	r.transition(attempt, stateBegun, stateFinished)
}

// Withdraw prevents an attempt from starting if it has not started yet. It reports
// whether the attempt was not executed at this node and never will be. An attempt
// that has not arrived is recorded as withdrawn, so that a late copy is refused.
func (r *Registry) Withdraw(attempt call.ID, now time.Time) (neverRan bool) {
	e := r.find(attempt)
	if e == nil {
		if !r.add(attempt, stateWithdrawn, now) {
			r.overflow.add(attempt, now)
		}
		return true
	}
	if e.state == stateBegun {
		e.state = stateWithdrawn
	}
	return e.state == stateWithdrawn || e.state == stateRefused
}

// Expire removes attempts whose retention has passed. An attempt that has not
// ended is kept for another retention period.
func (r *Registry) Expire(now time.Time) {
	for el := r.byExpiry.Front(); el != nil; el = r.byExpiry.Front() {
		e := el.Value.(*attemptEntry)
		if e.expires.After(now) {
			return
		}
		if !e.state.ended() {
			e.expires = now.Add(r.cfg.Retention)
			r.byExpiry.MoveToBack(el)
			continue
		}
		r.byExpiry.Remove(el)
		delete(r.entries, e.attempt)
	}
}

// Len returns the number of attempts that have an entry, which excludes those kept
// only in the filter.
func (r *Registry) Len() int { return len(r.entries) }

func (r *Registry) find(attempt call.ID) *attemptEntry {
	el := r.entries[attempt]
	if el == nil {
		return nil
	}
	return el.Value.(*attemptEntry)
}

// add creates an entry for an attempt and reports whether there was room for it.
func (r *Registry) add(attempt call.ID, s attemptState, now time.Time) bool {
	if len(r.entries) >= r.cfg.MaxEntries {
		r.Expire(now)
	}
	if len(r.entries) >= r.cfg.MaxEntries {
		return false
	}
	e := &attemptEntry{attempt: attempt, state: s, expires: now.Add(r.cfg.Retention)}
	r.entries[attempt] = r.byExpiry.PushBack(e)
	return true
}

// transition moves an attempt from one state to another. It reports false, and
// changes nothing, if the attempt was not in state from.
func (r *Registry) transition(attempt call.ID, from, to attemptState) bool {
	e := r.find(attempt)
	if e == nil || e.state != from {
		return false
	}
	e.state = to
	return true
}
