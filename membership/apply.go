package membership

import (
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// source is the way by which a record came.
type source uint8

const (
	fromGossip   source = iota // events that spread now
	fromExchange               // found by comparing with a peer
	fromPage                   // part of the list fetched at the start
)

// applyAll applies records and goes on after malformed ones.
func (t *Table) applyAll(records []*wire.MemberRecord, src source, now time.Time) error {
	var first error
	for _, r := range records {
		if err := t.apply(r, src, now); err != nil {
			t.stats.Malformed++
			if first == nil {
				first = err
			}
		}
	}
	return first
}

// apply takes over a record if it is newer than what is known.
func (t *Table) apply(r *wire.MemberRecord, src source, now time.Time) error {
	state := State(r.State)
	if state < Alive || state > Left {
		t.stats.Ignored++
		return nil
	}
	if r.Id == t.self.ID {
		t.applySelf(r, state, now)
		return nil
	}
	e := t.index.byID[r.Id]
	if state == Suspect {
		t.applySuspect(e, r, now)
		return nil
	}
	if e != nil && !supersedes(state, r.Incarnation, e) {
		t.queue.heard(r.Id, r.Incarnation, r.State)
		return nil
	}
	if state.gone() {
		return t.applyGone(e, r, state, src, now)
	}
	return t.applyLive(e, r, src, now)
}

// supersedes reports whether a record beats what is known: the higher
// incarnation wins, then the state further towards the end.
func supersedes(state State, incarnation uint64, e *entry) bool {
	if incarnation != e.Incarnation {
		return incarnation > e.Incarnation
	}
	return state > e.State
}

// applySelf refutes what others say about this node, if it is wrong.
func (t *Table) applySelf(r *wire.MemberRecord, state State, now time.Time) {
	wrong := state != t.self.State && r.Incarnation >= t.self.Incarnation
	if t.self.State == Left || (!wrong && r.Incarnation <= t.self.Incarnation) {
		return
	}
	if state == Suspect || state == Dead {
		t.raiseHealth(1)
	}
	t.changeSelf(r.Incarnation+1, now, func(*Member) {})
	t.log(SelfRefuted, t.self)
}

// applyLive takes over a full record of an alive or leaving member.
func (t *Table) applyLive(e *entry, r *wire.MemberRecord, src source, now time.Time) error {
	m, err := decodeMember(r)
	if err != nil {
		return err
	}
	kind := Joined
	if e == nil {
		e = &entry{Member: m, hash: idHash(m.ID)}
		t.index.add(e)
	} else {
		kind = changeKind(e, &m)
		t.index.change(e, func() { e.Member = m })
	}
	e.extra = unknownFields(r)
	e.since = now
	t.clearSuspicion(e)
	t.changed(e, kind, src, now)
	if e.GossipAddr == t.self.GossipAddr {
		t.declareDead(e, now) // this process has taken over its address
	}
	return nil
}

// changeKind tells what a newer record of a known member means.
func changeKind(e *entry, m *Member) EventKind {
	if m.State == Leaving && e.State != Leaving {
		return BeganLeaving
	}
	if e.State == Suspect || e.State.gone() {
		return Recovered
	}
	return Updated
}

// applyGone turns a member into a tombstone. A record of an unknown member is
// kept too, so that older news cannot add it.
func (t *Table) applyGone(e *entry, r *wire.MemberRecord, state State, src source, now time.Time) error {
	kind := DeclaredDead
	if state == Left {
		kind = DeclaredLeft
	}
	if e == nil {
		if len(r.Id) == 0 || len(r.Id) > maxNameBytes {
			return (&Member{ID: r.Id}).Validate()
		}
		e = &entry{Member: Member{ID: r.Id, State: state, Incarnation: r.Incarnation}, hash: idHash(r.Id), since: now}
		t.index.add(e)
		t.spreadNews(e, src, now)
		return nil
	}
	t.bury(e, state, r.Incarnation, now)
	t.changed(e, kind, src, now)
	return nil
}

// bury turns e into a tombstone.
func (t *Table) bury(e *entry, state State, incarnation uint64, now time.Time) {
	t.clearSuspicion(e)
	e.since = now
	t.index.change(e, func() {
		e.State = state
		e.Incarnation = incarnation
	})
}

// changed notes a change of e and spreads it.
func (t *Table) changed(e *entry, kind EventKind, src source, now time.Time) {
	t.version++
	t.log(kind, e)
	t.spreadNews(e, src, now)
}

// spreadNews passes on what was new here. The list fetched at the start is old
// news, and what comparing found is not urgent.
func (t *Table) spreadNews(e *entry, src source, now time.Time) {
	if src == fromPage {
		return
	}
	u := urgencyOf(e.State)
	if src == fromExchange {
		u = bulk
	}
	t.spread(e, u, now)
}

// unknownFields returns a copy of the fields of a newer version, or nil if
// there are none or too many.
func unknownFields(r *wire.MemberRecord) []byte {
	b := r.ProtoReflect().GetUnknown()
	if len(b) == 0 || len(b) > maxExtraBytes {
		return nil
	}
	return append([]byte(nil), b...)
}
