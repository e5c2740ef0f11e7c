package spread

import (
	"flag"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// TestMain fixes the seed of the property tests; a flag overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	m.Run()
}

func TestRecordReachesAllWithLoss(t *testing.T) {
	for _, size := range []int{24, 100, 400} {
		s := newSim(t, uint64(size), DefaultConfig(), size, 3)
		s.loss = 0.1
		s.until(time.Minute, s.allSynced)
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
	s.largeValues = true
	r := s.store.write("profile/big", s.randomText(50000))
	s.put(s.nodes[0], r)
	t.Logf("50 KB everywhere after %v", s.until(5*time.Minute, func() bool { return s.holds(r.Key, r.Revision) == 24 }))
}

// randomText returns text that compresses to about three quarters.
func (s *sim) randomText(n int) string {
	b := make([]byte, n)
	for i := range b {
		b[i] = byte('0' + s.rng.IntN(64))
	}
	return string(b)
}

func TestProfileReachesAllWithLoss(t *testing.T) {
	for _, size := range []int{48, 400} {
		s := newSim(t, uint64(size), DefaultConfig(), size, 3)
		s.loss = 0.1
		s.until(time.Minute, s.allSynced)
		var worst time.Duration
		for range 5 {
			r := s.store.write("profile/a", s.randomText(4000))
			s.put(s.nodes[s.rng.IntN(size)], r)
			worst = max(worst, s.until(30*time.Second, func() bool { return s.holds(r.Key, r.Revision) == size }))
			s.run(30 * time.Second)
		}
		t.Logf("%d nodes, 10%% loss: 4,000 bytes of random text are everywhere after at most %v", size, worst)
		if worst >= 5*time.Second {
			t.Errorf("profile took %v", worst)
		}
	}
}

// TestWatchersKilled kills all holders of contact slots as soon as one of them
// got a record from the store and pushed it.
func TestWatchersKilled(t *testing.T) {
	s := newContactSim(t, 96)
	s.loss = 0.1
	first := s.holders("r0-d0")[0]
	r := s.store.write("profile/a", "value")
	s.until(time.Second, func() bool { return s.holds(r.Key, r.Revision) > 0 })
	for _, n := range s.nodes {
		n.up = n.contacts.Holding() == ""
	}
	live := s.live()
	took := s.until(10*time.Second, func() bool { return s.holds(r.Key, r.Revision) == live })
	r = s.store.write("profile/a", "value 2")
	again := s.until(3*time.Minute, func() bool { return s.holds(r.Key, r.Revision) == live })
	t.Logf("%d of 96 nodes left after %s: everywhere after %v; the next record, written without a watcher, after %v", live, first.peer.ID, took, again)
	if took >= 5*time.Second {
		t.Errorf("record took %v", took)
	}
}

// live counts the running nodes.
func (s *sim) live() int {
	count := 0
	for _, n := range s.nodes {
		if n.up {
			count++
		}
	}
	return count
}

// TestConvergenceAfterFaults writes records at random nodes through loss, cuts,
// pauses and restarts. The naive rule is that the highest revision of each key
// wins.
func TestConvergenceAfterFaults(t *testing.T) {
	var worst time.Duration
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(4, 30).Draw(t, "size")
		regions := rapid.IntRange(1, 3).Draw(t, "regions")
		s := newSim(t, rapid.Uint64().Draw(t, "seed"), DefaultConfig(), size, regions)
		naive := map[string]uint64{}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			s.fault(t, naive)
		}
		s.heal()
		took := s.until(2*time.Minute, func() bool { return s.all(naive) })
		worst = max(worst, took)
	})
	t.Logf("all agree at most %v after the last fault", worst)
}

// fault writes some records and brings about one fault.
func (s *sim) fault(t *rapid.T, naive map[string]uint64) {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
	switch rapid.SampledFrom([]string{"none", "loss", "cut", "node", "pause", "restart"}).Draw(t, "fault") {
	case "loss":
		s.loss = 0.4
	case "cut":
		s.cut = func(a, b *simNode) bool { return a.peer.Region != b.peer.Region }
	case "node":
		s.cut = func(a, b *simNode) bool { return (a == n) != (b == n) }
	case "pause":
		n.paused = true
	case "restart":
		if s.safe(naive) && s.live() > 2 {
			n.up = false
			s.start(len(s.nodes), 1)
		}
	}
	for range rapid.IntRange(0, 5).Draw(t, "writes") {
		s.store.revision++
		r := Record{
			Key:      rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"),
			Revision: s.store.revision,
			Value:    make([]byte, rapid.SampledFrom([]int{0, 50, 2000}).Draw(t, "bytes")),
			Deleted:  rapid.Bool().Draw(t, "deleted"),
		}
		naive[r.Key] = r.Revision
		writer := s.nodes[len(s.nodes)-1]
		s.put(writer, r)
	}
	s.run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
	s.heal()
}

// safe reports whether at least two running nodes hold all records, so that
// none is lost with one node.
func (s *sim) safe(naive map[string]uint64) bool {
	count := 0
	for _, n := range s.nodes {
		if n.up && s.holdsAll(n, naive) {
			count++
		}
	}
	return count >= 2
}

// heal ends all faults but a small loss.
func (s *sim) heal() {
	s.loss = 0.02
	s.cut = func(a, b *simNode) bool { return false }
	for _, n := range s.nodes {
		n.paused = false
	}
}

// all reports whether all running nodes hold exactly the naive records.
func (s *sim) all(naive map[string]uint64) bool {
	for _, n := range s.nodes {
		if n.up && !s.holdsAll(n, naive) {
			return false
		}
	}
	return true
}

func (s *sim) holdsAll(n *simNode, naive map[string]uint64) bool {
	for key, revision := range naive {
		if r, ok := n.Get(key); !ok || r.Revision != revision {
			return false
		}
	}
	return len(n.Records()) == len(naive)
}

func TestBytesPerSecond(t *testing.T) {
	for _, size := range []int{50, 100, 200, 400} {
		s := newSim(t, uint64(size), DefaultConfig(), size, 3)
		s.until(time.Minute, s.allSynced)
		s.run(10 * time.Second)
		idle := s.bytes(10 * time.Second)
		const seconds = 60
		var busy float64
		for i := range seconds {
			s.put(s.nodes[s.rng.IntN(size)], s.store.write(string(rune('a'+i%20)), s.randomText(300)))
			busy += s.bytes(time.Second) / seconds
		}
		t.Logf("%d nodes: %.0f B/s sent by each idle, %.0f B/s with one change of 300 B each second", size, idle, busy)
	}
}

// bytes passes time and returns the bytes sent per second and node.
func (s *sim) bytes(d time.Duration) float64 {
	var before, after uint64
	for _, n := range s.nodes {
		before += n.Stats().BytesSent
	}
	s.run(d)
	for _, n := range s.nodes {
		after += n.Stats().BytesSent
	}
	return float64(after-before) / d.Seconds() / float64(len(s.nodes))
}

func TestMalformedInputIsCounted(t *testing.T) {
	s := newSim(t, 9, DefaultConfig(), 2, 1)
	n := s.nodes[0]
	good := store(Record{Key: "a", Revision: 1, Value: []byte("x")}, nil).wire
	bad := &wire.ConfigRecord{Key: "b", Revision: 2, Value: []byte("no stream"), Deflate: true}
	msg := &wire.SpreadPacket{From: "x", Records: []*wire.ConfigRecord{{}, bad, good}}
	if _, err := n.Handle("10.0.0.9:1", wire.Encode(msg), s.now); errs.KindOf(err) != errs.Invalid {
		t.Errorf("error %v", err)
	}
	if _, ok := n.Get("a"); !ok || n.Stats().Malformed != 2 {
		t.Errorf("record held: %v, stats %+v", ok, n.Stats())
	}
	rapid.Check(t, func(t *rapid.T) {
		payload := rapid.SliceOf(rapid.Byte()).Draw(t, "payload")
		_, _ = n.Handle("10.0.0.9:1", payload, s.now)
		_, _ = n.Sync(payload, s.now)
	})
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
