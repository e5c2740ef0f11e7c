package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// apart cuts the nodes that in accepts from all others, both ways.
func apart(in func(*simNode) bool) func(a, b *simNode) bool {
	return func(a, b *simNode) bool { return in(a) != in(b) }
}

func inRegion(region string) func(*simNode) bool {
	return func(n *simNode) bool { return n.self.Region == region }
}

func inDomain(domain string) func(*simNode) bool {
	return func(n *simNode) bool { return n.self.Domain == domain }
}

// fault brings about one random fault and runs through it.
func (s *sim) fault(t *rapid.T) {
	n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")]
	lasts := time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second
	contact := s.live()[0].self.GossipAddr
	switch kind := rapid.SampledFrom([]string{"crash", "restart", "pause", "node", "domain", "region", "one_way", "loss", "leave"}).Draw(t, "fault"); kind {
	case "crash":
		s.crash(n)
	case "restart":
		if s.crash(n) {
			s.run(lasts)
			s.startAt(n.self.GossipAddr, n.self.Region, n.self.Domain, n.self.Service, contact)
		}
	case "pause":
		n.paused = n.up
		s.run(lasts)
		s.resume(n)
	case "node":
		s.cut = apart(func(m *simNode) bool { return m == n })
	case "domain":
		s.cut = apart(inDomain(n.self.Domain))
	case "region":
		s.cut = apart(inRegion(n.self.Region))
	case "one_way":
		s.cut = func(a, b *simNode) bool { return a == n }
	case "loss":
		s.loss = 0.3
	case "leave":
		if s.crash(n) {
			n.up = true
			s.send(n, n.Leave(s.now))
			s.run(time.Second)
			s.send(n, n.Stop(s.now))
			n.up = false
		}
	}
	s.run(lasts)
	s.cut = func(a, b *simNode) bool { return false }
	s.loss = 0.02
}

// crash stops n for good, unless it is one of the last three of its region.
func (s *sim) crash(n *simNode) bool {
	left := 0
	for _, m := range s.live() {
		if m.self.Region == n.self.Region {
			left++
		}
	}
	if !n.up || left <= 3 {
		return false
	}
	n.up = false
	return true
}

func TestAgreementAfterFaults(t *testing.T) {
	var worst time.Duration
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.Uint64().Draw(t, "seed"), DefaultConfig())
		s.loss, s.dup = 0.02, 0.05
		regions := rapid.IntRange(1, 3).Draw(t, "regions")
		s.fleet(regions*rapid.IntRange(4, 10).Draw(t, "perRegion"), regions)
		s.run(5 * time.Second)
		for range rapid.IntRange(1, 5).Draw(t, "faults") {
			s.fault(t)
		}
		worst = max(worst, s.until(3*time.Minute, s.agreed))
	})
	t.Logf("all agree at most %v after the last fault", worst)
}

func TestRegionCutKeepsMembersAndHealsQuietly(t *testing.T) {
	s := newSim(t, 11, DefaultConfig())
	s.fleet(90, 3)
	s.until(time.Minute, s.agreed)
	s.cut = apart(inRegion("r0"))
	s.run(10 * time.Minute)
	for _, n := range s.nodes {
		if n.index.live != 90 {
			t.Fatalf("%s in %s knows %d members", n.self.ID, n.self.Region, n.index.live)
		}
	}
	// Changes on both sides during the cut.
	for i := range 12 {
		s.nodes[i].up = i >= 6
		s.send(s.nodes[i], s.nodes[i].Leave(s.now))
	}
	s.run(2 * time.Minute)
	s.peak = 0
	s.cut = func(a, b *simNode) bool { return false }
	took := s.until(3*time.Minute, s.agreed)
	t.Logf("agreed %v after healing, at most %d bytes sent in a second", took, s.peak)
}

func TestDomainCutInsideRegionHeals(t *testing.T) {
	s := newSim(t, 12, DefaultConfig())
	s.fleet(60, 3)
	s.until(time.Minute, s.agreed)
	s.cut = apart(inDomain("r0-d0"))
	s.run(3 * time.Minute)
	lost := s.nodes[1].index.live
	s.cut = func(a, b *simNode) bool { return false }
	t.Logf("%d of 60 known during the cut, agreed %v after healing", lost, s.until(2*time.Minute, s.agreed))
}

func TestRegionRestartsWithNewMembers(t *testing.T) {
	s := newSim(t, 13, DefaultConfig())
	s.fleet(48, 3)
	s.until(time.Minute, s.agreed)
	for _, n := range s.nodes {
		n.up = n.self.Region != "r0"
	}
	s.run(time.Minute)
	for _, n := range s.nodes[:48] {
		if !n.up {
			s.startAt(n.self.GossipAddr, n.self.Region, n.self.Domain, n.self.Service, s.nodes[1].self.GossipAddr)
		}
	}
	t.Logf("agreed %v after the restart", s.until(3*time.Minute, s.agreed))
}

func TestPausedNodeDoubtsItselfFirst(t *testing.T) {
	s := newSim(t, 14, DefaultConfig())
	s.fleet(48, 3)
	s.until(time.Minute, s.agreed)
	n := s.nodes[0]
	for range 20 {
		n.paused = true
		s.run(12 * time.Second)
		s.resume(n)
		s.run(3 * time.Second)
	}
	for _, e := range n.Events() {
		if e.Kind == DeclaredDead {
			t.Errorf("paused node holds %s for dead", e.Member.ID)
		}
	}
	t.Logf("agreed %v after the last pause", s.until(time.Minute, s.agreed))
}

func TestIsolatedNodeKeepsOthers(t *testing.T) {
	s := newSim(t, 15, DefaultConfig())
	s.fleet(48, 3)
	s.until(time.Minute, s.agreed)
	n := s.nodes[0]
	s.cut = apart(func(m *simNode) bool { return m == n })
	s.run(40 * time.Second)
	if n.index.live != 48 {
		t.Errorf("isolated node knows %d of 48 members after 40 s", n.index.live)
	}
	if got := s.know(n, Dead); got != 47 {
		t.Errorf("%d of 47 nodes hold the isolated node for dead", got)
	}
	s.cut = func(a, b *simNode) bool { return false }
	t.Logf("agreed %v after healing", s.until(time.Minute, s.agreed))
}

func TestNoFalseDeathsUnderLoss(t *testing.T) {
	s := newSim(t, 16, DefaultConfig())
	s.fleet(48, 3)
	s.until(time.Minute, s.agreed)
	s.loss = 0.1
	s.run(10 * time.Minute)
	dead := 0
	for _, n := range s.nodes {
		for _, e := range n.Events() {
			if e.Kind == DeclaredDead {
				dead++
			}
		}
	}
	if dead > 0 {
		t.Errorf("%d declarations of death in 10 minutes at 10%% loss", dead)
	}
}

func TestStaleGossipDoesNotResurrect(t *testing.T) {
	s := newSim(t, 17, DefaultConfig())
	s.fleet(24, 3)
	s.until(time.Minute, s.agreed)
	n := s.nodes[5]
	stale := n.seal("", introduction(n.Table), s.now)
	s.nodes[5].up = false
	s.until(time.Minute, s.agreed)
	for _, m := range s.live() {
		if _, err := m.Handle("10.9.9.9:1", stale.Payload, s.now); err != nil {
			t.Fatal(err)
		}
	}
	if got := s.know(n, Alive); got != 0 {
		t.Errorf("%d nodes hold a dead member for alive", got)
	}
}

func TestNewProcessAtOldAddress(t *testing.T) {
	s := newSim(t, 18, DefaultConfig())
	s.fleet(24, 3)
	s.until(time.Minute, s.agreed)
	old := s.nodes[5]
	old.up = false
	s.startAt(old.self.GossipAddr, old.self.Region, old.self.Domain, old.self.Service, s.nodes[1].self.GossipAddr)
	took := s.until(time.Minute, s.agreed)
	t.Logf("old member replaced everywhere after %v", took)
	if took > 10*time.Second {
		t.Errorf("took %v", took)
	}
}

func TestLeaveUnderLoss(t *testing.T) {
	for _, size := range []int{24, 100, 400} {
		s := newSim(t, uint64(size)+100, DefaultConfig())
		s.fleet(size, 3)
		s.until(4*time.Minute, s.agreed)
		s.run(time.Minute)
		s.loss = 0.1
		var worst time.Duration
		for range 10 {
			n := s.live()[s.rng.IntN(len(s.live()))]
			s.send(n, n.Leave(s.now))
			worst = max(worst, s.until(30*time.Second, func() bool { return s.know(n, Leaving) == len(s.live()) }))
		}
		t.Logf("%d nodes, 10%% loss: leave known to all after at most %v", size, worst)
		if worst >= 2*time.Second {
			t.Errorf("leave took %v", worst)
		}
	}
}

// TestFailureDomainBurst lets one node learn of 2,300 deaths at once.
func TestFailureDomainBurst(t *testing.T) {
	const burst = 2300
	s := newSim(t, 19, DefaultConfig())
	s.fleet(48, 3)
	s.until(time.Minute, s.agreed)
	records := phantoms(burst)
	for _, n := range s.nodes {
		if err := n.applyAll(records, fromPage, s.now); err != nil {
			t.Fatal(err)
		}
	}
	for _, r := range records {
		dead := shortRecord(s.nodes[0].index.byID[r.Id], 0)
		dead.State = 4
		if err := s.nodes[0].apply(dead, fromGossip, s.now); err != nil {
			t.Fatal(err)
		}
	}
	n := s.nodes[7]
	s.run(5 * time.Second)
	s.send(n, n.Leave(s.now))
	leave := s.until(30*time.Second, func() bool { return s.know(n, Leaving) == 48 })
	took := s.until(20*time.Minute, s.agreed)
	t.Logf("%d deaths known to all after %v, at most %d bytes sent in a second, a leave among them after %v", burst, took, s.peak, leave)
	if leave >= 2*time.Second {
		t.Errorf("leave took %v", leave)
	}
}

func TestBytesPerSecond(t *testing.T) {
	for _, size := range []int{50, 100, 200, 400} {
		s := newSim(t, uint64(size), DefaultConfig())
		s.fleet(size, 3)
		joined := s.until(4*time.Minute, s.agreed)
		s.run(time.Minute)
		sent, received := s.bytes()
		cross := s.cross
		const seconds = 120
		for i := range seconds / 10 {
			n := s.live()[i]
			s.send(n, n.Leave(s.now))
			s.run(5 * time.Second)
			s.send(n, n.Stop(s.now))
			n.up = false
			s.startAt(n.self.GossipAddr, n.self.Region, n.self.Domain, n.self.Service, s.live()[20].self.GossipAddr)
			s.run(5 * time.Second)
		}
		sent2, received2 := s.bytes()
		per := float64(size * seconds)
		t.Logf("%d nodes: list complete %v after the last start; with a stop and a start each 10 s: %.0f B/s sent and %.0f B/s received by each node, at most %d in a second, %.0f B/s between all regions",
			size, joined, float64(sent2-sent)/per, float64(received2-received)/per, s.peak, float64(s.cross-cross)/seconds)
	}
}

// bytes returns the sums of bytes sent and received by all nodes.
func (s *sim) bytes() (sent, received uint64) {
	for _, n := range s.nodes {
		sent += n.Stats().BytesSent
		received += n.received
	}
	return sent, received
}

func phantomID(i int) string { return fmt.Sprintf("%016x", i) }

// TestStartThroughTheSameContacts starts nodes that all know the same three
// contacts, as settings and leased slots give them.
func TestStartThroughTheSameContacts(t *testing.T) {
	for _, n := range []int{50, 100, 200} {
		s := newSim(t, 11, DefaultConfig())
		s.fleet(3, 3)
		var contacts []string
		for _, c := range s.nodes {
			contacts = append(contacts, c.self.GossipAddr)
		}
		for i := 3; i < n; i++ {
			region := fmt.Sprintf("r%d", i%3)
			s.start(region, fmt.Sprintf("%s-d%d", region, i/3%2), fmt.Sprintf("svc%d", i/6%4), contacts...)
			s.run(simStep)
		}
		t.Logf("%d nodes agreed %v after the last start", n, s.until(3*time.Minute, s.agreed))
	}
}
