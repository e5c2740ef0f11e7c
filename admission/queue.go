package admission

import (
	"cmp"
	"slices"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// queue is a bounded queue ordered by priority, then calls within the fair share of
// their team before others, then by rank of the chain, then by earliest deadline, then by
// arrival. Each priority has a sorted slice: with some hundred
// entries, an insertion by binary search is cheaper than a heap that must also find its
// last element.
type queue struct {
	limit      int
	fifo       bool
	byPriority [call.NumPriorities][]*Ticket
	size       int
	seq        uint64
}

// level returns the index in byPriority of tickets of priority p.
func (q *queue) level(p call.Priority) int {
	if q.fifo {
		return 0
	}
	return int(min(p, call.NumPriorities-1))
}

// compare orders tickets within one level.
func (q *queue) compare(a, b *Ticket) int {
	if !q.fifo {
		if c := cmp.Or(compareSides(a, b), cmp.Compare(a.rank(), b.rank()), a.Deadline.Compare(b.Deadline)); c != 0 {
			return c
		}
	}
	switch {
	case a.seq < b.seq:
		return -1
	case a.seq > b.seq:
		return 1
	}
	return 0
}

// compareSides orders tickets within the fair share of their team before others.
func compareSides(a, b *Ticket) int {
	switch {
	case a.overShare == b.overShare:
		return 0
	case a.overShare:
		return 1
	}
	return -1
}

// push adds t, also beyond the limit.
func (q *queue) push(t *Ticket) {
	q.seq++
	t.seq = q.seq
	l := q.level(t.Priority)
	i, _ := slices.BinarySearchFunc(q.byPriority[l], t, q.compare)
	q.byPriority[l] = slices.Insert(q.byPriority[l], i, t)
	q.size++
}

// full reports whether the limit is reached.
func (q *queue) full() bool { return q.size >= q.limit }

// first returns the next ticket of the most important level that has one.
func (q *queue) first() *Ticket {
	for _, s := range q.byPriority {
		if len(s) > 0 {
			return s[0]
		}
	}
	return nil
}

// firstBelow returns the next ticket of the least important level, if that
// level is less important than priority p.
func (q *queue) firstBelow(p call.Priority) *Ticket {
	for l := len(q.byPriority) - 1; l > q.level(p); l-- {
		if len(q.byPriority[l]) > 0 {
			return q.byPriority[l][0]
		}
	}
	return nil
}

// last returns the last ticket in queue order, which is displaced first.
func (q *queue) last() *Ticket {
	for l := len(q.byPriority) - 1; l >= 0; l-- {
		if s := q.byPriority[l]; len(s) > 0 {
			return s[len(s)-1]
		}
	}
	return nil
}

// remove removes t and reports whether it was queued.
func (q *queue) remove(t *Ticket) bool {
	l := q.level(t.Priority)
	i, ok := slices.BinarySearchFunc(q.byPriority[l], t, q.compare)
	if !ok || q.byPriority[l][i] != t {
		return false
	}
	q.byPriority[l] = slices.Delete(q.byPriority[l], i, i+1)
	q.size--
	return true
}

// countAhead returns the number of queued tickets that would start before t.
func (q *queue) countAhead(t *Ticket) int {
	key := Ticket{Deadline: t.Deadline, Cohort: t.Cohort, overShare: t.overShare, seq: q.seq + 1}
	l := q.level(t.Priority)
	n, _ := slices.BinarySearchFunc(q.byPriority[l], &key, q.compare)
	for _, s := range q.byPriority[:l] {
		n += len(s)
	}
	return n
}

// countUpTo returns the number of queued tickets of priority p or more important.
func (q *queue) countUpTo(p call.Priority) int {
	n := 0
	for _, s := range q.byPriority[:q.level(p)+1] {
		n += len(s)
	}
	return n
}

// filter removes the tickets for which keep is false and returns them. keep is
// called in queue order with the number of tickets kept so far.
func (q *queue) filter(keep func(t *Ticket, ahead int) bool) []*Ticket {
	var dropped []*Ticket
	kept := 0
	for l, s := range q.byPriority {
		remaining := s[:0]
		for _, t := range s {
			if !keep(t, kept) {
				dropped = append(dropped, t)
				continue
			}
			remaining = append(remaining, t)
			kept++
		}
		clear(s[len(remaining):])
		q.byPriority[l] = remaining
	}
	q.size = kept
	return dropped
}
