package membership

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

var epoch = time.Unix(1000, 0)

func TestMemberEncodeDecodeRoundTrip(t *testing.T) {
	m := Member{ID: "vm1-1", Ended: BackendStart{Instance: "i-1", Born: 1000}, Addr: "10.0.0.1:7003", Region: "r", Domain: "d", Service: "rates", Slots: 30, State: Alive, Revision: 7}
	got, err := Decode(Key("vm1"), m.Encode(), 7)
	if err != nil || got != m {
		t.Fatalf("%+v, %v", got, err)
	}
	for name, bad := range map[string]Member{
		"no id":      {Addr: "10.0.0.1:7003"},
		"no address": {ID: "x"},
		"host name":  {ID: "x", Addr: "vm1:7003"},
		"long name":  {ID: "x", Addr: "10.0.0.1:7003", Service: string(make([]byte, maxNameBytes+1))},
	} {
		if m, err := Decode(Key("vm1"), bad.Encode(), 1); errs.KindOf(err) != errs.Invalid {
			t.Errorf("%s: %+v, %v", name, m, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("x"))
	f.Add((&Member{ID: "a", Addr: "10.0.0.1:1"}).Encode())
	f.Fuzz(func(t *testing.T, value []byte) {
		m, err := Decode(Key("a"), value, 1)
		if (m.ID == "") == (err == nil) {
			t.Fatalf("%+v, %v", m, err)
		}
	})
}

func TestLapsedMembersAreKeptForRetention(t *testing.T) {
	f := NewFleet(DefaultConfig())
	if !f.Put("k", Member{ID: "a", State: Alive}) {
		t.Error("Put of the first record did not report a join")
	}
	version := f.Version()
	f.Remove("k", epoch)
	if all := f.All(); len(all) != 1 || all[0].State != Lapsed || f.Version() == version {
		t.Fatalf("members after Remove: %+v, want one lapsed member and a new version", all)
	}
	if gone := f.Expire(epoch.Add(DefaultConfig().LapsedRetention - 1)); gone != nil {
		t.Errorf("gone before the retention has passed: %v", gone)
	}
	if !f.Put("k", Member{ID: "a", State: Alive}) {
		t.Error("Put of a lapsed member did not report a join")
	}
	f.Remove("k", epoch)
	if _, again := f.Remove("k", epoch); again {
		t.Error("a member lapsed twice")
	}
	if gone := f.Expire(epoch.Add(DefaultConfig().LapsedRetention)); len(gone) != 1 || len(f.All()) != 0 {
		t.Errorf("gone: %v, left: %v", gone, f.All())
	}
}

// TestEachRegionHasConfiguredWatchers checks that ranks are unique within a region,
// that exactly PerRegion nodes watch while the store answers, and that every node
// watches once the state is too old.
func TestEachRegionHasConfiguredWatchers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Member
		for i := range rapid.IntRange(1, 40).Draw(t, "nodes") {
			all = append(all, Member{ID: fmt.Sprint("n", i), Region: fmt.Sprint("r", i%3), State: Alive})
		}
		cfg := DefaultWatchConfig()
		watching := map[string]int{}
		ranks := map[string]bool{}
		for _, m := range all {
			rank := Rank(all, m.Region, m.ID)
			if key := fmt.Sprint(m.Region, rank); ranks[key] {
				t.Fatalf("two nodes have rank %s", key)
			} else {
				ranks[key] = true
			}
			if cfg.ShouldWatch(rank, epoch, epoch) {
				watching[m.Region]++
			}
			if !cfg.ShouldWatch(rank, epoch, epoch.Add(cfg.StaleAfter+time.Duration(rank+1)*cfg.RankDelay)) {
				t.Fatalf("rank %d does not watch although its state is stale", rank)
			}
		}
		for region, n := range watching {
			if n != cfg.PerRegion {
				t.Fatalf("%d nodes of %s watch, want PerRegion", n, region)
			}
		}
	})
}

// fakeStore is a store with one key and leases. Its calls and answers can be lost.
type fakeStore struct {
	value        []byte
	revision     uint64
	lastRevision uint64
	lease        int // ID of the lease that the key was last written under
	leases       map[int]bool
	lastLease    int
}

func (s *fakeStore) revoke() {
	s.leases = map[int]bool{}
	if s.value != nil {
		s.value = nil
		s.lastRevision++
	}
}

var (
	errUnavailable = errs.New(errs.Unavailable, "", "down")
	errAnswerLost  = errs.New(errs.Unknown, "", "lost")
)

// call executes a step. applied says whether the step takes effect, answered whether
// the answer arrives.
func (s *fakeStore) call(r *Registration, step Step, applied, answered bool, now time.Time) {
	lease, record, expect := r.WriteParams()
	var id int
	fmt.Sscan(lease, &id)
	fail := errUnavailable
	if applied && !answered {
		fail = errAnswerLost
	}
	switch step {
	case Grant:
		if applied {
			s.lastLease++
			s.leases[s.lastLease] = true
		}
		r.GrantDone(fmt.Sprint(s.lastLease), errIfAnswered(answered, nil, fail), now, now)
	case Write:
		var err error
		current := s.revision
		if s.value == nil {
			current = 0
		}
		switch {
		case !applied:
			err = fail
		case current != expect:
			err = errs.New(errs.Conflict, "", "conflict")
		case !s.leases[id]:
			err = errs.New(errs.NotFound, "", "no lease")
		default:
			s.lastRevision++
			s.value, s.revision, s.lease = bytes.Clone(record), s.lastRevision, id
		}
		r.WriteDone(record, s.revision, errIfAnswered(answered, err, fail), now)
	case Read:
		var err error
		if s.value == nil {
			err = errs.New(errs.NotFound, "", "absent")
		}
		r.ReadDone(s.revision, errIfAnswered(applied && answered, err, errUnavailable), now)
	case Renew:
		var err error
		if !s.leases[id] {
			err = errs.New(errs.NotFound, "", "ended")
		}
		r.RenewDone(errIfAnswered(applied && answered, err, fail), now, now)
	}
}

func errIfAnswered(ok bool, err, fail error) error {
	if ok {
		return err
	}
	return fail
}

// TestRecordIsRestoredAfterStoreFailures loses calls and answers at random and revokes
// leases without notice. Two seconds after the store works again, it must hold the
// wanted record under a live lease.
func TestRecordIsRestoredAfterStoreFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fakeStore{leases: map[int]bool{}}
		if rapid.Bool().Draw(t, "record of an earlier process") {
			s.lastRevision, s.revision, s.value = 5, 5, []byte("before")
		}
		r := NewRegistration(DefaultRegistrationConfig(), rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))))
		now := epoch
		run := func(d time.Duration, drawEffect func() (applied, answered bool)) {
			for end := now.Add(d); now.Before(end); {
				step, wait := r.Next(now)
				if step == Wait {
					now = now.Add(max(min(wait, end.Sub(now)), time.Millisecond))
					continue
				}
				applied, answered := drawEffect()
				s.call(r, step, applied, answered, now)
				now = now.Add(5 * time.Millisecond)
			}
		}
		for i := range rapid.IntRange(1, 5).Draw(t, "failures") {
			r.SetRecord(fmt.Appendf(nil, "record %d", i))
			run(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms"))*time.Millisecond, func() (bool, bool) {
				return rapid.Bool().Draw(t, "done"), rapid.Bool().Draw(t, "answered")
			})
			if rapid.Bool().Draw(t, "revoked") {
				s.revoke()
			}
		}
		run(2*time.Second, func() (bool, bool) { return true, true })
		_, want, _ := r.WriteParams()
		if !bytes.Equal(s.value, want) || !s.leases[s.lease] {
			t.Fatalf("the store holds %q (lease is live: %t), want %q under a live lease", s.value, s.leases[s.lease], want)
		}
		if !r.Registered() || r.Failing() {
			t.Fatalf("registered %t, failing %t", r.Registered(), r.Failing())
		}
	})
}

// TestOutageProbesWithRenewals ends the lease of a node while the store answers nothing for
// eight seconds. The node must find out with renewals, the cheapest calls, whether the
// store is back, and register again at once when it is.
func TestOutageProbesWithRenewals(t *testing.T) {
	s := &fakeStore{leases: map[int]bool{}}
	r := NewRegistration(DefaultRegistrationConfig(), rand.New(rand.NewPCG(1, 2)))
	r.SetRecord([]byte("x"))
	now := epoch
	run := func(d time.Duration, answered bool) map[Step]int {
		calls := map[Step]int{}
		for end := now.Add(d); now.Before(end); {
			step, wait := r.Next(now)
			if step == Wait {
				now = now.Add(min(wait, end.Sub(now)))
				continue
			}
			calls[step]++
			s.call(r, step, answered, answered, now)
			now = now.Add(5 * time.Millisecond)
		}
		return calls
	}
	run(time.Second, true)
	s.revoke()
	r.ObserveChange(s.lastRevision, true, false)
	calls := run(8*time.Second, false)
	if calls[Grant] > 1 || calls[Renew] == 0 {
		t.Errorf("calls during the outage: %v, want renewals and at most one grant", calls)
	}
	if run(2*time.Second, true); !r.Registered() || s.value == nil {
		t.Errorf("registered %t, record %q two seconds after the outage", r.Registered(), s.value)
	}
}

// TestOutageWakesFewWatchers counts the nodes of a region that call a store which answers
// nobody. A fleet of 195 nodes in three regions must make at most 30 calls a second on
// average during an outage of eight seconds, with a call each half second of each node.
func TestOutageWakesFewWatchers(t *testing.T) {
	const (
		regions, nodes = 3, 65
		outage         = 8 * time.Second
		retry          = 500 * time.Millisecond
		maxPerSecond   = 30
	)
	cfg := DefaultWatchConfig()
	calls := 0
	for rank := range nodes {
		for at := time.Duration(0); at < outage; at += retry {
			if cfg.ShouldWatch(rank, epoch, epoch.Add(at)) {
				calls += regions
			}
		}
	}
	if perSecond := float64(calls) / outage.Seconds(); perSecond > maxPerSecond {
		t.Errorf("%.0f calls a second, want at most %d", perSecond, maxPerSecond)
	}
}

func TestOutageBoundsCallRate(t *testing.T) {
	r := NewRegistration(DefaultRegistrationConfig(), rand.New(rand.NewPCG(1, 2)))
	r.SetRecord([]byte("x"))
	now, calls := epoch, 0
	for end := now.Add(10 * time.Second); now.Before(end); {
		step, wait := r.Next(now)
		if step == Wait {
			now = now.Add(wait)
			continue
		}
		calls++
		r.GrantDone("", errors.Join(errUnavailable), now, now)
	}
	if calls > 25 {
		t.Errorf("%d calls in an outage of 10 s", calls)
	}
}

// TestWatchersAreTheFirstInRank compares Watchers with Rank.
func TestWatchersAreTheFirstInRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Member
		for i := range rapid.IntRange(0, 30).Draw(t, "nodes") {
			all = append(all, Member{ID: fmt.Sprint("n", i), Region: fmt.Sprint("r", i%3), State: rapid.SampledFrom([]State{Alive, Lapsed}).Draw(t, "state")})
		}
		cfg := DefaultWatchConfig()
		cfg.PerRegion = rapid.IntRange(1, 4).Draw(t, "per region")
		want := map[string]bool{}
		for _, m := range all {
			if m.Region == "r1" && m.State == Alive && Rank(all, m.Region, m.ID) < cfg.PerRegion {
				want[m.ID] = true
			}
		}
		got := cfg.Watchers(all, "r1")
		for _, m := range got {
			if !want[m.ID] {
				t.Fatalf("%s is not among the first %d", m.ID, cfg.PerRegion)
			}
		}
		if len(got) != len(want) {
			t.Fatalf("%d watchers, want %d", len(got), len(want))
		}
	})
}

// TestComparisonsStayInTheRegion checks that state is compared across regions only when
// nobody is known to hear from the store, or when the region has no other member.
func TestComparisonsStayInTheRegion(t *testing.T) {
	cfg := DefaultWatchConfig()
	var all []Member
	for i := range 30 {
		all = append(all, Member{ID: fmt.Sprint("n", i), Region: fmt.Sprint("r", i%3), State: Alive})
	}
	regions := func(members []Member, self, region string, age time.Duration) map[string]bool {
		seen := map[string]bool{}
		for round := range 2 {
			for _, m := range cfg.SyncPartners(members, self, region, round, age) {
				if m.ID == self {
					t.Errorf("the node is its own partner")
				}
				seen[m.Region] = true
			}
		}
		return seen
	}
	if got := regions(all, "n0", "r0", time.Second); len(got) != 1 || !got["r0"] {
		t.Errorf("fresh state: partners in %v, want only r0", got)
	}
	if got := regions(all, "n0", "r0", cfg.StaleAfter+time.Millisecond); len(got) != 3 {
		t.Errorf("stale state: partners in %v, want all regions", got)
	}
	if got := regions(append(all, Member{ID: "alone", Region: "r9", State: Alive}), "alone", "r9", time.Second); len(got) != 3 {
		t.Errorf("the only member of its region: partners in %v, want the other regions", got)
	}
}
