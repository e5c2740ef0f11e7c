package membership

import "time"

const (
	// endedRetention is longer than a report of a backend server is on its way, and than a
	// node takes to restart.
	endedRetention = time.Minute

	// maxEndedStarts bounds the memory. A rolling replacement of 30,000 backend servers
	// within an hour ends 500 in endedRetention.
	maxEndedStarts = 4096
)

// EndedStarts remembers which starts of backend servers beside other nodes have ended, by
// the key of the record of their node. The next process of such a node asks for it, because
// the store may have been out of reach, or may have been restored from an older copy, when
// the end was acknowledged. It is not safe for concurrent use.
type EndedStarts struct {
	byKey map[string]heardEnd
}

type heardEnd struct {
	BackendStart
	heardAt time.Time
}

// Record remembers an ended start. One that was born later is kept instead.
func (e *EndedStarts) Record(key string, start BackendStart, now time.Time) {
	if before, ok := e.Latest(key, now); start.Instance == "" || ok && before.BornAfter(start) {
		return
	}
	if e.byKey == nil {
		e.byKey = map[string]heardEnd{}
	}
	if len(e.byKey) >= maxEndedStarts {
		e.evict(now)
	}
	e.byKey[key] = heardEnd{start, now}
}

// Latest returns the latest start beside a node that is known to have ended.
func (e *EndedStarts) Latest(key string, now time.Time) (BackendStart, bool) {
	h, ok := e.byKey[key]
	if !ok || now.Sub(h.heardAt) > endedRetention {
		return BackendStart{}, false
	}
	return h.BackendStart, true
}

// evict deletes what is outdated, or the oldest entry if nothing is.
func (e *EndedStarts) evict(now time.Time) {
	oldest, oldestAt := "", now
	for key, h := range e.byKey {
		if now.Sub(h.heardAt) > endedRetention {
			delete(e.byKey, key)
		} else if !h.heardAt.After(oldestAt) {
			oldest, oldestAt = key, h.heardAt
		}
	}
	if len(e.byKey) >= maxEndedStarts {
		delete(e.byKey, oldest)
	}
}
