package profile

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// delivery is one record on its way to a book.
type delivery struct {
	key      string
	revision uint64
	record   *Record
	value    []byte
}

// drawHistory returns what a store held over time: bindings need the revision
// that their profile had when they were published.
func drawHistory(t *rapid.T) []delivery {
	names := []string{"calm", "storm", "sale"}
	latest := make(map[string]uint64)
	var history []delivery
	for i := range rapid.IntRange(1, 30).Draw(t, "changes") {
		revision := uint64(i + 1)
		name := rapid.SampledFrom(names).Draw(t, "profile")
		r := &Record{Kind: KindProfile, Name: name, Body: fmt.Sprintf("[default]\ndeadline = %ds\n", i+1)}
		if latest[name] > 0 && rapid.Bool().Draw(t, "bind") {
			r = &Record{Kind: KindService, Name: rapid.SampledFrom([]string{"tejas", "archivo"}).Draw(t, "service"), Profile: name, Needs: latest[name]}
		} else {
			latest[name] = revision
		}
		value, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		history = append(history, delivery{r.Kind.Key(r.Name), revision, r, value})
	}
	return history
}

// drawDeliveries returns the history in any order, with repeats, losses and
// malformed copies.
func drawDeliveries(t *rapid.T, history []delivery) []delivery {
	out := rapid.SliceOfN(rapid.SampledFrom(history), 0, 60).Draw(t, "deliveries")
	for i := range out {
		if rapid.IntRange(0, 9).Draw(t, "malformed") == 0 {
			out[i].value = out[i].value[:len(out[i].value)/2]
		}
	}
	return out
}

// checkInForce compares what is in force with the binding that put it there.
func checkInForce(t *rapid.T, b *Catalog, history []delivery, before map[string]Binding) {
	for _, now := range b.Snapshot().Bindings() {
		was := before[now.Service]
		if now.BoundAt < was.BoundAt {
			t.Fatalf("binding of %s fell from %d to %d", now.Service, was.BoundAt, now.BoundAt)
		}
		if now.Profile == was.Profile && now.Revision < was.Revision {
			t.Fatalf("profile of %s fell from %d to %d", now.Service, was.Revision, now.Revision)
		}
		before[now.Service] = now
		p, revision, ok := b.Snapshot().ForService(now.Service)
		if !ok {
			continue
		}
		binding := history[now.BoundAt-1].record
		if revision < binding.Needs || p.Name != binding.Profile {
			t.Fatalf("%s runs %s at %d, its binding needs %s at %d", now.Service, p.Name, revision, binding.Profile, binding.Needs)
		}
		if want := history[revision-1].record.Body; want != fmt.Sprintf("[default]\ndeadline = %s\n", p.Default.Deadline) {
			t.Fatalf("revision %d has deadline %s, want %s", revision, p.Default.Deadline, want)
		}
	}
}

func TestRevisionsInForceNeverFall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := drawHistory(t)
		b := NewCatalog()
		before := make(map[string]Binding)
		for _, d := range drawDeliveries(t, history) {
			_, _ = b.Apply(d.key, d.revision, d.value)
			checkInForce(t, b, history, before)
		}
		// The naive version: the highest revision of each key wins.
		latest := make(map[string]delivery)
		naive := NewCatalog()
		for _, d := range history {
			latest[d.key] = d
			_, _ = naive.Apply(d.key, d.revision, d.value)
		}
		for _, d := range latest {
			_, _ = b.Apply(d.key, d.revision, d.value)
			checkInForce(t, b, history, before)
		}
		for _, d := range latest {
			if d.record.Kind != KindService {
				continue
			}
			p, revision, ok := b.Snapshot().ForService(d.record.Name)
			if want := latest[KindProfile.Key(d.record.Profile)].revision; !ok || p.Name != d.record.Profile || revision != want {
				t.Fatalf("%s runs %s at %d, want %s at %d", d.record.Name, p.Name, revision, d.record.Profile, want)
			}
		}
		if b.Sum() != naive.Sum() || b.Highest() != uint64(len(history)) {
			t.Fatal("books with the same records differ")
		}
	})
}

func TestABrokenCopyIsReplaced(t *testing.T) {
	r := &Record{Kind: KindProfile, Name: "calm", Body: "[default]\nretries = 1\n", Previous: "x", Owners: []string{"ann"}, History: make([]Change, 9)}
	value, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	const key = "profiles/calm"
	whole, broken := NewCatalog(), NewCatalog()
	_, _ = whole.Apply(key, 3, value)
	_, _ = broken.Apply(key, 3, value[:20])
	if whole.Sum() == broken.Sum() {
		t.Fatal("the digest does not tell a broken copy from a whole one")
	}
	h, _ := whole.Held(key)
	bad, _ := broken.Held(key)
	if whole.Wants(bad.Version) || !broken.Wants(h.Version) {
		t.Fatal("only the node with the broken copy wants the other")
	}
	_, _ = broken.Apply(key, h.Revision, h.Value)
	if whole.Sum() != broken.Sum() || broken.Wants(h.Version) || len(h.Value) >= len(value)/2 {
		t.Fatalf("copies differ after the exchange of %d bytes for %d", len(h.Value), len(value))
	}
}

func apply(t *testing.T, b *Catalog, revision uint64, r *Record) Applied {
	t.Helper()
	value, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	applied, _ := b.Apply(r.Kind.Key(r.Name), revision, value)
	return applied
}

func TestDeletionsAndMalformedRecords(t *testing.T) {
	b := NewCatalog()
	apply(t, b, 1, &Record{Kind: KindProfile, Name: "calm", Body: "[default]\nretries = 1\n"})
	if got := apply(t, b, 2, &Record{Kind: KindService, Name: "tejas", Profile: "calm", Needs: 1}); got != InForce {
		t.Fatalf("binding is %s", got)
	}
	if got := apply(t, b, 3, &Record{Kind: KindProfile, Name: "calm", Body: "[default]\nretries = many\n"}); got != Malformed {
		t.Fatalf("malformed profile is %s", got)
	}
	if p, revision, _ := b.Snapshot().ForService("tejas"); revision != 1 || p.Default.Retries != 1 {
		t.Fatalf("revision %d in force, want the last good one", revision)
	}
	if got := apply(t, b, 3, &Record{Kind: KindProfile, Name: "calm", Body: "[default]\nretries = 3\n"}); got != Stored {
		t.Fatalf("a whole copy of a broken record is %s", got)
	}
	_, _ = b.Apply("profiles/calm", 4, nil)
	if _, revision, ok := b.Snapshot().ForService("tejas"); !ok || revision != 3 {
		t.Fatalf("a deleted profile left the service with revision %d", revision)
	}
	apply(t, b, 5, &Record{Kind: KindService, Name: "tejas", Deleted: true})
	if p, _, ok := b.Snapshot().ForService("tejas"); ok || p.Name != "built-in" {
		t.Fatalf("an unbound service runs %s", p.Name)
	}
	if got := apply(t, b, 2, &Record{Kind: KindService, Name: "tejas", Profile: "calm", Needs: 1}); got != Stale {
		t.Fatalf("a binding from before the deletion is %s", got)
	}
	if held, ok := b.Held("profiles/calm"); !ok || held.Revision != 4 || len(b.All()) != 2 || len(b.Bucket(bucketOf("profiles/calm"))) == 0 {
		t.Fatalf("held %+v", held)
	}
}
