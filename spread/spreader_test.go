package spread

import (
	"strings"
	"testing"
	"time"
)

func TestRecordReachesAllWithLoss(t *testing.T) {
	for _, size := range []int{24, 100, 400} {
		s := newSim(t, uint64(size), DefaultConfig(), size, 3)
		s.loss = 0.1
		s.until(time.Minute, func() bool { return s.allSynced() })
		var worst time.Duration
		for i := range 20 {
			r := s.store.write("profile/a", strings.Repeat("x", 200))
			s.put(s.nodes[s.rng.IntN(size)], r)
			took := s.until(10*time.Second, func() bool { return s.holds(r.Key, r.Revision) == size })
			worst = max(worst, took)
			s.run(time.Duration(i) * 50 * time.Millisecond)
		}
		t.Logf("%d nodes, 10%% loss: a record is everywhere after at most %v", size, worst)
		if worst >= 5*time.Second {
			t.Errorf("record took %v", worst)
		}
	}
}

func (s *sim) allSynced() bool {
	for _, n := range s.nodes {
		if n.up && !n.Synced() {
			return false
		}
	}
	return true
}

func TestLargeValueIsPulled(t *testing.T) {
	s := newSim(t, 5, DefaultConfig(), 24, 3)
	r := s.store.write("profile/big", strings.Repeat("x", 50000))
	s.put(s.nodes[0], r)
	t.Logf("50 KB everywhere after %v", s.until(3*time.Minute, func() bool { return s.holds(r.Key, r.Revision) == 24 }))
}

func TestStartingNodeCatchesUp(t *testing.T) {
	s := newSim(t, 6, DefaultConfig(), 24, 3)
	for range 30 {
		for _, key := range []string{"a", "b", "c", "d"} {
			s.put(s.nodes[0], s.store.write(key, "value"))
		}
	}
	s.run(10 * time.Second)
	n := s.start(0, 3)
	t.Logf("synced after %v", s.until(30*time.Second, n.Synced))
	if len(n.Records()) != 4 || n.Held() != s.store.revision || n.Floor() != s.store.revision {
		t.Errorf("holds %d records up to revision %d, floor %d", len(n.Records()), n.Held(), n.Floor())
	}
}
