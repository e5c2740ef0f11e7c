package spread

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// maxHeartbeats limits the slots kept, against malformed peers.
const maxHeartbeats = 1024

// maxSlotBytes limits the key of a slot and the id of its holder.
const maxSlotBytes = 256

// sampleOthers is the number of slots of other failure domains told with each
// digest.
const sampleOthers = 2

// Heartbeats holds the newest heartbeat of the holder of each contact slot.
type Heartbeats struct {
	domain string
	rng    *rand.Rand
	bySlot map[string]*beat
	fresh  bool // a slot changed hands and the news is to be pushed
}

// beat is a heartbeat and when it came.
type beat struct {
	holder   string
	epoch    uint64
	sequence uint64
	revision uint64
	storeAge time.Duration // when it came
	released bool
	at       time.Time
}

// NewHeartbeats returns an empty set for a node of a failure domain.
func NewHeartbeats(domain string, rng *rand.Rand) *Heartbeats {
	return &Heartbeats{domain: domain, rng: rng, bySlot: map[string]*beat{}}
}

// StoreSeen returns the highest store revision that a contact told of and the
// shortest time since a contact saw the store answer; ok is false if no contact
// was heard of.
func (h *Heartbeats) StoreSeen(now time.Time) (revision uint64, age time.Duration, ok bool) {
	for _, b := range h.bySlot {
		revision = max(revision, b.revision)
		if !ok || b.age(now) < age {
			age = b.age(now)
		}
		ok = true
	}
	return revision, age, ok
}

// age returns the time since the holder saw the store answer.
func (b *beat) age(now time.Time) time.Duration { return b.storeAge + now.Sub(b.at) }

// newer reports whether b comes after old.
func (b *beat) newer(old *beat) bool {
	if old == nil || b.epoch != old.epoch {
		return old == nil || b.epoch > old.epoch
	}
	return b.sequence > old.sequence
}

// put takes over a heartbeat if it is newer.
func (h *Heartbeats) put(slot string, b *beat) {
	old := h.bySlot[slot]
	if !b.newer(old) || (old == nil && len(h.bySlot) >= maxHeartbeats) {
		return
	}
	if old == nil || b.epoch != old.epoch || b.released != old.released {
		h.fresh = true
	}
	h.bySlot[slot] = b
}

// merge takes over the heartbeats of a peer.
func (h *Heartbeats) merge(list []*wire.Heartbeat, now time.Time) {
	for _, m := range list {
		if m.Slot == "" || len(m.Slot) > maxSlotBytes || len(m.Holder) > maxSlotBytes {
			continue
		}
		h.put(m.Slot, &beat{
			holder:   m.Holder,
			epoch:    m.Epoch,
			sequence: m.Sequence,
			revision: m.Revision,
			storeAge: time.Duration(m.AgeMs) * time.Millisecond,
			released: m.Released,
			at:       now,
		})
	}
}

// sample returns the heartbeats of the own failure domain and a few others.
func (h *Heartbeats) sample(now time.Time) []*wire.Heartbeat {
	var own, others []string
	prefix := slotPrefix(h.domain)
	for _, slot := range sortedKeys(h.bySlot) {
		if strings.HasPrefix(slot, prefix) {
			own = append(own, slot)
		} else {
			others = append(others, slot)
		}
	}
	h.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var list []*wire.Heartbeat
	for _, slot := range append(own, others[:min(sampleOthers, len(others))]...) {
		list = append(list, h.bySlot[slot].toWire(slot, now))
	}
	return list
}

// toWire returns the message that carries b.
func (b *beat) toWire(slot string, now time.Time) *wire.Heartbeat {
	return &wire.Heartbeat{
		Slot:     slot,
		Holder:   b.holder,
		Epoch:    b.epoch,
		Sequence: b.sequence,
		Revision: b.revision,
		AgeMs:    uint32(min(b.age(now), maxAge) / time.Millisecond),
		Released: b.released,
	}
}

// maxAge is the longest time since the store answered that is told.
const maxAge = 24 * time.Hour
