// Package publish writes operators' changes of profiles and service bindings to
// the store. Every change has an ID that is kept in the history of the record, so
// that a client which lost the answer can find out whether its own change or one
// of another operator was applied.
package publish

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/store"
)

// Config configures a Publisher.
type Config struct {
	// Attempts is the maximum number of times that a write is sent when its
	// answer is lost or the store is unavailable. More attempts leave fewer
	// changes not known, but make the operator wait longer.
	Attempts int

	// Backoff is the time between two attempts.
	Backoff time.Duration

	// HistoryLength is the number of changes kept in the history of a record. A
	// change that has been pushed out of the history can no longer be resolved.
	// Each entry takes about 150 bytes in the store.
	HistoryLength int

	// Admins are the names of the credentials that may change any record,
	// whoever owns it.
	Admins []string
}

// DefaultConfig returns the configuration for a store that answers within two
// seconds.
func DefaultConfig() Config {
	return Config{Attempts: 3, Backoff: 200 * time.Millisecond, HistoryLength: 16}
}

// Publisher applies changes to records by compare-and-swap. It is safe for
// concurrent use.
type Publisher struct {
	store store.Store
	cfg   Config
	now   func() time.Time
}

// New returns a publisher that writes to a store. Changes are stamped with the
// time that now returns.
func New(s store.Store, cfg Config, now func() time.Time) *Publisher {
	return &Publisher{store: s, cfg: cfg, now: now}
}

// Request identifies a change: its author, its record and the revision that it
// replaces.
type Request struct {
	ID     uuid.UUID // ID of the change; must not be used for another one
	Author string    // name of the author's credential
	Name   string    // name of the profile or the service
	Base   uint64    // store revision of the record that the change is based on
	Create bool      // the record must be absent or deleted; Base is ignored
}

// Versioned is a record with its store revision. Record is nil if the key has
// never been written.
type Versioned struct {
	Revision uint64          `json:"revision"`
	Record   *profile.Record `json:"record"`
}

// exists reports whether the record has been written and is not deleted.
func (v Versioned) exists() bool { return v.Record != nil && !v.Record.Deleted }

// Get returns a record, even if it is deleted. The error is of kind errs.NotFound
// if the key has never been written.
func (p *Publisher) Get(ctx context.Context, kind profile.Kind, name string) (Versioned, error) {
	v, err := p.read(ctx, kind.Key(name))
	if err == nil && v.Record == nil {
		return v, errs.New(errs.NotFound, "check the name", "%s does not exist", kind.Key(name))
	}
	return v, err
}

// List returns the records of a kind, sorted by name. Deleted and malformed
// records are left out.
func (p *Publisher) List(ctx context.Context, kind profile.Kind) ([]Versioned, error) {
	entries, _, err := p.store.List(ctx, kind.Prefix())
	if err != nil {
		return nil, err
	}
	slices.SortFunc(entries, func(x, y store.Entry) int { return strings.Compare(x.Key, y.Key) })
	var list []Versioned
	for _, e := range entries {
		r, err := profile.DecodeRecord(e.Key, e.Value)
		if err == nil && !r.Deleted {
			list = append(list, Versioned{e.Revision, r})
		}
	}
	return list, nil
}

// read returns the record of a key, or a zero Versioned if the key has never been
// written.
func (p *Publisher) read(ctx context.Context, key string) (Versioned, error) {
	e, err := p.store.Get(ctx, key)
	if errs.KindOf(err) == errs.NotFound {
		return Versioned{}, nil
	}
	if err != nil {
		return Versioned{}, err
	}
	r, err := profile.DecodeRecord(key, e.Value)
	return Versioned{e.Revision, r}, err
}

// recordEdit modifies next, which is a copy of the current record.
type recordEdit func(next *profile.Record) error

// recordWrite describes one compare-and-swap of a record.
type recordWrite struct {
	ref      ChangeRef
	author   string
	prepares *uuid.UUID // change that this write prepares, nil if it is the change itself
}

// beginChange reads the record of a request and checks that the author may change
// it and that the base is current. If the returned outcome has a verdict, the
// request is finished. An administrator may replace a malformed record.
func (p *Publisher) beginChange(ctx context.Context, kind profile.Kind, req Request) (Versioned, recordWrite, Outcome, error) {
	if !profile.ValidName(req.Name) {
		return Versioned{}, recordWrite{}, Outcome{}, errs.New(errs.Invalid, "use lower case letters, digits, dots and hyphens", "bad name %q", req.Name)
	}
	key := kind.Key(req.Name)
	current, err := p.read(ctx, key)
	replacesMalformed := errs.KindOf(err) == errs.Invalid && slices.Contains(p.cfg.Admins, req.Author)
	if err != nil && !replacesMalformed {
		return current, recordWrite{}, Outcome{}, err
	}
	if !p.mayChange(req.Author, current.Record) {
		return current, recordWrite{}, Outcome{}, errs.New(errs.Denied, "ask an owner", "%s is owned by %v, not by %s", key, current.Record.Owners, req.Author)
	}
	if req.Create && !current.exists() {
		req.Base = current.Revision
	}
	w := recordWrite{ref: ChangeRef{ID: req.ID, Key: key, Base: req.Base}, author: req.Author}
	if current.Revision != req.Base || (req.Create && current.exists()) {
		out := outcomeFromHistory(w.ref, current)
		if out.Verdict == NotKnown && hasPreparation(current.Record, req.ID) {
			return current, w, out, nil // a duplicate of a request that is still in progress
		}
		return current, w, out.acceptedOrConflict(current), nil
	}
	return current, w, Outcome{}, nil
}

// hasPreparation reports whether the history of a record contains the
// preparation of a change.
func hasPreparation(r *profile.Record, id uuid.UUID) bool {
	return r != nil && slices.ContainsFunc(r.History, func(c profile.Change) bool {
		return c.Prepares != nil && *c.Prepares == id
	})
}

// mayChange reports whether a credential may change a record. A record without
// owners may be changed by everyone.
func (p *Publisher) mayChange(author string, r *profile.Record) bool {
	if r == nil || len(r.Owners) == 0 {
		return true
	}
	return slices.Contains(r.Owners, author) || slices.Contains(p.cfg.Admins, author)
}

// write applies an edit to a copy of the current record and stores the result.
func (p *Publisher) write(ctx context.Context, current Versioned, w recordWrite, change recordEdit) (Outcome, error) {
	next := nextRecord(current.Record, w.ref.Key)
	if err := change(next); err != nil {
		return Outcome{}, err
	}
	next.Change = profile.Change{ID: w.ref.ID, Author: w.author, Time: p.now().UTC(), Base: w.ref.Base, Prepares: w.prepares}
	next.History = append(slices.Clone(next.History), next.Change)
	if excess := len(next.History) - p.cfg.HistoryLength; excess > 0 {
		next.History = next.History[excess:]
	}
	if len(next.Owners) == 0 && !next.Deleted {
		next.Owners = []string{w.author}
	}
	value, err := next.Encode()
	if err != nil {
		return Outcome{}, err
	}
	return p.compareAndSwap(ctx, w.ref, value)
}

// nextRecord returns a copy of the current record, or a new record of the key if
// there is none.
func nextRecord(current *profile.Record, key string) *profile.Record {
	if current != nil {
		next := *current
		return &next
	}
	kind, name, _ := profile.SplitKey(key)
	return &profile.Record{Kind: kind, Name: name}
}

// compareAndSwap writes a value. It repeats the write if the answer is lost or the
// store is unavailable, which is safe because every attempt expects the same base
// revision, so that at most one of them can succeed.
func (p *Publisher) compareAndSwap(ctx context.Context, ref ChangeRef, value []byte) (Outcome, error) {
	mayHaveApplied := false
	var err error
	for attempt := range max(p.cfg.Attempts, 1) {
		if attempt > 0 && !p.waitBackoff(ctx) {
			break
		}
		var revision uint64
		revision, err = p.store.CompareAndSwap(ctx, ref.Key, value, ref.Base, "")
		if err == nil {
			return Outcome{Verdict: Accepted, Change: ref, Revision: revision}, nil
		}
		kind := errs.KindOf(err)
		if kind == errs.Conflict {
			return p.readBack(ctx, ref, mayHaveApplied), nil
		}
		mayHaveApplied = mayHaveApplied || kind == errs.Unknown
		if kind != errs.Unknown && kind != errs.Unavailable {
			break
		}
	}
	if mayHaveApplied {
		return p.readBack(ctx, ref, mayHaveApplied), nil
	}
	return Outcome{}, err
}

// waitBackoff waits for the backoff between two attempts. It returns false if ctx
// ends first.
func (p *Publisher) waitBackoff(ctx context.Context) bool {
	timer := time.NewTimer(p.cfg.Backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// readBack reads the record to find out the outcome of a write that was not
// confirmed. mayHaveApplied is true if one of its attempts may have taken effect.
func (p *Publisher) readBack(ctx context.Context, ref ChangeRef, mayHaveApplied bool) Outcome {
	current, err := p.read(ctx, ref.Key)
	switch {
	case err != nil && mayHaveApplied:
		return Outcome{Verdict: NotKnown, Change: ref, Detail: err.Error()}
	case err != nil:
		return Outcome{Verdict: Conflict, Change: ref, Detail: err.Error()}
	}
	out := outcomeFromHistory(ref, current)
	if !mayHaveApplied || out.Verdict == NotApplied {
		return out.acceptedOrConflict(current)
	}
	return out
}
