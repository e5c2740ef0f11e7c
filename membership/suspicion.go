package membership

import (
	"math"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// suspicion is the time in which a member can refute that it failed.
type suspicion struct {
	start time.Time
	by    map[uint32]struct{} // hashes of the nodes that suspect it
	asked time.Time           // when this node asked it for the last time
}

// selfHash names this node in confirmations.
func (t *Table) selfHash() uint32 { return uint32(t.self.hash) }

// suspect starts a suspicion after a failed probe. A leaving member keeps its
// state, since the news that it leaves matters more.
func (t *Table) suspect(e *entry, now time.Time) {
	if e.State.gone() {
		return
	}
	if e.suspicion != nil {
		t.confirm(e, t.selfHash(), now)
		return
	}
	t.startSuspicion(e, t.selfHash(), now)
}

// startSuspicion marks e as suspected by a node.
func (t *Table) startSuspicion(e *entry, by uint32, now time.Time) {
	e.suspicion = &suspicion{start: now, by: map[uint32]struct{}{by: {}}}
	t.suspects[e.ID] = e
	if e.State != Alive {
		return
	}
	t.index.change(e, func() { e.State = Suspect })
	e.suspector = by
	e.since = now
	t.version++
	t.log(Suspected, e)
	t.spread(e, bulk, now)
}

// applySuspect takes over the suspicion of another node of this region. One
// about a newer incarnation waits for the record of that incarnation.
func (t *Table) applySuspect(e *entry, r *wire.MemberRecord, now time.Time) {
	if e == nil || e.Region != t.self.Region || e.Incarnation != r.Incarnation {
		return
	}
	switch {
	case e.State == Alive:
		t.startSuspicion(e, r.Suspector, now)
	case e.State == Suspect:
		t.confirm(e, r.Suspector, now)
	}
}

// confirm counts a further node that suspects e and spreads the first few.
func (t *Table) confirm(e *entry, by uint32, now time.Time) {
	s := e.suspicion
	if s == nil || len(s.by) > t.cfg.Confirmations {
		return
	}
	if _, known := s.by[by]; known {
		return
	}
	s.by[by] = struct{}{}
	if e.State == Suspect {
		e.suspector = by
		t.spread(e, bulk, now)
	}
}

// clearSuspicion ends the suspicion of e.
func (t *Table) clearSuspicion(e *entry) {
	if e.suspicion == nil {
		return
	}
	e.suspicion = nil
	delete(t.suspects, e.ID)
}

// suspicionTime returns how long a suspect has to refute. It falls from the
// longest to the shortest time as other nodes confirm.
func (t *Table) suspicionTime(s *suspicion) time.Duration {
	size := float64(len(t.index.regions[t.self.Region]))
	shortest := float64(t.cfg.SuspicionMult) * math.Max(1, math.Log10(size)) * float64(t.cfg.ProbeInterval)
	longest := shortest * float64(t.cfg.SuspicionMaxMult)
	expected := math.Min(float64(t.cfg.Confirmations), math.Max(0, size-3))
	share := 1.0
	if expected > 0 {
		share = math.Log(float64(len(s.by))) / math.Log(expected+1)
	}
	wait := math.Max(shortest, longest-(longest-shortest)*share)
	return time.Duration(wait)
}

// expireSuspicions declares members dead that did not refute in time. While
// this node has reason to doubt its own link, it waits longer. Each suspect is
// asked once more, since this node may have missed the refutation; only when the
// byte budget is used up, as after the loss of a whole failure domain, it is not.
func (t *Table) expireSuspicions(now time.Time) []Packet {
	var packets []Packet
	mass := 2*len(t.suspects) > len(t.index.regions[t.self.Region])
	for _, e := range sortedEntries(t.suspects) {
		wait := t.suspicionTime(e.suspicion)
		if mass || t.lastHeard.Before(e.suspicion.start) {
			wait *= time.Duration(t.cfg.MassMult)
		}
		if now.Sub(e.suspicion.start) < wait {
			continue
		}
		if e.suspicion.asked.IsZero() && t.out.Room(now) > t.cfg.ReserveBytes {
			e.suspicion.asked = now
			packets = append(packets, t.ping(e, 0, now))
			continue
		}
		if now.Sub(e.suspicion.asked) >= t.cfg.ProbeInterval {
			t.declareDead(e, now)
		}
	}
	return packets
}

// declareDead buries a member of this region.
func (t *Table) declareDead(e *entry, now time.Time) {
	state, kind := Dead, DeclaredDead
	if e.State == Leaving {
		state, kind = Left, DeclaredLeft
	}
	t.bury(e, state, e.Incarnation, now)
	t.changed(e, kind, fromGossip, now)
}

// raiseHealth moves the local health score; higher is less healthy.
func (t *Table) raiseHealth(by int) {
	t.health = min(max(t.health+by, 0), t.cfg.MaxHealth)
}
