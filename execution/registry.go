package execution

import (
	"container/list"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// RegistryConfig holds the settings of a Registry.
type RegistryConfig struct {
	// Retention is how long an attempt is remembered after it was first heard
	// of. It must exceed the longest deadline plus the longest delay of a
	// message. A long retention costs about 150 bytes per attempt.
	Retention time.Duration

	// MaxEntries bounds the number of attempts that are remembered one by one.
	// Beyond it new attempts are refused without being executed.
	MaxEntries int

	// FilterBits is the size of each of the two filters that remember refused
	// and withdrawn attempts beyond MaxEntries. A small filter refuses more
	// new attempts by mistake.
	FilterBits int
}

// DefaultRegistryConfig returns settings for some thousand attempts per second
// and deadlines up to a minute.
func DefaultRegistryConfig() RegistryConfig {
	return RegistryConfig{
		Retention:  2 * time.Minute,
		MaxEntries: 1 << 18,
		FilterBits: 1 << 20,
	}
}

// Verdict is the decision about an attempt that has arrived.
type Verdict uint8

// Decisions about an attempt that has arrived.
const (
	Run       Verdict = iota + 1 // it is new: admit it
	Duplicate                    // a copy arrived before; this one says nothing about the first
	Withdrawn                    // it never ran here and never will
	Full                         // no room to remember it; it never ran here and never will
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

// ended reports whether nothing more is expected of the attempt.
func (s attemptState) ended() bool { return s >= stateFinished }

type entry struct {
	attempt call.ID
	state   attemptState
	expires time.Time
}

// Registry remembers the attempts that reached a target node.
//
// An attempt that began is remembered until Retention has passed and it has
// ended. When MaxEntries attempts are remembered, new ones are refused rather
// than old ones forgotten. Refused and withdrawn attempts that found no room
// are kept in a filter of fixed size for at least Retention; it may take a new
// attempt for one of these, and then refuses it without executing it. Nothing
// is remembered across a restart of the node: a copy of an attempt that was
// delayed past the restart is taken for new.
type Registry struct {
	cfg     RegistryConfig
	entries map[call.ID]*list.Element
	order   *list.List // of *entry, by expiry
	filter  agingFilter
}

// NewRegistry returns an empty Registry.
func NewRegistry(cfg RegistryConfig) *Registry {
	return &Registry{
		cfg:     cfg,
		entries: make(map[call.ID]*list.Element),
		order:   list.New(),
		filter:  agingFilter{bits: cfg.FilterBits, period: cfg.Retention},
	}
}

// Begin records the arrival of an attempt. After Run the owner must end it by
// Refused or Finish.
func (r *Registry) Begin(attempt call.ID, now time.Time) Verdict {
	if e := r.find(attempt); e != nil {
		if e.state == stateWithdrawn {
			return Withdrawn
		}
		return Duplicate
	}
	if r.filter.has(attempt, now) {
		return Withdrawn
	}
	if !r.add(attempt, stateBegun, now) {
		r.filter.add(attempt, now)
		return Full
	}
	return Run
}

// Start records that bytes are about to go to the backend server. It is false
// if the attempt must not run: it was withdrawn, or did not begin, or started
// before.
func (r *Registry) Start(attempt call.ID, now time.Time) bool {
	return r.move(attempt, stateBegun, stateStarted)
}

// Refuse records that an attempt that began was not executed and never will
// be. For an attempt that started, the owner must have the proof of the backend
// server.
func (r *Registry) Refuse(attempt call.ID, now time.Time) {
	if r.move(attempt, stateBegun, stateRefused) {
		return
	}
	r.move(attempt, stateStarted, stateRefused)
}

// Finish records that the execution of an attempt ended, whatever its result.
func (r *Registry) Finish(attempt call.ID, now time.Time) {
	if r.move(attempt, stateStarted, stateFinished) {
		return
	}
	r.move(attempt, stateBegun, stateFinished)
}

// Withdraw makes sure that an attempt never starts, if that is still possible.
// It reports whether the attempt never ran at this node and never will. An
// unknown attempt is remembered, so that a late copy is refused.
func (r *Registry) Withdraw(attempt call.ID, now time.Time) (neverRan bool) {
	e := r.find(attempt)
	if e == nil {
		if !r.add(attempt, stateWithdrawn, now) {
			r.filter.add(attempt, now)
		}
		return true
	}
	if e.state == stateBegun {
		e.state = stateWithdrawn
	}
	return e.state == stateWithdrawn || e.state == stateRefused
}

// Expire forgets attempts whose retention has passed. An attempt that has not
// ended is kept.
func (r *Registry) Expire(now time.Time) {
	for el := r.order.Front(); el != nil; el = r.order.Front() {
		e := el.Value.(*entry)
		if e.expires.After(now) {
			return
		}
		if !e.state.ended() {
			e.expires = now.Add(r.cfg.Retention)
			r.order.MoveToBack(el)
			continue
		}
		r.order.Remove(el)
		delete(r.entries, e.attempt)
	}
}

// Len returns the number of attempts remembered one by one.
func (r *Registry) Len() int { return len(r.entries) }

func (r *Registry) find(attempt call.ID) *entry {
	el := r.entries[attempt]
	if el == nil {
		return nil
	}
	return el.Value.(*entry)
}

// add remembers an attempt and reports whether there was room.
func (r *Registry) add(attempt call.ID, s attemptState, now time.Time) bool {
	if len(r.entries) >= r.cfg.MaxEntries {
		r.Expire(now)
	}
	if len(r.entries) >= r.cfg.MaxEntries {
		return false
	}
	e := &entry{attempt: attempt, state: s, expires: now.Add(r.cfg.Retention)}
	r.entries[attempt] = r.order.PushBack(e)
	return true
}

// move changes the state of an attempt and reports whether it was in state from.
func (r *Registry) move(attempt call.ID, from, to attemptState) bool {
	e := r.find(attempt)
	if e == nil || e.state != from {
		return false
	}
	e.state = to
	return true
}
