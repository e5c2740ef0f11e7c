package quota

import "time"

const (
	// failuresUntilDown is the number of asks without an answer in a row after which a
	// node is not asked for downTime.
	failuresUntilDown = 2
	downTime          = time.Second

	// probeLead is how long before the end of downTime a node is probed. Without a probe,
	// the first requests after that time wait in vain.
	probeLead = 400 * time.Millisecond
)

// Reach remembers whether another node answers asks. It is zero for a node that has not
// been asked.
type Reach struct {
	failures  int
	downUntil time.Time
	probedFor time.Time // downUntil when it was last probed
}

// Answered records an answer.
func (r *Reach) Answered() { *r = Reach{} }

// Failed records that there was no answer in time.
func (r *Reach) Failed(now time.Time) {
	if r.failures++; r.failures >= failuresUntilDown {
		r.downUntil = now.Add(downTime)
	}
}

// Failing reports whether the last ask had no answer.
func (r *Reach) Failing() bool { return r.failures > 0 }

// Down reports whether the node should not be asked now.
func (r *Reach) Down(now time.Time) bool { return now.Before(r.downUntil) }

// ProbeDue reports whether the node should be probed now, once for each time that it is
// down.
func (r *Reach) ProbeDue(now time.Time) bool {
	if !r.Down(now) || now.Before(r.downUntil.Add(-probeLead)) || r.probedFor.Equal(r.downUntil) {
		return false
	}
	r.probedFor = r.downUntil
	return true
}
