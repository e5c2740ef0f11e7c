package execution

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"
)

// clusterModel is a set of members with their claims. A member that leaves loses
// its claims.
type clusterModel struct {
	now          time.Time
	nextID       int
	members      map[string]*modelMember
	requireProof bool // require HolderSince of one holder, as target nodes and callers do
}

type modelMember struct {
	claims *Claims
	views  *ViewHistory
}

const holdersPerKey = 2

func (m *clusterModel) names() []string {
	var names []string
	for name := range m.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (m *clusterModel) observeViews() {
	names := m.names()
	for _, member := range m.members {
		member.views.Observe(names, m.now)
	}
}

func (m *clusterModel) join() {
	name := fmt.Sprintf("m%d", m.nextID)
	m.nextID++
	m.members[name] = &modelMember{
		claims: NewClaims(DefaultClaimsConfig(), time.Time{}),
		views:  NewViewHistory(name, holdersPerKey, time.Second),
	}
	m.observeViews()
}

func (m *clusterModel) leave(name string) {
	delete(m.members, name)
	m.observeViews()
}

// submit claims the key at all holders and reports whether it may be executed.
func (m *clusterModel) submit(key string, minted time.Time) bool {
	id := uuid.New()
	granted := len(m.members) > 0
	proved := false
	for _, name := range Holders(key, m.names(), holdersPerKey) {
		member := m.members[name]
		ok, _ := member.claims.Claim("s", key, id, minted, m.now)
		granted = granted && ok
		proved = proved || member.views.HolderSince(key, minted)
	}
	return granted && (proved || !m.requireProof)
}

// maxRunsPerKey draws a random sequence of joins, leaves and submissions, and
// returns the maximum number of executions of a key.
func (m *clusterModel) maxRunsPerKey(t *rapid.T) int {
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

func newClusterModel(requireProof bool) *clusterModel {
	return &clusterModel{now: time.Unix(1000, 0), members: map[string]*modelMember{}, requireProof: requireProof}
}

func TestNoKeyRunsTwiceUnderMembershipChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if n := newClusterModel(true).maxRunsPerKey(t); n > 1 {
			t.Fatalf("a key ran %d times", n)
		}
	})
}

// TestStableHoldersGrantNewKeys guards against a proof that refuses every key: it
// checks that stable holders grant new keys, and that some are granted after one
// member has left.
func TestStableHoldersGrantNewKeys(t *testing.T) {
	m := newClusterModel(true)
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
		t.Fatal("no key was granted after one member left")
	}
}
