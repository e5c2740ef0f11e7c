package quota

import "time"

// Isolated decides at a node that reaches no other node which could grant tokens. All
// isolated nodes together stay within Limit.Isolated, even if that is all but one, so
// each admits its whole tokens of an equal share, evenly spaced. A node whose share of a
// window is below one admits none.
type Isolated struct {
	next time.Time // when the next request may run
}

// Take reports whether a request may run, and counts it if so. nodes is the number of nodes
// of the fleet. The first request of an isolated node waits for its token.
func (i *Isolated) Take(l *Limit, nodes int, now time.Time) bool {
	share := int(l.Isolated / float64(max(nodes, 1)))
	if share < 1 {
		return false
	}
	gap := l.Window/time.Duration(share) + 1
	if i.next.IsZero() {
		i.next = now.Add(gap)
	}
	if now.Before(i.next) {
		return false
	}
	i.next = now.Add(gap)
	return true
}
