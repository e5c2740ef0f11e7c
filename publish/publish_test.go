package publish

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/platform/kv"
	"github.com/dogwoodhatch/dogwoodhatch/platform/kv/standin"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/store"
)

// word is what an operator was told in the end.
type word struct {
	ref      ChangeRef
	verdict  Verdict // NotApplied also for an error
	revision uint64
}

// operators act on one store and remember what they were told.
type operators struct {
	t     *rapid.T
	store *flakyStore
	p     *Publisher
	words []word
	texts map[uuid.UUID]string // of the profiles that were to be published
	all   map[uuid.UUID]bool   // every change that an operator asked for
}

func newOperators(t *rapid.T, history int) *operators {
	f := &flakyStore{t: t, entries: make(map[string]store.Entry)}
	cfg := Config{Attempts: 2, HistoryLength: history}
	o := &operators{t: t, store: f, texts: make(map[uuid.UUID]string), all: make(map[uuid.UUID]bool)}
	o.p = New(f, cfg, func() time.Time { return time.Unix(0, 0) })
	f.other = o.act
	return o
}

// act makes one drawn operation with a base that is current or not.
func (o *operators) act() {
	kind := profile.KindProfile
	name := rapid.SampledFrom([]string{"calm", "storm"}).Draw(o.t, "profile")
	op := rapid.SampledFrom([]string{"put", "put", "delete", "bind", "bind", "undo", "resolve"}).Draw(o.t, "operation")
	target := name
	if op == "bind" {
		kind, target = profile.KindService, "tejas"
	}
	req := Request{ID: uuid.New(), Author: "ann", Name: target, Base: o.store.entries[kind.Key(target)].Revision}
	req.Create = rapid.IntRange(0, 3).Draw(o.t, "create") == 0
	if rapid.IntRange(0, 5).Draw(o.t, "stale") == 0 && req.Base > 0 {
		req.Base--
	}
	o.all[req.ID] = true
	ctx := context.Background()
	var out Outcome
	var err error
	switch op {
	case "put":
		o.texts[req.ID] = fmt.Sprintf("[default]\ndeadline = %ds\n", len(o.texts)+1)
		out, err = o.p.PutProfile(ctx, req, []byte(o.texts[req.ID]))
	case "delete":
		out, err = o.p.DeleteProfile(ctx, req)
	case "bind":
		out, err = o.p.BindService(ctx, req, name)
	case "undo":
		out, err = o.p.UndoProfile(ctx, req)
	case "resolve":
		o.resolve(rapid.Bool().Draw(o.t, "settle"))
		return
	}
	ref := ChangeRef{ID: req.ID, Key: kind.Key(target), Base: req.Base}
	if req.Create || rapid.Bool().Draw(o.t, "told") {
		ref = out.Change // a client that lost the answer knows only its own reference
	}
	o.hear(ref, out, err)
}

func (o *operators) hear(ref ChangeRef, out Outcome, err error) {
	if err != nil {
		out = Outcome{Verdict: NotApplied}
	}
	o.words = append(o.words, word{ref, out.Verdict, out.Revision})
}

// resolve asks again about every change that is not known, once for each.
func (o *operators) resolve(settle bool) {
	open := make(map[ChangeRef]bool)
	for _, w := range o.words {
		open[w.ref] = w.verdict == NotKnown
	}
	for _, w := range o.words {
		if !open[w.ref] {
			continue
		}
		open[w.ref] = false
		out, err := o.p.Resolve(context.Background(), w.ref, "ann", settle)
		if err == nil {
			o.hear(w.ref, out, nil)
		}
	}
}

// checkWords compares every final word with what the store has seen.
func (o *operators) checkWords() {
	revisions := make(map[uuid.UUID]uint64)
	for _, v := range o.store.log {
		revisions[v.Record.Change.ID] = v.Revision
	}
	for _, w := range o.words {
		at, applied := revisions[w.ref.ID]
		switch w.verdict {
		case Accepted:
			if !applied || at != w.revision {
				o.t.Fatalf("%s was accepted at %d, the store has it at %d", w.ref, w.revision, at)
			}
		case Conflict, NotApplied:
			if applied {
				o.t.Fatalf("%s was reported as %s, the store has it at %d", w.ref, w.verdict, at)
			}
		}
	}
}

// checkLog replays the store: only operators' changes alter what is in force,
// each as it was asked for, and no service is bound to a deleted profile.
func (o *operators) checkLog() {
	state := make(map[string]*profile.Record)
	for _, v := range o.store.log {
		r := v.Record
		key := r.Kind.Key(r.Name)
		was := state[key]
		if was == nil {
			was = &profile.Record{Deleted: true}
		}
		same := r.Body == was.Body && r.Deleted == was.Deleted && r.Profile == was.Profile && r.Needs == was.Needs
		if !o.all[r.Change.ID] && !same {
			o.t.Fatalf("revision %d altered %s, and no operator asked for it", v.Revision, key)
		}
		if text, ok := o.texts[r.Change.ID]; ok && r.Body != text {
			o.t.Fatalf("revision %d holds %q, want %q", v.Revision, r.Body, text)
		}
		state[key] = r
		if b := state["services/tejas"]; b != nil && !b.Deleted && state["profiles/"+b.Profile].Deleted {
			o.t.Fatalf("revision %d leaves tejas bound to the deleted profile %s", v.Revision, b.Profile)
		}
	}
}

func TestEveryFinalWordIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := rapid.SampledFrom([]int{4, 1000}).Draw(t, "history")
		o := newOperators(t, history)
		for range rapid.IntRange(1, 12).Draw(t, "operations") {
			o.act()
		}
		o.store.calm = true
		told := len(o.words)
		o.resolve(true)
		for _, w := range o.words[told:] {
			if w.verdict == NotKnown && history == 1000 {
				t.Fatalf("%s is not known though the store is well", w.ref)
			}
		}
		o.store.landAll()
		o.checkWords()
		o.checkLog()
	})
}

func TestBindAndDeleteRaceAtEveryCall(t *testing.T) {
	ctx := context.Background()
	for at := 1; at <= 8; at++ {
		for _, deleteFirst := range []bool{false, true} {
			o := newOperators(nil, 1000)
			o.store.calm = true
			put, err := o.p.PutProfile(ctx, request("ann", "calm", 0), []byte(text))
			if err != nil {
				t.Fatal(err)
			}
			remove := func() bool {
				out, err := o.p.DeleteProfile(ctx, request("ann", "calm", put.Revision))
				return err == nil && out.Verdict == Accepted
			}
			bind := func() bool {
				out, err := o.p.BindService(ctx, request("ann", "tejas", 0), "calm")
				return err == nil && out.Verdict == Accepted
			}
			first, second := bind, remove
			if deleteFirst {
				first, second = remove, bind
			}
			both := false
			o.store.breakAt = o.store.calls + at
			o.store.other = func() { both = second() }
			if both = first() && both; both {
				t.Errorf("delete first %t, other at call %d: both were accepted", deleteFirst, at)
			}
		}
	}
}

// server returns a publisher to a stand-in store over HTTP.
func server(t *testing.T, cfg Config) (*standin.Endpoint, *Publisher) {
	t.Helper()
	s := standin.New(standin.DefaultConfig()).NewEndpoint()
	h := httptest.NewServer(s)
	t.Cleanup(func() { h.CloseClientConnections(); h.Close() })
	opts := kv.DefaultOptions()
	opts.Timeout = 400 * time.Millisecond
	cfg.Backoff = time.Millisecond
	return s, New(kv.NewClient(h.URL, opts), cfg, time.Now)
}

func request(author, name string, base uint64) Request {
	return Request{ID: uuid.New(), Author: author, Name: name, Base: base, Create: base == 0}
}

// firstRevision is that of the first write to the stand-in of the store.
const firstRevision = 2

const text = "[default]\nretries = 1\n"

func TestLostAnswersOverHTTP(t *testing.T) {
	s, p := server(t, DefaultConfig())
	ctx := context.Background()
	s.SetFaults(standin.Faults{LoseAnswers: 1})
	out, err := p.PutProfile(ctx, request("ann", "calm", 0), []byte("[profile]\nowners = ann, bob\n"))
	if err != nil || out.Verdict != Accepted || out.Revision != firstRevision {
		t.Fatalf("lost answer: %+v, %v", out, err)
	}
	out, err = p.PutProfile(ctx, request("bob", "calm", 0), []byte(text))
	if err != nil || out.Verdict != Conflict || out.Current.Change.Author != "ann" || out.Revision != firstRevision {
		t.Fatalf("second create: %+v, %v", out, err)
	}
	s.SetFaults(standin.Faults{Down: true})
	if _, err = p.PutProfile(ctx, request("ann", "calm", firstRevision), []byte(text)); errs.KindOf(err) != errs.Unavailable {
		t.Fatalf("outage: %v", err)
	}
}

func TestChangeThatArrivesLateIsNotCalledLost(t *testing.T) {
	for _, settle := range []bool{false, true} {
		s, p := server(t, Config{Attempts: 1, HistoryLength: 8})
		ctx := context.Background()
		req := request("ann", "calm", 0)
		key := profile.KindProfile.Key("calm")
		next := nextRecord(nil, key)
		setBody(next, text)
		next.Change = profile.Change{ID: req.ID, Author: "ann"}
		next.History = []profile.Change{next.Change}
		value, err := next.Encode()
		if err != nil {
			t.Fatal(err)
		}
		ref := ChangeRef{ID: req.ID, Key: key}
		s.SetFaults(standin.Faults{Silent: true})
		out, err := p.swap(ctx, ref, value)
		if err != nil || out.Verdict != NotKnown {
			t.Fatalf("silent store: %+v, %v", out, err)
		}
		s.SetFaults(standin.Faults{})
		out, err = p.Resolve(ctx, ref, "ann", settle)
		want := NotKnown
		if settle {
			want = NotApplied
		}
		if err != nil || out.Verdict != want {
			t.Fatalf("settle %t: %+v, %v", settle, out, err)
		}
		_, err = p.store.CompareAndSwap(ctx, key, value, 0, "") // the silent write arrives
		if (errs.KindOf(err) == errs.Conflict) != settle {
			t.Fatalf("settle %t: late write ended with %v", settle, err)
		}
		if out, err = p.Resolve(ctx, ref, "ann", false); err != nil || (out.Verdict == Accepted) == settle {
			t.Fatalf("settle %t: %+v, %v", settle, out, err)
		}
	}
}

func TestOwnersAndBoundProfiles(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Admins = []string{"root"}
	_, p := server(t, cfg)
	ctx := context.Background()
	if _, err := p.PutProfile(ctx, request("ann", "calm", 0), []byte("[profile]\nowners = ann, eve\n")); err != nil {
		t.Fatal(err)
	}
	if _, err := p.PutProfile(ctx, request("bob", "calm", firstRevision), []byte(text)); errs.KindOf(err) != errs.Denied {
		t.Fatalf("a stranger's change: %v", err)
	}
	for i, author := range []string{"eve", "root"} {
		out, err := p.PutProfile(ctx, request(author, "calm", uint64(i)+firstRevision), []byte(text))
		if err != nil || out.Verdict != Accepted {
			t.Fatalf("%s: %+v, %v", author, out, err)
		}
	}
	bound, err := p.BindService(ctx, request("ann", "tejas", 0), "calm")
	if err != nil || bound.Verdict != Accepted {
		t.Fatalf("bind: %+v, %v", bound, err)
	}
	if _, err := p.DeleteProfile(ctx, request("ann", "calm", firstRevision+2)); errs.KindOf(err) != errs.Conflict {
		t.Fatalf("delete of a bound profile: %v", err)
	}
	if _, err := p.BindService(ctx, request("ann", "tejas", bound.Revision), "sale"); errs.KindOf(err) != errs.NotFound {
		t.Fatalf("bind to no profile: %v", err)
	}
	v, err := p.Get(ctx, profile.KindService, "tejas")
	if err != nil || v.Record.Profile != "calm" || v.Record.Needs != firstRevision+2 {
		t.Fatalf("binding %+v, %v", v.Record, err)
	}
}

func TestDeleteAndUndo(t *testing.T) {
	_, p := server(t, DefaultConfig())
	ctx := context.Background()
	if _, err := p.PutProfile(ctx, request("ann", "calm", 0), []byte(text)); err != nil {
		t.Fatal(err)
	}
	deleted, err := p.DeleteProfile(ctx, request("ann", "calm", firstRevision))
	if err != nil || deleted.Verdict != Accepted {
		t.Fatalf("delete: %+v, %v", deleted, err)
	}
	if list, err := p.List(ctx, profile.KindProfile); err != nil || len(list) != 0 {
		t.Fatalf("list %v, %v", list, err)
	}
	undone, err := p.UndoProfile(ctx, request("ann", "calm", deleted.Revision))
	if err != nil || undone.Verdict != Accepted {
		t.Fatalf("undo: %+v, %v", undone, err)
	}
	v, err := p.Get(ctx, profile.KindProfile, "calm")
	if err != nil || v.Record.Body != text || len(v.Record.History) != 4 {
		t.Fatalf("record %+v, %v", v.Record, err)
	}
}

func TestConcludeFollowsAPreparation(t *testing.T) {
	ref := ChangeRef{ID: uuid.New(), Key: "profiles/calm"}
	prepared := profile.Change{ID: uuid.New(), Prepares: &ref.ID}
	other := profile.Change{ID: uuid.New(), Base: 1}
	own := profile.Change{ID: ref.ID, Base: 1}
	for _, c := range []struct {
		history  []profile.Change
		verdict  Verdict
		revision uint64
	}{
		{[]profile.Change{prepared}, NotKnown, 1},
		{[]profile.Change{prepared, other}, NotApplied, 2},
		{[]profile.Change{prepared, own, {ID: uuid.New(), Base: 2}}, Accepted, 2},
		{[]profile.Change{{ID: uuid.New(), Base: 9}}, NotKnown, 1},
	} {
		now := Versioned{uint64(len(c.history)), &profile.Record{History: c.history}}
		if out := conclude(ref, now); out.Verdict != c.verdict || out.Revision != c.revision {
			t.Errorf("history %+v gives %+v", c.history, out)
		}
	}
}
