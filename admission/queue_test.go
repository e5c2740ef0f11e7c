package admission

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// naiveQueue is a reference implementation: a list that is sorted after each push.
type naiveQueue []*Ticket

func (q naiveQueue) sort(fifo bool) {
	slices.SortStableFunc(q, func(a, b *Ticket) int {
		switch {
		case fifo:
			return 0
		case a.Priority != b.Priority:
			return int(a.Priority) - int(b.Priority)
		}
		return a.Deadline.Compare(b.Deadline)
	})
}

func (q *naiveQueue) remove(t *Ticket) bool {
	i := slices.Index(*q, t)
	if i < 0 {
		return false
	}
	*q = slices.Delete(*q, i, i+1)
	return true
}

func (q naiveQueue) ahead(t *Ticket, fifo bool) int {
	with := append(slices.Clone(q), t)
	with.sort(fifo)
	return slices.Index(with, t)
}

func drawTicket(t *rapid.T) *Ticket {
	return &Ticket{
		Class:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "class"),
		Priority: call.Priority(rapid.IntRange(0, call.NumPriorities-1).Draw(t, "priority")),
		Deadline: modelEpoch.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "deadline")) * 100 * time.Millisecond),
	}
}

func TestQueueAgreesWithNaiveList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fifo := rapid.Bool().Draw(t, "fifo")
		q := queue{limit: 10, fifo: fifo}
		var naive naiveQueue
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "op") {
			case 0, 1:
				n := drawTicket(t)
				if got, want := q.countAhead(n), naive.ahead(n, fifo); got != want {
					t.Fatalf("ahead: got %d, want %d", got, want)
				}
				q.push(n)
				naive = append(naive, n)
				naive.sort(fifo)
			case 2:
				if len(naive) > 0 {
					n := naive[rapid.IntRange(0, len(naive)-1).Draw(t, "index")]
					if !q.remove(n) || !naive.remove(n) || q.remove(n) {
						t.Fatal("remove returned a wrong result")
					}
				}
			case 3:
				late := modelEpoch.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "now")) * 100 * time.Millisecond)
				kept := 0
				dropped := q.filter(func(n *Ticket, ahead int) bool {
					if ahead != kept {
						t.Fatalf("filter: %d ahead, want %d", ahead, kept)
					}
					if n.Deadline.Before(late) {
						return false
					}
					kept++
					return true
				})
				for _, n := range dropped {
					naive.remove(n)
				}
			}
			if q.size != len(naive) || q.full() != (len(naive) >= q.limit) {
				t.Fatalf("size %d, want %d", q.size, len(naive))
			}
			if len(naive) == 0 {
				if q.first() != nil || q.last() != nil {
					t.Fatal("first or last returned a ticket of an empty queue")
				}
				continue
			}
			if q.first() != naive[0] || q.last() != naive[len(naive)-1] {
				t.Fatal("first or last differs")
			}
		}
	})
}
