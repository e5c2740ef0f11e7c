package bodybudget

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"
)

const testLimit = 1 << 20

// Guards against bodies that together exceed the budget, and against room that is lost:
// many goroutines take and return room, some giving up at random moments.
func TestUseNeverExceedsTheLimit(t *testing.T) {
	b := New(testLimit)
	var wg sync.WaitGroup
	for i := range 64 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for j := range 200 {
				bytes := int64(1+(i*7919+j*104729)%200) << 10
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(j%5)*time.Millisecond)
				var err error
				if j%3 == 0 {
					err = b.AcquireBuffered(ctx, bytes, bytes/2)
				} else {
					err = b.Acquire(ctx, bytes)
				}
				cancel()
				if s := b.Status(); s.Used > s.Limit {
					t.Errorf("%d bytes in use, the limit is %d", s.Used, s.Limit)
				}
				if err == nil {
					b.Release(bytes)
				}
			}
		}()
	}
	wg.Wait()
	if s := b.Status(); s.Used != 0 || s.Waiting != 0 || b.buffered != 0 {
		t.Errorf("%d bytes in use, %d waiting, %d buffered, after all have ended", s.Used, s.Waiting, b.buffered)
	}
}

// Guards against small bodies that wait behind large ones.
func TestSmallBodiesDoNotWaitBehindLargeOnes(t *testing.T) {
	b := New(testLimit)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if err := b.Acquire(ctx, b.largeLimit()); err != nil {
		t.Fatal(err)
	}
	if err := b.Acquire(ctx, 1); !errors.Is(err, ErrNoRoom) {
		t.Errorf("large bodies take the room of small ones: %v", err)
	}
	if !b.TryAcquire(1 << 10) {
		t.Error("a small body gets no room while large ones use their part")
	}
}

// Guards against a body that waits forever because it never fits, and against memory for
// received parts of bodies that wait.
func TestBodiesThatCannotWaitAreRefusedAtOnce(t *testing.T) {
	b := New(testLimit)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := b.Acquire(ctx, testLimit); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a body of the whole budget: %v", err)
	}
	if err := b.Acquire(ctx, b.largeLimit()); err != nil {
		t.Fatal(err)
	}
	if err := b.AcquireBuffered(ctx, testLimit/4, testLimit/4); !errors.Is(err, ErrNoRoom) {
		t.Errorf("a body whose received part exceeds the share of those that wait: %v", err)
	}
	if n := b.Status().Refused; n != 2 {
		t.Errorf("%d refused bodies are counted, want 2", n)
	}
}

// Guards against a body inside the limits that is refused although nothing else is held, and against huge
// bodies that take the room of others or each other.
func TestOneHugeBodyIsHeldBesides(t *testing.T) {
	const huge = 4 * testLimit
	b := NewWithHuge(testLimit, huge)
	short, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if err := b.Acquire(short, huge); err != nil {
		t.Fatalf("a huge body alone: %v", err)
	}
	if err := b.Acquire(short, huge+1); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a body above the bound of huge ones: %v", err)
	}
	if err := b.Acquire(short, b.largeLimit()); err != nil {
		t.Errorf("a large body beside a huge one: %v", err)
	}
	if err := b.Acquire(short, huge); !errors.Is(err, ErrNoRoom) {
		t.Errorf("a huge body beside another: %v", err)
	}
	waiting := make(chan error)
	go func() { waiting <- b.Acquire(context.Background(), testLimit) }()
	for b.Status().Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	b.Release(b.largeLimit())
	if err := b.Acquire(context.Background(), b.largeLimit()); err != nil {
		t.Errorf("a large body while a huge one waits: %v", err)
	}
	b.Release(huge)
	if err := <-waiting; err != nil {
		t.Errorf("a huge body after another has ended: %v", err)
	}
	b.Release(testLimit)
	b.Release(b.largeLimit())
	if s := b.Status(); s.Used != 0 || b.hugeUsed {
		t.Errorf("%+v after all have ended", s)
	}
	if grown := b.Ceiling(testLimit, huge); grown != huge {
		t.Errorf("a body that grows to %d takes %d", testLimit, grown)
	}
}

// Guards against a large body that never gets room because smaller ones overtake it.
func TestRoomIsGivenInOrder(t *testing.T) {
	b := New(testLimit)
	if err := b.Acquire(context.Background(), b.largeLimit()); err != nil {
		t.Fatal(err)
	}
	order := make(chan int, 2)
	for i, bytes := range []int64{b.largeLimit(), 1} {
		go func() {
			if err := b.Acquire(context.Background(), bytes); err == nil {
				order <- i
				b.Release(bytes)
			}
		}()
		for b.Status().Waiting != i+1 {
			time.Sleep(time.Millisecond)
		}
	}
	b.Release(b.largeLimit())
	if first := <-order; first != 0 {
		t.Error("a later, smaller body overtook an earlier one")
	}
}
