package execution

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"
)

// holderModel is a set of members with their claims; members that leave lose
// everything they held.
type holderModel struct {
	now     time.Time
	next    int
	members map[string]*holderMember
	proof   bool // ask for the proof, as the real protocol does
}

type holderMember struct {
	claims *Claims
	views  *ViewHistory
}

const testHolders = 2

func (m *holderModel) names() []string {
	var names []string
	for name := range m.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (m *holderModel) changed() {
	names := m.names()
	for _, member := range m.members {
		member.views.Observe(names, m.now)
	}
}

func (m *holderModel) join() {
	name := fmt.Sprintf("m%d", m.next)
	m.next++
	m.members[name] = &holderMember{
		claims: NewClaims(DefaultClaimsConfig(), time.Time{}),
		views:  NewViewHistory(name, testHolders, time.Second),
	}
	m.changed()
}

func (m *holderModel) leave(name string) {
	delete(m.members, name)
	m.changed()
}

// submit claims the key at all holders and tells whether it may run.
func (m *holderModel) submit(key string, minted time.Time) bool {
	id := uuid.New()
	granted := len(m.members) > 0
	proved := false
	for _, name := range Holders(key, m.names(), testHolders) {
		member := m.members[name]
		ok, _ := member.claims.Claim("s", key, id, minted, m.now)
		granted = granted && ok
		proved = proved || member.views.HolderSince(key, minted)
	}
	return granted && (proved || !m.proof)
}

// run plays a random history and returns the largest number of runs of a key.
func (m *holderModel) run(t *rapid.T) int {
	minted := map[string]time.Time{}
	runs := map[string]int{}
	most := 0
	steps := rapid.IntRange(5, 60).Draw(t, "steps")
	for range steps {
		m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		switch rapid.IntRange(0, 4).Draw(t, "step") {
		case 0:
			m.join()
		case 1:
			if names := m.names(); len(names) > 0 {
				m.leave(rapid.SampledFrom(names).Draw(t, "leaving"))
			}
		default:
			key := fmt.Sprintf("k%d", rapid.IntRange(0, 5).Draw(t, "key"))
			if minted[key].IsZero() {
				minted[key] = m.now
			}
			if m.submit(key, minted[key]) {
				runs[key]++
				most = max(most, runs[key])
			}
		}
	}
	return most
}

func newHolderModel(proof bool) *holderModel {
	return &holderModel{now: time.Unix(1000, 0), members: map[string]*holderMember{}, proof: proof}
}

func TestNoKeyRunsTwiceWhateverMembersComeAndGo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if n := newHolderModel(true).run(t); n > 1 {
			t.Fatalf("a key ran %d times", n)
		}
	})
}

// TestStableHoldersGrantNewKeys keeps the proof from refusing everything.
func TestStableHoldersGrantNewKeys(t *testing.T) {
	m := newHolderModel(true)
	for range 3 {
		m.join()
	}
	m.now = m.now.Add(2 * time.Second)
	for i := range 50 {
		if !m.submit(fmt.Sprint(i), m.now) {
			t.Fatalf("key %d was refused", i)
		}
	}
	m.leave(m.names()[0])
	granted := 0
	for i := range 50 {
		if m.submit(fmt.Sprint("new", i), m.now.Add(-500*time.Millisecond)) {
			granted++
		}
	}
	if granted == 0 {
		t.Fatal("no key was granted after one loss")
	}
}
