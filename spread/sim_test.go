package spread

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"
)

const (
	simStep  = 20 * time.Millisecond
	simTicks = 5 // steps between two ticks of a node

	windowSteps    = 500   // steps of a window of 10 s
	maxWindowBytes = 24000 // that a node may send in a window
)

// simNode is a spreader and its contacts with their place in the network.
type simNode struct {
	*Spreader
	contacts   *Contacts
	peer       Peer
	up, paused bool
	watching   bool
	storeCut   bool // the store cannot be reached from here
	sent       uint64
	revisions  map[string]uint64 // highest that Changes told
}

type simMessage struct {
	from, to string
	payload  []byte
}

// sim drives many nodes through a network with loss, delay, duplicates and
// cuts, with a small stand-in of the store.
type sim struct {
	t       rapid.TB
	rng     *rand.Rand
	now     time.Time
	step    int
	loss    float64
	cut     func(a, b *simNode) bool
	nodes   []*simNode
	byAddr  map[string]*simNode
	byID    map[string]*simNode
	regions map[string][]*simNode
	due     map[int][]simMessage
	cfg     Config
	store   simStore

	largeValues bool // exceed the byte budget by themselves
}

func newSim(t rapid.TB, seed uint64, cfg Config, size, regions int) *sim {
	s := &sim{
		t: t, cfg: cfg, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		cut:    func(a, b *simNode) bool { return false },
		byAddr: map[string]*simNode{}, byID: map[string]*simNode{},
		regions: map[string][]*simNode{}, due: map[int][]simMessage{},
		store: simStore{slots: map[string]*simSlot{}},
	}
	for i := range size {
		s.start(i, regions)
	}
	return s
}

// start adds node i of a fleet in regions of two failure domains each.
func (s *sim) start(i, regions int) *simNode {
	region := fmt.Sprintf("r%d", i%regions)
	addr := fmt.Sprintf("10.0.%d.%d:7000", len(s.nodes)>>8, len(s.nodes)&255)
	peer := Peer{
		ID: fmt.Sprintf("%016x", s.rng.Uint64()), Addr: addr, GossipAddr: addr,
		Region: region, Domain: fmt.Sprintf("%s-d%d", region, i/regions%2),
	}
	rng := rand.New(rand.NewPCG(s.rng.Uint64(), 2))
	spreader := New(s.cfg, peer, rng, s.now)
	n := &simNode{Spreader: spreader, peer: peer, up: true, revisions: map[string]uint64{}}
	n.contacts = NewContacts(DefaultContactConfig(), peer, spreader.Heartbeats(), rng, s.now)
	s.nodes = append(s.nodes, n)
	s.regions[region] = append(s.regions[region], n)
	s.byAddr[addr] = n
	s.byID[peer.ID] = n
	return n
}

// simPeers shows a node all others that are up, as the membership would.
type simPeers struct {
	s *sim
	n *simNode
}

func (p simPeers) Regions() []string { return sortedKeys(p.s.regions) }

func (p simPeers) Size(region string) int { return len(p.s.regions[region]) }

func (p simPeers) Pick(region string, n int) []Peer {
	var picked []Peer
	list := p.s.regions[region]
	for tries := 0; tries < 20 && len(picked) < n; tries++ {
		other := list[p.s.rng.IntN(len(list))]
		if other != p.n && other.up && !slices.Contains(picked, other.peer) {
			picked = append(picked, other.peer)
		}
	}
	return picked
}

func (p simPeers) Lookup(id string) (Peer, bool) {
	n := p.s.byID[id]
	if n == nil || !n.up {
		return Peer{}, false
	}
	return n.peer, true
}

func (s *sim) send(n *simNode, messages []Message) {
	for _, m := range messages {
		if len(m.Payload) > s.cfg.MaxPacketBytes {
			s.t.Fatalf("packet of %d bytes", len(m.Payload))
		}
		if s.rng.Float64() >= s.loss {
			at := s.step + 1 + s.rng.IntN(3)
			s.due[at] = append(s.due[at], simMessage{n.peer.GossipAddr, m.To, m.Payload})
		}
	}
}

func (s *sim) deliver(m simMessage) {
	from, to := s.byAddr[m.from], s.byAddr[m.to]
	if !to.up || to.paused || s.cut(from, to) {
		return
	}
	answers, err := to.Handle(m.from, m.payload, s.now)
	if err != nil {
		s.t.Fatal(err)
	}
	s.send(to, answers)
}

func (s *sim) syncNode(n *simNode) {
	peer, payload, ok := n.SyncRequest(s.now, simPeers{s, n})
	if !ok {
		return
	}
	to := s.byID[peer.ID]
	if !to.up || to.paused || s.cut(n, to) {
		n.SyncFailed(peer.ID, s.now)
		return
	}
	reply, err := to.Sync(payload, s.now)
	if err != nil {
		s.t.Fatal(err)
	}
	if err := n.SyncReply(peer.ID, reply, s.now); err != nil {
		s.t.Fatal(err)
	}
}

// run passes time. Contacts run only if the test uses the store.
func (s *sim) run(d time.Duration) {
	for range int(d / simStep) {
		s.step++
		s.now = s.now.Add(simStep)
		for _, m := range s.due[s.step] {
			s.deliver(m)
		}
		delete(s.due, s.step)
		s.store.expire(s.now)
		for i, n := range s.nodes {
			if n.up && !n.paused && (i+s.step)%simTicks == 0 {
				s.tick(n)
				s.checkRevisions(n)
			}
		}
		if s.step%windowSteps == 0 {
			s.checkBytes()
		}
	}
}

// checkBytes fails the test if a node sent too much in the last window.
func (s *sim) checkBytes() {
	for _, n := range s.nodes {
		total := n.Stats().BytesSent
		if total-n.sent > maxWindowBytes && !s.largeValues {
			s.t.Fatalf("%s sent %d bytes in 10 s", n.peer.ID, total-n.sent)
		}
		n.sent = total
	}
}

// checkRevisions fails the test if a revision fell.
func (s *sim) checkRevisions(n *simNode) {
	for _, r := range n.Changes() {
		if r.Revision <= n.revisions[r.Key] {
			s.t.Fatalf("%s: %s went from revision %d to %d", n.peer.ID, r.Key, n.revisions[r.Key], r.Revision)
		}
		n.revisions[r.Key] = r.Revision
	}
}

func (s *sim) tick(n *simNode) {
	if s.store.used {
		s.act(n, n.contacts.Tick(s.now, s.view(n)))
		if n.watching && !s.store.out && !n.storeCut {
			n.contacts.StoreSeen(s.store.revision, s.now)
			for _, r := range s.store.records {
				s.put(n, r)
			}
		}
	}
	s.send(n, n.Tick(s.now, simPeers{s, n}))
	s.syncNode(n)
}

func (s *sim) put(n *simNode, r Record) {
	if _, err := n.Put(r, s.now); err != nil {
		s.t.Fatal(err)
	}
}

// view shows n the nodes that are up.
func (s *sim) view(n *simNode) View {
	domain := func() []string {
		var ids []string
		for _, other := range s.regions[n.peer.Region] {
			if other.up && other.peer.Domain == n.peer.Domain {
				ids = append(ids, other.peer.ID)
			}
		}
		return ids
	}
	return View{Peers: len(s.nodes) - 1, Domain: domain}
}

// until passes time until done, and returns how long it took.
func (s *sim) until(limit time.Duration, done func() bool) time.Duration {
	s.t.Helper()
	start := s.now
	for !done() {
		if s.now.Sub(start) >= limit {
			s.t.Fatalf("not reached within %v", limit)
		}
		s.run(simStep)
	}
	return s.now.Sub(start)
}

// holds counts the running nodes that hold at least a revision of a key.
func (s *sim) holds(key string, revision uint64) int {
	count := 0
	for _, n := range s.nodes {
		if r, ok := n.Get(key); n.up && ok && r.Revision >= revision {
			count++
		}
	}
	return count
}

// simStore is the part of the store that contacts use.
type simStore struct {
	used, out   bool
	loseAnswers bool
	revision    uint64
	slots       map[string]*simSlot
	records     []Record
	claims      int
	reads       int
	renewals    int
}

type simSlot struct {
	value   []byte
	lease   string
	expires time.Time
}

var errOut = errors.New("store out")

func (st *simStore) expire(now time.Time) {
	for key, slot := range st.slots {
		if !now.Before(slot.expires) {
			delete(st.slots, key)
		}
	}
}

// write adds a record as an operator would.
func (st *simStore) write(key, value string) Record {
	st.revision++
	r := Record{Key: key, Revision: st.revision, Value: []byte(value)}
	st.records = append(st.records, r)
	return r
}

// act carries out the actions of a node.
func (s *sim) act(n *simNode, actions []Action) {
	st := &s.store
	var failed error
	if st.out || n.storeCut {
		failed = errOut
	}
	for _, a := range actions {
		switch a.Kind {
		case ReadSlots:
			st.reads++
			var slots []Slot
			for key, slot := range st.slots {
				slots = append(slots, Slot{key, slot.value})
			}
			n.contacts.SlotsRead(slots, failed, s.now)
		case ClaimSlot:
			st.claims++
			s.act(n, n.contacts.Claimed(s.claim(a, failed), s.now))
		case RenewSlot:
			st.renewals++
			s.act(n, n.contacts.Renewed(s.renew(a, failed), s.now))
		case ReleaseSlot:
			if slot := st.slots[a.Slot]; failed == nil && slot != nil && slot.lease == a.Lease {
				delete(st.slots, a.Slot)
			}
		case StartWatch:
			n.watching = true
		case StopWatch:
			n.watching = false
		}
	}
}

func (s *sim) claim(a Action, failed error) Claim {
	claim := Claim{Slot: a.Slot, SentAt: s.now, Err: failed}
	if failed != nil || s.store.slots[a.Slot] != nil {
		return claim
	}
	s.store.revision++
	lease := fmt.Sprint("lease", s.store.revision)
	s.store.slots[a.Slot] = &simSlot{value: a.Value, lease: lease, expires: s.now.Add(a.TTL)}
	if s.store.loseAnswers {
		claim.Err = errOut
		return claim
	}
	claim.OK, claim.Lease, claim.Revision = true, lease, s.store.revision
	return claim
}

func (s *sim) renew(a Action, failed error) Renewal {
	r := Renewal{Slot: a.Slot, Lease: a.Lease, SentAt: s.now, Err: failed}
	slot := s.store.slots[a.Slot]
	if failed == nil && slot != nil && slot.lease == a.Lease {
		slot.expires = s.now.Add(a.TTL)
		r.OK = true
	}
	return r
}

// holders returns the nodes that hold a slot of a failure domain.
func (s *sim) holders(domain string) []*simNode {
	var holders []*simNode
	for _, n := range s.nodes {
		if n.up && !n.paused && strings.HasPrefix(n.contacts.Holding(), slotPrefix(domain)) {
			holders = append(holders, n)
		}
	}
	return holders
}
