package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"github.com/dogwoodhatch/dogwoodhatch/bytelimit"
)

const (
	simStep  = 20 * time.Millisecond
	simTicks = 5 // steps between two ticks of a node

	maxBytesPerSecond = 4096 // that a node may send in any second
)

// simNode is a table with its place in the simulated network.
type simNode struct {
	*Table
	up, paused bool
	inbox      []simPacket // received while paused
	received   uint64      // bytes
	sent       uint64      // bytes until the last full second
}

type simPacket struct {
	from, to string
	payload  []byte
}

// sim drives many tables through a network with loss, delay, duplicates and
// cuts, in steps of passed time.
type sim struct {
	t      rapid.TB
	rng    *rand.Rand
	now    time.Time
	step   int
	loss   float64
	dup    float64
	cut    func(a, b *simNode) bool
	nodes  []*simNode
	byAddr map[string]*simNode
	due    map[int][]simPacket
	cfg    Config
	starts int
	peak   uint64   // most bytes that a node sent in a second
	cross  uint64   // bytes between regions
	last   *simNode // the node that disagreed when last asked
}

func newSim(t rapid.TB, seed uint64, cfg Config) *sim {
	return &sim{
		t: t, cfg: cfg, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		cut: func(a, b *simNode) bool { return false }, byAddr: map[string]*simNode{}, due: map[int][]simPacket{},
	}
}

// start adds a node and joins it through the given contacts.
func (s *sim) start(region, domain, service string, contacts ...string) *simNode {
	s.starts++
	addr := fmt.Sprintf("10.%d.%d.%d:7000", s.starts>>16, s.starts>>8&255, s.starts&255)
	return s.startAt(addr, region, domain, service, contacts...)
}

func (s *sim) startAt(addr, region, domain, service string, contacts ...string) *simNode {
	self := Member{ID: fmt.Sprintf("%016x", s.rng.Uint64()), Addr: addr, GossipAddr: addr, Region: region, Domain: domain, Service: service}
	table, err := New(s.cfg, self, rand.New(rand.NewPCG(s.rng.Uint64(), 2)), s.now)
	if err != nil {
		s.t.Fatal(err)
	}
	n := &simNode{Table: table, up: true}
	s.nodes = append(s.nodes, n)
	s.byAddr[addr] = n
	s.send(n, n.Join(contacts, s.now))
	return n
}

// fleet starts n nodes in the given number of regions with two failure domains
// each and lets the list settle.
func (s *sim) fleet(n, regions int) {
	for i := range n {
		region := fmt.Sprintf("r%d", i%regions)
		var contacts []string
		for range min(len(s.nodes), 3) {
			contacts = append(contacts, s.nodes[s.rng.IntN(len(s.nodes))].self.GossipAddr)
		}
		s.start(region, fmt.Sprintf("%s-d%d", region, i/regions%2), fmt.Sprintf("svc%d", i/(2*regions)%4), contacts...)
		s.run(simStep)
	}
}

func (s *sim) send(n *simNode, packets []Packet) {
	for _, p := range packets {
		if len(p.Payload) > s.cfg.MaxPacketBytes {
			s.t.Fatalf("packet of %d bytes", len(p.Payload))
		}
		copies := 1
		if s.rng.Float64() < s.dup {
			copies = 2
		}
		for range copies {
			if s.rng.Float64() < s.loss {
				continue
			}
			if to := s.byAddr[p.To]; to != nil && to.self.Region != n.self.Region {
				s.cross += uint64(len(p.Payload) + bytelimit.DatagramOverhead)
			}
			at := s.step + 1 + s.rng.IntN(3)
			s.due[at] = append(s.due[at], simPacket{n.self.GossipAddr, p.To, p.Payload})
		}
	}
}

func (s *sim) deliver(p simPacket) {
	from, to := s.byAddr[p.from], s.byAddr[p.to]
	if to == nil || !to.up || s.cut(from, to) {
		return
	}
	if to.paused {
		to.inbox = append(to.inbox, p)
		return
	}
	to.received += uint64(len(p.payload) + bytelimit.DatagramOverhead)
	packets, err := to.Handle(p.from, p.payload, s.now)
	if err != nil {
		s.t.Fatal(err)
	}
	s.send(to, packets)
}

func (s *sim) exchange(n *simNode) {
	peer, payload, ok := n.ExchangeRequest(s.now)
	if !ok {
		return
	}
	to := s.byAddr[peer.Addr]
	if to == nil || !to.up || to.paused || s.cut(n, to) {
		n.ExchangeFailed(peer.ID, s.now)
		return
	}
	reply, err := to.Exchange(payload, s.now)
	if err != nil {
		s.t.Fatal(err)
	}
	to.received += uint64(len(payload) + bytelimit.ExchangeOverhead)
	n.received += uint64(len(reply) + bytelimit.ExchangeOverhead)
	if to.self.Region != n.self.Region {
		s.cross += uint64(len(payload) + len(reply) + 2*bytelimit.ExchangeOverhead)
	}
	if err := n.ExchangeReply(peer.ID, reply, s.now); err != nil {
		s.t.Fatal(err)
	}
}

// run passes time.
func (s *sim) run(d time.Duration) {
	for range int(d / simStep) {
		s.step++
		s.now = s.now.Add(simStep)
		for _, p := range s.due[s.step] {
			s.deliver(p)
		}
		delete(s.due, s.step)
		for i, n := range s.nodes {
			if n.up && !n.paused && (i+s.step)%simTicks == 0 {
				s.send(n, n.Tick(s.now))
				s.exchange(n)
			}
		}
		if s.step%int(time.Second/simStep) == 0 {
			s.checkBytes()
		}
	}
}

// checkBytes fails the test if a node sent too much in the last second.
func (s *sim) checkBytes() {
	for _, n := range s.nodes {
		total := n.Stats().BytesSent
		if total-n.sent > maxBytesPerSecond {
			s.t.Fatalf("%s sent %d bytes in a second", n.self.ID, total-n.sent)
		}
		s.peak = max(s.peak, total-n.sent)
		n.sent = total
	}
}

// until passes time until done, and returns how long it took.
func (s *sim) until(limit time.Duration, done func() bool) time.Duration {
	s.t.Helper()
	start := s.now
	for !done() {
		if s.now.Sub(start) >= limit {
			s.t.Fatalf("not reached within %v: %s", limit, s.disagreement())
		}
		s.run(5 * simStep)
	}
	return s.now.Sub(start)
}

func (s *sim) resume(n *simNode) {
	n.paused = false
	for _, p := range n.inbox {
		s.deliver(p)
	}
	n.inbox = nil
}

// live returns the nodes that run.
func (s *sim) live() []*simNode {
	var live []*simNode
	for _, n := range s.nodes {
		if n.up {
			live = append(live, n)
		}
	}
	return live
}

// agreed reports whether all live nodes know exactly the live nodes, in the
// state and with the service that each has itself.
func (s *sim) agreed() bool { return s.disagreement() == "" }

func (s *sim) disagreement() string {
	live := s.live()
	if s.last != nil && s.last.up {
		if text := disagrees(s.last, live); text != "" {
			return text
		}
	}
	for _, n := range live {
		if text := disagrees(n, live); text != "" {
			s.last = n
			return text
		}
	}
	return ""
}

// disagrees returns what n holds wrong.
func disagrees(n *simNode, live []*simNode) string {
	if n.index.live != len(live) {
		return fmt.Sprintf("%s knows %d live members of %d", n.self.ID, n.index.live, len(live))
	}
	for _, m := range live {
		e := n.index.byID[m.self.ID]
		if e == nil || e.Incarnation != m.self.Incarnation || e.Member != m.self.Member {
			return fmt.Sprintf("%s about %s: %v", n.self.ID, m.self.ID, e)
		}
	}
	return ""
}

// know counts the live nodes that hold n in the given state.
func (s *sim) know(n *simNode, state State) int {
	count := 0
	for _, other := range s.live() {
		if e := other.index.byID[n.self.ID]; e != nil && e.State == state {
			count++
		}
	}
	return count
}
