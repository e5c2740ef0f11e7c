package membership

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestFleetAgreesAndLeaveSpreads(t *testing.T) {
	for _, size := range []int{24, 100, 400} {
		s := newSim(t, uint64(size), DefaultConfig())
		s.fleet(size, 3)
		joined := s.until(3*time.Minute, s.agreed)
		s.run(30 * time.Second)
		var worst time.Duration
		for range 5 {
			n := s.nodes[s.rng.IntN(size)]
			s.send(n, n.Leave(s.now))
			took := s.until(10*time.Second, func() bool { return s.know(n, Leaving) == len(s.live()) })
			worst = max(worst, took)
		}
		t.Logf("%d nodes: all known after %v, leave known to all after at most %v", size, joined, worst)
		if worst >= 2*time.Second {
			t.Errorf("leave took %v", worst)
		}
	}
}

func TestCrashedMemberIsRemoved(t *testing.T) {
	s := newSim(t, 7, DefaultConfig())
	s.fleet(48, 3)
	s.until(time.Minute, s.agreed)
	s.nodes[5].up = false
	t.Logf("removed everywhere after %v", s.until(90*time.Second, s.agreed))
}

func TestPausedMemberComesBack(t *testing.T) {
	s := newSim(t, 8, DefaultConfig())
	s.fleet(24, 3)
	s.until(time.Minute, s.agreed)
	n := s.nodes[5]
	n.paused = true
	s.until(time.Minute, func() bool { return s.know(n, Dead) == 23 })
	s.resume(n)
	t.Logf("back after %v", s.until(30*time.Second, s.agreed))
}

func TestQueryByService(t *testing.T) {
	s := newSim(t, 3, DefaultConfig())
	a, b := s.start("r0", "d0", "archivo"), s.start("r0", "d1", "")
	s.send(b, b.Join([]string{a.self.GossipAddr}, s.now))
	s.until(10*time.Second, s.agreed)
	if diff := cmp.Diff([]Member{a.Self()}, b.Members("archivo")); diff != "" {
		t.Error(diff)
	}
	if err := b.Announce("archivo", s.now); err != nil {
		t.Fatal(err)
	}
	s.until(2*time.Second, func() bool { return len(a.Members("archivo")) == 2 })
	s.send(b, b.Leave(s.now))
	s.until(2*time.Second, func() bool { return len(a.Members("archivo")) == 1 })
	s.send(b, b.Stop(s.now))
	b.up = false
	s.until(2*time.Second, func() bool { return len(a.All()) == 1 })
}

func TestInterestsAreFetchedFirst(t *testing.T) {
	cfg := DefaultConfig()
	s := newSim(t, 20, cfg)
	s.fleet(200, 3)
	s.until(3*time.Minute, s.agreed)
	s.run(time.Minute)
	wanted := len(s.nodes[0].Members("svc2"))
	s.cfg.Interests = []string{"svc2"}
	n := s.start("r0", "r0-d0", "svc0", s.nodes[1].self.GossipAddr)
	useful := s.until(time.Minute, func() bool { return len(n.Members("svc2")) == wanted })
	share := n.index.live
	whole := s.until(time.Minute, func() bool { return n.index.live == 201 })
	t.Logf("%d members of the wanted service known %v after the start, with %d members in all; all 201 %v later", wanted, useful, share, whole)
	if share > 100 {
		t.Errorf("%d members were fetched before the wanted ones were all known", share)
	}
}

// TestInterestsWhenARegionStarts lets all nodes of a region start at once, so
// that its members cannot tell each other of the other regions.
func TestInterestsWhenARegionStarts(t *testing.T) {
	s := newSim(t, 21, DefaultConfig())
	s.fleet(150, 3)
	s.until(3*time.Minute, s.agreed)
	s.run(time.Minute)
	var wanted []Member
	for _, m := range s.nodes[1].Members("svc2") {
		if m.Region != "r0" {
			wanted = append(wanted, m)
		}
	}
	s.cfg.Interests = []string{"svc2"}
	var contacts []string // two in each failure domain of the other regions
	for _, n := range s.nodes[:12] {
		if !inRegion("r0")(n) {
			contacts = append(contacts, n.self.GossipAddr)
		}
	}
	var started []*simNode
	for _, n := range s.nodes[:150] {
		if inRegion("r0")(n) {
			n.up = false
			started = append(started, s.startAt(n.self.GossipAddr, "r0", n.self.Domain, n.self.Service, contacts...))
		}
	}
	took := s.until(2*time.Minute, func() bool {
		for _, n := range started {
			for _, m := range wanted {
				if _, ok := n.Lookup(m.ID); !ok {
					return false
				}
			}
		}
		return true
	})
	t.Logf("%d starting nodes know the %d wanted members of other regions after %v", len(started), len(wanted), took)
	if took > 15*time.Second {
		t.Errorf("took %v", took)
	}
}
