package headbudget

import (
	"math/rand/v2"
	"sync"
	"testing"
)

func isGranted(c *Claim) bool {
	select {
	case <-c.Granted:
		return true
	default:
		return false
	}
}

// Guards against accounts that together exceed the budget, and against units that are lost: many
// goroutines claim and release, some giving up at once.
func TestUseNeverExceedsTheLimit(t *testing.T) {
	const limit = 1 << 12
	b := New(limit)
	var wg sync.WaitGroup
	for i := range 64 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(i), 1))
			a := b.Account()
			for range 500 {
				units := rng.Int64N(limit / 4)
				c := a.Claim(units)
				if rng.IntN(3) == 0 {
					if !c.Abandon() {
						continue
					}
				} else {
					<-c.Granted
				}
				if s := b.Status(); s.Used > s.Limit {
					t.Errorf("%d of %d in use", s.Used, s.Limit)
				}
				a.Release(units)
			}
		})
	}
	wg.Wait()
	if s := b.Status(); s.Used != 0 || s.Waiting != 0 {
		t.Errorf("%d in use and %d waiting after all have ended", s.Used, s.Waiting)
	}
}

// Guards against a client that takes the whole budget, and one that holds up others while it waits
// for its own units.
func TestAccountGetsItsShareOnly(t *testing.T) {
	b := New(800)
	greedy, other := b.Account(), b.Account()
	if !isGranted(other.Claim(1)) || !isGranted(greedy.Claim(60)) || !isGranted(greedy.Claim(40)) {
		t.Fatal("the share is not granted")
	}
	more := greedy.Claim(1)
	if isGranted(more) {
		t.Error("an account got more than its share")
	}
	if !isGranted(b.Account().Claim(699)) {
		t.Error("a claim waits behind one that waits for its share")
	}
	greedy.Release(60)
	if !isGranted(more) {
		t.Error("the share is not granted again after a release")
	}
}

// Guards against a head inside the limits that is refused although nothing else is held.
func TestClaimAboveTheLimitIsGrantedAlone(t *testing.T) {
	b := New(100)
	large, other := b.Account(), b.Account()
	if !isGranted(other.Claim(1)) {
		t.Fatal("a small claim is not granted")
	}
	c := large.Claim(1000)
	if isGranted(c) {
		t.Error("a claim above the limit is granted beside others")
	}
	if isGranted(b.Account().Claim(1)) {
		t.Error("a claim overtakes a large one that waits")
	}
	other.Release(1)
	if !isGranted(c) {
		t.Error("a claim above the limit is not granted alone")
	}
}

// Guards against a head that cannot grow although nothing else is held.
func TestAccountThatIsAloneHoldsAnyNumber(t *testing.T) {
	b := New(100)
	a, other := b.Account(), b.Account()
	if !isGranted(a.Claim(80)) || !isGranted(a.Claim(160)) {
		t.Error("an account that is alone cannot hold more")
	}
	a.Release(200)
	if !isGranted(other.Claim(10)) {
		t.Fatal("room is not granted")
	}
	more := a.Claim(20)
	if isGranted(more) {
		t.Error("an account beside another holds more than its share")
	}
	other.Release(10)
	if !isGranted(more) {
		t.Error("an account that is alone again cannot hold more")
	}
}

// Guards against claims that wait behind one that was given up.
func TestAbandonedClaimLetsOthersPass(t *testing.T) {
	b := New(100)
	if !isGranted(b.Account().Claim(50)) {
		t.Fatal("half of the budget is not granted")
	}
	large, small := b.Account().Claim(80), b.Account().Claim(20)
	if large.Abandon() || !isGranted(small) {
		t.Error("a claim waits behind one that was given up")
	}
	if !small.Abandon() {
		t.Error("a granted claim was given up")
	}
	if s := b.Status(); s.Used != 70 || s.Refused != 1 {
		t.Errorf("unexpected status %+v", s)
	}
}

// Guards against a charge for the heads of ordinary clients, which must never wait.
func TestOrdinaryHeadsAreFree(t *testing.T) {
	if c := Cost(1500, 25); c != 0 {
		t.Errorf("a head of 1,500 bytes in 25 lines costs %d", c)
	}
	if c := Cost(16<<10, 2<<10); c < 16<<10 {
		t.Errorf("a head of 16 KB in 2,048 lines costs %d", c)
	}
}
