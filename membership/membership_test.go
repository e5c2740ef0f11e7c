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

var start = time.Unix(1000, 0)

func TestRecordsSurviveTheStore(t *testing.T) {
	m := Member{ID: "vm1-1", Ended: BackendStart{Instance: "i-1", Born: 1000}, Addr: "10.0.0.1:7003", Region: "r", Domain: "d", Service: "rates", Slots: 30, State: Alive, Revision: 7}
	got, err := Decode(Key("vm1"), m.Encode(), 7)
	if err != nil || got != m {
		t.Fatalf("%+v, %v", got, err)
	}
	for name, bad := range map[string]Member{
		"no id":      {Addr: "10.0.0.1:7003"},
		"no address": {ID: "x"},
		"a host":     {ID: "x", Addr: "vm1:7003"},
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

func TestLapsedMembersAreKeptForAWhile(t *testing.T) {
	f := NewFleet(DefaultConfig())
	if !f.Put("k", Member{ID: "a", State: Alive}) {
		t.Error("the first record is no news")
	}
	version := f.Version()
	f.Remove("k", start)
	if all := f.All(); len(all) != 1 || all[0].State != Lapsed || f.Version() == version {
		t.Fatalf("after the lapse: %+v", all)
	}
	if gone := f.Expire(start.Add(DefaultConfig().LapsedKeep - 1)); gone != nil {
		t.Errorf("gone early: %v", gone)
	}
	if !f.Put("k", Member{ID: "a", State: Alive}) {
		t.Error("the return of a member is no news")
	}
	f.Remove("k", start)
	if _, again := f.Remove("k", start); again {
		t.Error("a member lapsed twice")
	}
	if gone := f.Expire(start.Add(DefaultConfig().LapsedKeep)); len(gone) != 1 || len(f.All()) != 0 {
		t.Errorf("gone: %v, left: %v", gone, f.All())
	}
}

// TestEachRegionHasItsWatchers ranks the nodes of a region: all agree, and exactly
// as many watch as are to.
func TestEachRegionHasItsWatchers(t *testing.T) {
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
			if cfg.ShouldWatch(rank, start, start) {
				watching[m.Region]++
			}
			if !cfg.ShouldWatch(rank, start, start.Add(cfg.Patience+time.Duration(rank+1)*cfg.Step)) {
				t.Fatalf("rank %d does not watch without news", rank)
			}
		}
		for region, n := range watching {
			if n != cfg.PerRegion {
				t.Fatalf("%d nodes of %s watch", n, region)
			}
		}
	})
}

// fakeStore is one key with leases; calls can be lost or refused.
type fakeStore struct {
	value    []byte
	revision uint64
	next     uint64
	lease    int // that the key was written under
	leases   map[int]bool
	granted  int
}

func (s *fakeStore) revoke() {
	s.leases = map[int]bool{}
	if s.value != nil {
		s.value = nil
		s.next++
	}
}

var (
	errDown = errs.New(errs.Unavailable, "", "down")
	errLost = errs.New(errs.Unknown, "", "lost")
)

// call carries out a step; done says whether it takes effect, answered whether the
// answer arrives.
func (s *fakeStore) call(r *Registration, step Step, done, answered bool, now time.Time) {
	lease, record, expect := r.WriteParams()
	var id int
	fmt.Sscan(lease, &id)
	fail := errDown
	if done && !answered {
		fail = errLost
	}
	switch step {
	case Grant:
		if done {
			s.granted++
			s.leases[s.granted] = true
		}
		r.GrantDone(fmt.Sprint(s.granted), pick(answered, nil, fail), now, now)
	case Write:
		var err error
		current := s.revision
		if s.value == nil {
			current = 0
		}
		switch {
		case !done:
			err = fail
		case current != expect:
			err = errs.New(errs.Conflict, "", "conflict")
		case !s.leases[id]:
			err = errs.New(errs.NotFound, "", "no lease")
		default:
			s.next++
			s.value, s.revision, s.lease = bytes.Clone(record), s.next, id
		}
		r.WriteDone(record, s.revision, pick(answered, err, fail), now)
	case Read:
		var err error
		if s.value == nil {
			err = errs.New(errs.NotFound, "", "absent")
		}
		r.ReadDone(s.revision, pick(done && answered, err, errDown), now)
	case Renew:
		var err error
		if !s.leases[id] {
			err = errs.New(errs.NotFound, "", "ended")
		}
		r.RenewDone(pick(done && answered, err, fail), now, now)
	}
}

func pick(ok bool, err, fail error) error {
	if ok {
		return err
	}
	return fail
}

// TestTheRecordComesBack lets calls fail in any way and leases be revoked without
// telling. Two seconds after the store works again it holds the wanted record.
func TestTheRecordComesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fakeStore{leases: map[int]bool{}}
		if rapid.Bool().Draw(t, "a record of the process before") {
			s.next, s.revision, s.value = 5, 5, []byte("before")
		}
		r := NewRegistration(DefaultRegistrationConfig(), rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))))
		now := start
		run := func(d time.Duration, works func() (done, answered bool)) {
			for end := now.Add(d); now.Before(end); {
				step, wait := r.Next(now)
				if step == Wait {
					now = now.Add(max(min(wait, end.Sub(now)), time.Millisecond))
					continue
				}
				done, answered := works()
				s.call(r, step, done, answered, now)
				now = now.Add(5 * time.Millisecond)
			}
		}
		for i := range rapid.IntRange(1, 5).Draw(t, "troubles") {
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
			t.Fatalf("the store holds %q under a live lease %t, want %q", s.value, s.leases[s.lease], want)
		}
		if !r.Registered() || r.Failing() {
			t.Fatalf("registered %t, failing %t", r.Registered(), r.Failing())
		}
	})
}

func TestAnOutageIsNoHerd(t *testing.T) {
	r := NewRegistration(DefaultRegistrationConfig(), rand.New(rand.NewPCG(1, 2)))
	r.SetRecord([]byte("x"))
	now, calls := start, 0
	for end := now.Add(10 * time.Second); now.Before(end); {
		step, wait := r.Next(now)
		if step == Wait {
			now = now.Add(wait)
			continue
		}
		calls++
		r.GrantDone("", errors.Join(errDown), now, now)
	}
	if calls > 25 {
		t.Errorf("%d calls in an outage of 10 s", calls)
	}
}
