package spread

import (
	"math/rand/v2"
	"testing"
	"time"
)

// newContactSim returns a fleet whose slots are all held.
func newContactSim(t *testing.T, size int) *sim {
	s := newSim(t, uint64(size), DefaultConfig(), size, 3)
	s.store.used = true
	s.until(5*time.Minute, s.allSlotsHeld)
	return s
}

func (s *sim) allSlotsHeld() bool {
	for _, d := range []string{"r0-d0", "r0-d1", "r1-d0", "r1-d1", "r2-d0", "r2-d1"} {
		if len(s.holders(d)) != DefaultContactConfig().SlotsPerDomain {
			return false
		}
	}
	return true
}

func TestClaimsDoNotGrowWithTheFleet(t *testing.T) {
	for _, size := range []int{24, 96, 384} {
		s := newContactSim(t, size)
		s.run(time.Minute)
		start := s.store.claims
		s.holders("r1-d0")[0].up = false
		took := s.until(3*time.Minute, s.allSlotsHeld)
		s.run(time.Minute)
		claims := s.store.claims - start
		t.Logf("%d nodes: %d claims at the start, slot of a dead holder taken after %v with %d claims", size, start, took, claims)
		if claims > 8 {
			t.Errorf("%d claims", claims)
		}
	}
}

func TestPausedHolderStops(t *testing.T) {
	s := newContactSim(t, 24)
	n := s.holders("r0-d0")[0]
	idle := s.idle()
	n.paused, idle.paused = true, true
	s.run(2 * time.Minute)
	if got := len(s.holders("r0-d0")); got != 2 {
		t.Fatalf("%d holders while one is paused", got)
	}
	n.paused, idle.paused = false, false
	claims := s.store.claims
	s.run(200 * time.Millisecond)
	if n.contacts.Holding() != "" || n.watching {
		t.Error("woken holder goes on")
	}
	if s.store.claims != claims {
		t.Errorf("%d claims by woken nodes, which heard no heartbeat while paused", s.store.claims-claims)
	}
}

// idle returns a node of r0-d0 that holds no slot.
func (s *sim) idle() *simNode {
	for _, n := range s.nodes {
		if n.peer.Domain == "r0-d0" && n.contacts.Holding() == "" {
			return n
		}
	}
	return nil
}

func TestStoreOutage(t *testing.T) {
	s := newContactSim(t, 48)
	s.store.out = true
	s.run(time.Minute)
	claims := s.store.claims
	s.run(10 * time.Minute)
	perSecond := float64(s.store.claims-claims) / 600
	s.store.out = false
	t.Logf("%.2f claims/s during the outage, slots held again %v after it", perSecond, s.until(time.Minute, s.allSlotsHeld))
	if perSecond > 3 {
		t.Errorf("%.2f claims/s", perSecond)
	}
}

func TestLostClaimAnswersAndSilentHolder(t *testing.T) {
	s := newContactSim(t, 24)
	s.store.loseAnswers = true
	dead := s.holders("r0-d0")[0]
	dead.up = false
	s.run(2 * time.Minute)
	s.store.loseAnswers = false
	t.Logf("slot taken %v after claims are answered again", s.until(time.Minute, s.allSlotsHeld))

	// A holder that no longer reaches the store is followed by one that does.
	cut := s.holders("r1-d0")[0]
	cut.storeCut = true
	took := s.until(3*time.Minute, func() bool {
		return cut.contacts.Holding() == "" && len(s.holders("r1-d0")) == 2
	})
	t.Logf("holder without the store followed after %v", took)
	if cut.watching {
		t.Error("holder without the store still watches")
	}
}

func TestLeavingHolderIsFollowedAtOnce(t *testing.T) {
	s := newContactSim(t, 96)
	s.run(time.Minute)
	n := s.holders("r2-d1")[0]
	s.act(n, n.contacts.Leave(s.now))
	s.run(time.Second)
	n.up = false
	took := s.until(time.Minute, s.allSlotsHeld)
	t.Logf("slot of a leaving holder taken %v later", took)
	if took > DefaultContactConfig().SilenceTime/2 {
		t.Errorf("took %v", took)
	}
}

// TestAnswersAfterTheLeaseLapsed delivers answers of the store to a process that
// was paused for longer than the lease.
func TestAnswersAfterTheLeaseLapsed(t *testing.T) {
	now := time.Unix(1000, 0)
	cfg := DefaultContactConfig()
	newOne := func() *Contacts {
		rng := rand.New(rand.NewPCG(1, 1))
		self := Peer{ID: "a", Addr: "10.0.0.1:1", GossipAddr: "10.0.0.1:2", Domain: "d0"}
		return NewContacts(cfg, self, NewHeartbeats("d0", rng), rng, now)
	}
	claim := Claim{Slot: "contact/d0/0", OK: true, Lease: "l", Revision: 1, SentAt: now}
	late := newOne()
	actions := late.Claimed(claim, now.Add(cfg.LeaseTTL))
	if len(actions) != 1 || actions[0].Kind != ReleaseSlot || late.Holding() != "" {
		t.Errorf("late claim: %v, holds %q", actions, late.Holding())
	}
	holder := newOne()
	holder.Claimed(claim, now.Add(time.Second))
	renewal := Renewal{Slot: claim.Slot, Lease: "l", OK: true, SentAt: now.Add(time.Second)}
	actions = holder.Renewed(renewal, now.Add(cfg.LeaseTTL+2*time.Second))
	if len(actions) != 1 || actions[0].Kind != StopWatch || holder.Holding() != "" {
		t.Errorf("late renewal: %v, holds %q", actions, holder.Holding())
	}
}

func TestFirstContactsFromTheSlots(t *testing.T) {
	s := newContactSim(t, 24)
	n := s.start(0, 3)
	actions := n.contacts.Tick(s.now, View{Peers: 0, Domain: func() []string { return nil }})
	s.act(n, actions)
	if got := len(n.contacts.Known()); got != 12 {
		t.Errorf("%d contacts from %d slots", got, len(s.store.slots))
	}
	bad := []Slot{{"contact/r0-d0/0", []byte("garbage")}}
	n.contacts.SlotsRead(bad, nil, s.now)
	if len(n.contacts.Known()) != 0 {
		t.Error("malformed slot became a contact")
	}
	for range 5 {
		for _, a := range n.contacts.Tick(s.now.Add(time.Minute), View{}) {
			if a.Kind == ClaimSlot {
				t.Errorf("claims %s although slots are taken", a.Slot)
			}
		}
	}
}
