package spread

import (
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
	n.paused = true
	s.run(2 * time.Minute)
	if got := len(s.holders("r0-d0")); got != 2 {
		t.Fatalf("%d holders while one is paused", got)
	}
	n.paused = false
	s.run(200 * time.Millisecond)
	if n.contacts.Holding() != "" || n.watching {
		t.Error("woken holder goes on")
	}
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
