package store

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	platform "github.com/dogwoodhatch/dogwoodhatch/store"
)

func start(t *testing.T) (*Server, *platform.Client) {
	t.Helper()
	s := New(DefaultConfig())
	h := httptest.NewServer(s)
	opts := platform.DefaultOptions()
	opts.Timeout = 500 * time.Millisecond
	opts.WatchTimeout = 100 * time.Millisecond
	c := platform.NewClient(h.URL, opts)
	t.Cleanup(func() { h.CloseClientConnections(); h.Close() })
	return s, c
}

func wantKind(t *testing.T, what string, err error, want errs.Kind) {
	t.Helper()
	if err == nil || errs.KindOf(err) != want {
		t.Fatalf("%s: error %v, want kind %s", what, err, want)
	}
}

func TestCompareAndSwap(t *testing.T) {
	s, c := start(t)
	ctx := context.Background()
	_, err := c.Get(ctx, "a/b c")
	wantKind(t, "get of an absent key", err, errs.NotFound)
	first, err := c.CompareAndSwap(ctx, "a/b c", []byte("1"), 0, "")
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.CompareAndSwap(ctx, "a/b c", []byte("2"), 0, "")
	wantKind(t, "second create", err, errs.Conflict)
	second, err := c.CompareAndSwap(ctx, "a/b c", []byte("2"), first, "")
	if err != nil || second <= first {
		t.Fatalf("revision %d after %d: %v", second, first, err)
	}
	entries, revision, err := c.List(ctx, "a/")
	if err != nil || len(entries) != 1 || string(entries[0].Value) != "2" || revision != second {
		t.Fatalf("list %+v at %d: %v", entries, revision, err)
	}
	_, err = c.Delete(ctx, "a/b c", first)
	wantKind(t, "delete of an old revision", err, errs.Conflict)
	deleted, err := c.Delete(ctx, "a/b c", second)
	if err != nil {
		t.Fatal(err)
	}
	entries, revision, err = c.Watch(ctx, "a/", second)
	if err != nil || len(entries) != 1 || len(entries[0].Value) != 0 || revision != deleted {
		t.Fatalf("watch %+v at %d: %v", entries, revision, err)
	}
	if got := s.Counts(); got["cas"] != 3 || got["watch"] != 1 || got["get"] != 1 {
		t.Fatalf("counts %v", got)
	}
}

func TestWatchReturnsOnAChangeAndByItself(t *testing.T) {
	_, c := start(t)
	ctx := context.Background()
	entries, _, err := c.Watch(ctx, "a/", 0)
	if err != nil || len(entries) != 0 {
		t.Fatalf("entries %v: %v", entries, err)
	}
	got := make(chan []platform.Entry)
	go func() {
		entries, _, _ := c.Watch(ctx, "a/", 0)
		got <- entries
	}()
	if _, err := c.CompareAndSwap(ctx, "a/1", []byte("x"), 0, ""); err != nil {
		t.Fatal(err)
	}
	if entries := <-got; len(entries) != 1 {
		t.Fatalf("entries %v", entries)
	}
	if _, revision, err := c.Watch(ctx, "a/", 7); err != nil || revision != 1 {
		t.Fatalf("a store that lost its state says revision %d: %v", revision, err)
	}
}

func TestLeasesLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		lease := m.grant(10 * time.Second)
		if _, err := m.swap("slot", []byte("x"), 0, lease); err != nil {
			t.Fatal(err)
		}
		time.Sleep(9 * time.Second)
		if err := m.renew(lease); err != nil {
			t.Fatal(err)
		}
		time.Sleep(9 * time.Second)
		if _, err := m.get("slot"); err != nil {
			t.Fatalf("a renewed lease lapsed: %v", err)
		}
		time.Sleep(2 * time.Second)
		_, err := m.get("slot")
		wantKind(t, "get after the lease", err, errs.NotFound)
		wantKind(t, "renew after the lease", m.renew(lease), errs.NotFound)
		_, err = m.swap("slot", []byte("x"), 0, lease)
		wantKind(t, "write under a lapsed lease", err, errs.NotFound)
	})
}

func TestLeaseOverHTTP(t *testing.T) {
	_, c := start(t)
	ctx := context.Background()
	lease, err := c.Grant(ctx, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.CompareAndSwap(ctx, "slot", []byte("x"), 0, lease); err != nil {
		t.Fatal(err)
	}
	if err := c.Renew(ctx, lease); err != nil {
		t.Fatal(err)
	}
	if err := c.Revoke(ctx, lease); err != nil {
		t.Fatal(err)
	}
	_, err = c.Get(ctx, "slot")
	wantKind(t, "get after the lease", err, errs.NotFound)
	wantKind(t, "renew after the lease", c.Renew(ctx, lease), errs.NotFound)
}

func TestFaults(t *testing.T) {
	s, c := start(t)
	ctx := context.Background()
	write := func(key string) error {
		_, err := c.CompareAndSwap(ctx, key, []byte("x"), 0, "")
		return err
	}
	exists := func(key string) bool {
		s.SetFaults(Faults{})
		_, err := c.Get(ctx, key)
		return err == nil
	}
	for _, f := range []struct {
		name   string
		faults Faults
		kind   errs.Kind
		exists bool
	}{
		{"down", Faults{Down: true}, errs.Unavailable, false},
		{"silent", Faults{Silent: true}, errs.Unknown, false},
		{"lost-request", Faults{LoseRequests: 1}, errs.Unknown, false},
		{"lost-answer", Faults{LoseAnswers: 1}, errs.Unknown, true},
	} {
		s.SetFaults(f.faults)
		wantKind(t, f.name, write(f.name), f.kind)
		if got := exists(f.name); got != f.exists {
			t.Fatalf("%s: key exists %t, want %t", f.name, got, f.exists)
		}
	}
	s.SetFaults(Faults{SlowMS: 1000})
	wantKind(t, "slow write", write("slow"), errs.Unknown)
	s.SetFaults(Faults{})
	for !exists("slow") { // lands after its caller has given up
		time.Sleep(5 * time.Millisecond)
	}
	s.SetFaults(Faults{LoseWatch: true})
	_, _, err := c.Watch(ctx, "", 0)
	wantKind(t, "lost watch", err, errs.Unavailable)
}

func TestRateLimit(t *testing.T) {
	s, c := start(t)
	s.writes.SetBurst(1)
	s.writes.SetLimit(0.001)
	ctx := context.Background()
	if _, err := c.CompareAndSwap(ctx, "a", []byte("x"), 0, ""); err != nil {
		t.Fatal(err)
	}
	_, err := c.CompareAndSwap(ctx, "b", []byte("x"), 0, "")
	wantKind(t, "write beyond the rate", err, errs.Unavailable)
	if _, err := c.Get(ctx, "a"); err != nil {
		t.Fatal(err)
	}
}

func TestClosedStoreIsUnavailable(t *testing.T) {
	c := platform.NewClient("http://127.0.0.1:1", platform.DefaultOptions())
	_, err := c.CompareAndSwap(context.Background(), "a", []byte("x"), 0, "")
	wantKind(t, "write without a store", err, errs.Unavailable)
}
