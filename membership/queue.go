package membership

import (
	"container/heap"

	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// urgency orders events that compete for the byte budget.
type urgency uint8

const (
	bulk   urgency = iota // suspicions and deaths, which probes find too
	soon                  // new members and services
	urgent                // a member leaves

	numUrgencies = 3
)

// broadcast is an event that is still to be sent some number of times.
type broadcast struct {
	id      string
	record  *wire.MemberRecord
	size    int
	urgency urgency
	sent    int
	limit   int
	order   uint64 // rises with each broadcast
	pos     int    // position in the heap, -1 outside
}

// queue holds the events to spread: the most urgent first, then those sent
// least often, then the newest. It holds one event for each member.
type queue struct {
	heap    broadcastHeap
	byID    map[string]*broadcast
	cross   map[string][]*broadcast // by region that is still to be told
	waiting [numUrgencies]int
	order   uint64
}

// While more than burstQueue events wait, each that is not urgent is sent only
// burstTransmits times; digests repair the few nodes that miss it. Spreading a
// burst with full redundancy would hold up news for minutes.
const (
	burstQueue     = 16
	burstTransmits = 4
)

func newQueue() *queue {
	return &queue{byID: map[string]*broadcast{}, cross: map[string][]*broadcast{}}
}

// put adds an event and replaces an older one of the same member.
func (q *queue) put(r *wire.MemberRecord, u urgency, limit int) *broadcast {
	if old := q.byID[r.Id]; old != nil {
		q.remove(old)
	}
	q.order++
	b := &broadcast{id: r.Id, record: r, size: recordSize(r), urgency: u, limit: limit, order: q.order}
	q.byID[r.Id] = b
	heap.Push(&q.heap, b)
	q.waiting[u]++
	return b
}

// remove deletes an event.
func (q *queue) remove(b *broadcast) {
	heap.Remove(&q.heap, b.pos)
	delete(q.byID, b.id)
	q.waiting[b.urgency]--
}

// take returns the events that come next and fit into room bytes, and counts
// one transmission of each. Events that are not urgent leave reserve bytes.
func (q *queue) take(room, reserve int) []*wire.MemberRecord {
	var taken []*broadcast
	var records []*wire.MemberRecord
	for len(q.heap) > 0 {
		if q.heap[0].urgency != urgent {
			room -= reserve
			reserve = 0
		}
		if q.heap[0].size > room {
			break
		}
		b := heap.Pop(&q.heap).(*broadcast)
		room -= b.size
		taken = append(taken, b)
		records = append(records, b.record)
	}
	for _, b := range taken {
		q.sentOnce(b)
	}
	return records
}

// sentOnce counts a transmission and puts b back while more are due.
func (q *queue) sentOnce(b *broadcast) {
	b.sent++
	if b.urgency != urgent && len(q.heap) > burstQueue {
		b.limit = min(b.limit, burstTransmits)
	}
	if b.sent < b.limit {
		heap.Push(&q.heap, b)
		return
	}
	delete(q.byID, b.id)
	q.waiting[b.urgency]--
}

// heard notes that an event came in that this node spreads itself. In a burst it
// counts as a transmission, since others know it already.
func (q *queue) heard(id string, incarnation uint64, state wire.MemberState) {
	b := q.byID[id]
	if b == nil || b.urgency == urgent || len(q.heap) <= burstQueue {
		return
	}
	if b.record.Incarnation != incarnation || b.record.State != state {
		return
	}
	q.remove(b)
	q.byID[id] = b
	q.waiting[b.urgency]++
	q.sentOnce(b)
}

// putCross marks an event as due for one send to a region.
func (q *queue) putCross(region string, b *broadcast) {
	q.cross[region] = append(q.cross[region], b)
}

// takeCross returns the events due for a region that fit into room bytes.
func (q *queue) takeCross(region string, room int) []*wire.MemberRecord {
	var records []*wire.MemberRecord
	list := q.cross[region]
	for len(list) > 0 && list[0].size <= room {
		room -= list[0].size
		records = append(records, list[0].record)
		list = list[1:]
	}
	q.cross[region] = list
	if len(list) == 0 {
		delete(q.cross, region)
	}
	return records
}

// broadcastHeap implements heap.Interface.
type broadcastHeap []*broadcast

func (h broadcastHeap) Len() int { return len(h) }

func (h broadcastHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.urgency != b.urgency {
		return a.urgency > b.urgency
	}
	if a.sent != b.sent {
		return a.sent < b.sent
	}
	return a.order > b.order
}

func (h broadcastHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}

func (h *broadcastHeap) Push(x any) {
	b := x.(*broadcast)
	b.pos = len(*h)
	*h = append(*h, b)
}

func (h *broadcastHeap) Pop() any {
	old := *h
	b := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	b.pos = -1
	return b
}
