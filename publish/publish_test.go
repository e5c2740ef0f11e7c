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

// reportedOutcome is the result of a call to the Publisher, as an operator saw it.
type reportedOutcome struct {
	ref      ChangeRef
	verdict  Verdict // NotApplied if the call returned an error
	revision uint64
}

// operators run random operations on one store and keep the reported outcomes.
type operators struct {
	t              *rapid.T
	store          *flakyStore
	p              *Publisher
	reports        []reportedOutcome
	requestedTexts map[uuid.UUID]string // profile text of each put, by change
	requested      map[uuid.UUID]bool   // IDs of all changes, to tell them from internal writes
}

func newOperators(t *rapid.T, history int) *operators {
	f := &flakyStore{t: t, entries: make(map[string]store.Entry)}
	cfg := Config{Attempts: 2, HistoryLength: history}
	o := &operators{t: t, store: f, requestedTexts: make(map[uuid.UUID]string), requested: make(map[uuid.UUID]bool)}
	o.p = New(f, cfg, func() time.Time { return time.Unix(0, 0) })
	f.otherOperator = o.runRandomOperation
	return o
}

// runRandomOperation runs one random operation, sometimes with a stale base.
func (o *operators) runRandomOperation() {
	kind := profile.KindProfile
	name := rapid.SampledFrom([]string{"calm", "storm"}).Draw(o.t, "profile")
	operation := rapid.SampledFrom([]string{"put", "put", "delete", "bind", "bind", "undo", "resolve"}).Draw(o.t, "operation")
	target := name
	if operation == "bind" {
		kind, target = profile.KindService, "tejas"
	}
	req := Request{ID: uuid.New(), Author: "ann", Name: target, Base: o.store.entries[kind.Key(target)].Revision}
	req.Create = rapid.IntRange(0, 3).Draw(o.t, "create") == 0
	if rapid.IntRange(0, 5).Draw(o.t, "stale") == 0 && req.Base > 0 {
		req.Base--
	}
	o.requested[req.ID] = true
	ctx := context.Background()
	var out Outcome
	var err error
	switch operation {
	case "put":
		o.requestedTexts[req.ID] = fmt.Sprintf("[default]\ndeadline = %ds\n", len(o.requestedTexts)+1)
		out, err = o.p.PutProfile(ctx, req, []byte(o.requestedTexts[req.ID]))
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
	if req.Create || rapid.Bool().Draw(o.t, "answer received") {
		ref = out.Change // otherwise the answer was lost, and the client has only its own reference
	}
	o.record(ref, out, err)
}

func (o *operators) record(ref ChangeRef, out Outcome, err error) {
	if err != nil {
		out = Outcome{Verdict: NotApplied}
	}
	o.reports = append(o.reports, reportedOutcome{ref, out.Verdict, out.Revision})
}

// resolve resolves each change whose latest reported verdict is NotKnown.
func (o *operators) resolve(settle bool) {
	unresolved := make(map[ChangeRef]bool)
	for _, report := range o.reports {
		unresolved[report.ref] = report.verdict == NotKnown
	}
	for _, report := range o.reports {
		if !unresolved[report.ref] {
			continue
		}
		unresolved[report.ref] = false
		out, err := o.p.Resolve(context.Background(), report.ref, "ann", settle)
		if err == nil {
			o.record(report.ref, out, nil)
		}
	}
}

// checkReports compares every reported verdict except NotKnown with the writes that
// the store applied.
func (o *operators) checkReports() {
	revisions := make(map[uuid.UUID]uint64)
	for _, v := range o.store.applied {
		revisions[v.Record.Change.ID] = v.Revision
	}
	for _, report := range o.reports {
		appliedAt, applied := revisions[report.ref.ID]
		switch report.verdict {
		case Accepted:
			if !applied || appliedAt != report.revision {
				o.t.Fatalf("%s was accepted at %d, the store has it at %d", report.ref, report.revision, appliedAt)
			}
		case Conflict, NotApplied:
			if applied {
				o.t.Fatalf("%s was reported as %s, the store has it at %d", report.ref, report.verdict, appliedAt)
			}
		}
	}
}

// checkAppliedWrites replays the writes that the store applied. Only requested
// changes may alter a profile or binding, a put must store the requested text, and
// no service may ever be bound to a deleted profile.
func (o *operators) checkAppliedWrites() {
	state := make(map[string]*profile.Record)
	for _, v := range o.store.applied {
		r := v.Record
		key := r.Kind.Key(r.Name)
		previous := state[key]
		if previous == nil {
			previous = &profile.Record{Deleted: true}
		}
		same := r.Body == previous.Body && r.Deleted == previous.Deleted && r.Profile == previous.Profile && r.Needs == previous.Needs
		if !o.requested[r.Change.ID] && !same {
			o.t.Fatalf("revision %d altered %s without a requested change", v.Revision, key)
		}
		if text, ok := o.requestedTexts[r.Change.ID]; ok && r.Body != text {
			o.t.Fatalf("revision %d holds %q, want %q", v.Revision, r.Body, text)
		}
		state[key] = r
		if b := state["services/tejas"]; b != nil && !b.Deleted && state["profiles/"+b.Profile].Deleted {
			o.t.Fatalf("revision %d leaves tejas bound to the deleted profile %s", v.Revision, b.Profile)
		}
	}
}

// TestFinalVerdictsMatchStore guards against a wrong verdict: a change reported as
// accepted that was not applied, or one reported as conflicting or not applied that
// was. This can happen when answers are lost, writes are delayed and operators
// change the same records concurrently.
func TestFinalVerdictsMatchStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := rapid.SampledFrom([]int{4, 1000}).Draw(t, "history")
		o := newOperators(t, history)
		for range rapid.IntRange(1, 12).Draw(t, "operations") {
			o.runRandomOperation()
		}
		o.store.faultsOff = true
		resolvedFrom := len(o.reports)
		o.resolve(true)
		for _, report := range o.reports[resolvedFrom:] {
			if report.verdict == NotKnown && history == 1000 {
				t.Fatalf("%s is still not known after the faults of the store have ended", report.ref)
			}
		}
		o.store.applyLateWrites()
		o.checkReports()
		o.checkAppliedWrites()
	})
}

// TestConcurrentBindAndDelete runs a bind before each store call of a delete of the
// same profile, and the other way round. If both were accepted, the service would be
// bound to a deleted profile.
func TestConcurrentBindAndDelete(t *testing.T) {
	ctx := context.Background()
	for callNumber := 1; callNumber <= 8; callNumber++ {
		for _, deleteFirst := range []bool{false, true} {
			o := newOperators(nil, 1000)
			o.store.faultsOff = true
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
			bothAccepted := false
			o.store.interruptAt = o.store.calls + callNumber
			o.store.otherOperator = func() { bothAccepted = second() }
			if bothAccepted = first() && bothAccepted; bothAccepted {
				t.Errorf("delete first %t, other operation at call %d: both were accepted", deleteFirst, callNumber)
			}
		}
	}
}

// newTestPublisher returns a stand-in store and a publisher that reaches it over
// HTTP.
func newTestPublisher(t *testing.T, cfg Config) (*standin.Endpoint, *Publisher) {
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

// firstRevision is the revision of the first write to the stand-in store.
const firstRevision = 2

const text = "[default]\nretries = 1\n"

func TestLostAnswersOverHTTP(t *testing.T) {
	s, p := newTestPublisher(t, DefaultConfig())
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

// TestLateWriteIsNotReportedAsNotApplied resolves a change while its write is
// delayed on the way to the store. NotApplied would be wrong unless the change was
// settled, because the write can still succeed.
func TestLateWriteIsNotReportedAsNotApplied(t *testing.T) {
	for _, settle := range []bool{false, true} {
		s, p := newTestPublisher(t, Config{Attempts: 1, HistoryLength: 8})
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
		out, err := p.compareAndSwap(ctx, ref, value)
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
		_, err = p.store.CompareAndSwap(ctx, key, value, 0, "") // the delayed write arrives
		if (errs.KindOf(err) == errs.Conflict) != settle {
			t.Fatalf("settle %t: late write ended with %v", settle, err)
		}
		if out, err = p.Resolve(ctx, ref, "ann", false); err != nil || (out.Verdict == Accepted) == settle {
			t.Fatalf("settle %t: %+v, %v", settle, out, err)
		}
	}
}

func TestOwnershipAndBoundProfileDeletion(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Admins = []string{"root"}
	_, p := newTestPublisher(t, cfg)
	ctx := context.Background()
	if _, err := p.PutProfile(ctx, request("ann", "calm", 0), []byte("[profile]\nowners = ann, eve\n")); err != nil {
		t.Fatal(err)
	}
	if _, err := p.PutProfile(ctx, request("bob", "calm", firstRevision), []byte(text)); errs.KindOf(err) != errs.Denied {
		t.Fatalf("change by a credential that is not an owner: %v", err)
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
		t.Fatalf("bind to a profile that does not exist: %v", err)
	}
	v, err := p.Get(ctx, profile.KindService, "tejas")
	if err != nil || v.Record.Profile != "calm" || v.Record.Needs != firstRevision+2 {
		t.Fatalf("binding %+v, %v", v.Record, err)
	}
}

func TestDeleteAndUndo(t *testing.T) {
	_, p := newTestPublisher(t, DefaultConfig())
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

func TestOutcomeFromHistoryFollowsPreparation(t *testing.T) {
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
		current := Versioned{uint64(len(c.history)), &profile.Record{History: c.history}}
		if out := outcomeFromHistory(ref, current); out.Verdict != c.verdict || out.Revision != c.revision {
			t.Errorf("history %+v gives %+v", c.history, out)
		}
	}
}
