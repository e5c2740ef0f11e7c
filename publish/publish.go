// Package publish changes the operators' records in the store. Each change has
// an identity, which the record keeps, so that a change whose answer was lost
// can be told apart from one that another operator made.
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
	// Attempts bounds how often a write is sent when its answer is lost or the
	// store is unavailable. More attempts leave fewer changes not known, and
	// keep the operator waiting for longer.
	Attempts int

	// Backoff is the time between two attempts.
	Backoff time.Duration

	// HistoryLength is the number of changes that a record keeps. A change that
	// more changes have followed can no longer be resolved. Each takes about
	// 150 bytes in the store.
	HistoryLength int

	// Admins are the names of the credentials that may change every record.
	Admins []string
}

// DefaultConfig returns the configuration for a store that answers within two
// seconds.
func DefaultConfig() Config {
	return Config{Attempts: 3, Backoff: 200 * time.Millisecond, HistoryLength: 16}
}

// Publisher changes records. It is safe for concurrent use.
type Publisher struct {
	store store.Store
	cfg   Config
	now   func() time.Time
}

// New returns a publisher to a store; now is the clock of the changes.
func New(s store.Store, cfg Config, now func() time.Time) *Publisher {
	return &Publisher{store: s, cfg: cfg, now: now}
}

// Request says who changes which record, and what they have seen of it.
type Request struct {
	ID     uuid.UUID // identity of the change, for one request only
	Author string    // name of the credential
	Name   string    // of the profile or the service
	Base   uint64    // revision that the author has seen
	Create bool      // the author expects no record; Base is not used
}

// Versioned is a record with its store revision. Record is nil if the key has
// never been written.
type Versioned struct {
	Revision uint64          `json:"revision"`
	Record   *profile.Record `json:"record"`
}

// live says whether the record exists and is not deleted.
func (v Versioned) live() bool { return v.Record != nil && !v.Record.Deleted }

// Get returns a record, also a deleted one. The error is of kind errs.NotFound
// if the key has never been written.
func (p *Publisher) Get(ctx context.Context, kind profile.Kind, name string) (Versioned, error) {
	v, err := p.read(ctx, kind.Key(name))
	if err == nil && v.Record == nil {
		return v, errs.New(errs.NotFound, "check the name", "%s does not exist", kind.Key(name))
	}
	return v, err
}

// List returns the records of a kind that are not deleted, ordered by name.
// Malformed records are left out.
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

// read returns the record of a key, without a record if it is absent.
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

// edit changes next, which starts as a copy of the current record.
type edit func(next *profile.Record) error

// step is one write of a change.
type step struct {
	ref      ChangeRef
	author   string
	prepares *uuid.UUID
}

// begin reads the record that a request is about and checks the author's right
// and base. An outcome with a verdict ends the request. An administrator may
// replace a malformed record.
func (p *Publisher) begin(ctx context.Context, kind profile.Kind, req Request) (Versioned, step, Outcome, error) {
	if !profile.ValidName(req.Name) {
		return Versioned{}, step{}, Outcome{}, errs.New(errs.Invalid, "use lower case letters, digits, dots and hyphens", "bad name %q", req.Name)
	}
	key := kind.Key(req.Name)
	now, err := p.read(ctx, key)
	repairs := errs.KindOf(err) == errs.Invalid && slices.Contains(p.cfg.Admins, req.Author)
	if err != nil && !repairs {
		return now, step{}, Outcome{}, err
	}
	if !p.mayChange(req.Author, now.Record) {
		return now, step{}, Outcome{}, errs.New(errs.Denied, "ask an owner", "%s is owned by %v, not by %s", key, now.Record.Owners, req.Author)
	}
	if req.Create && !now.live() {
		req.Base = now.Revision
	}
	s := step{ref: ChangeRef{ID: req.ID, Key: key, Base: req.Base}, author: req.Author}
	if now.Revision != req.Base || (req.Create && now.live()) {
		out := conclude(s.ref, now)
		if out.Verdict == NotKnown && isPrepared(now.Record, req.ID) {
			return now, s, out, nil // the request was sent before and is being made
		}
		return now, s, out.orConflict(now), nil
	}
	return now, s, Outcome{}, nil
}

// isPrepared says whether a record holds a preparation of a change.
func isPrepared(r *profile.Record, id uuid.UUID) bool {
	return r != nil && slices.ContainsFunc(r.History, func(c profile.Change) bool {
		return c.Prepares != nil && *c.Prepares == id
	})
}

// mayChange says whether a credential may change a record.
func (p *Publisher) mayChange(author string, r *profile.Record) bool {
	if r == nil || len(r.Owners) == 0 {
		return true
	}
	return slices.Contains(r.Owners, author) || slices.Contains(p.cfg.Admins, author)
}

// write applies an edit to the record that was read, in one step.
func (p *Publisher) write(ctx context.Context, now Versioned, s step, change edit) (Outcome, error) {
	next := nextRecord(now.Record, s.ref.Key)
	if err := change(next); err != nil {
		return Outcome{}, err
	}
	next.Change = profile.Change{ID: s.ref.ID, Author: s.author, Time: p.now().UTC(), Base: s.ref.Base, Prepares: s.prepares}
	next.History = append(slices.Clone(next.History), next.Change)
	if extra := len(next.History) - p.cfg.HistoryLength; extra > 0 {
		next.History = next.History[extra:]
	}
	if len(next.Owners) == 0 && !next.Deleted {
		next.Owners = []string{s.author}
	}
	value, err := next.Encode()
	if err != nil {
		return Outcome{}, err
	}
	return p.swap(ctx, s.ref, value)
}

// nextRecord returns a copy of the current record, or an empty one.
func nextRecord(now *profile.Record, key string) *profile.Record {
	if now != nil {
		next := *now
		return &next
	}
	kind, name, _ := profile.SplitKey(key)
	return &profile.Record{Kind: kind, Name: name}
}

// swap writes a value, repeating the same write while its effect is not known:
// the base lets it take effect only once.
func (p *Publisher) swap(ctx context.Context, ref ChangeRef, value []byte) (Outcome, error) {
	maybe := false
	var err error
	for attempt := range max(p.cfg.Attempts, 1) {
		if attempt > 0 && !p.pause(ctx) {
			break
		}
		var revision uint64
		revision, err = p.store.CompareAndSwap(ctx, ref.Key, value, ref.Base, "")
		if err == nil {
			return Outcome{Verdict: Accepted, Change: ref, Revision: revision}, nil
		}
		kind := errs.KindOf(err)
		if kind == errs.Conflict {
			return p.readBack(ctx, ref, maybe), nil
		}
		maybe = maybe || kind == errs.Unknown
		if kind != errs.Unknown && kind != errs.Unavailable {
			break
		}
	}
	if maybe {
		return p.readBack(ctx, ref, maybe), nil
	}
	return Outcome{}, err
}

// pause waits between two attempts; false if the operator's time is up.
func (p *Publisher) pause(ctx context.Context) bool {
	timer := time.NewTimer(p.cfg.Backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// readBack returns the verdict on a write that was not confirmed. maybe says
// that one of its attempts may have taken effect.
func (p *Publisher) readBack(ctx context.Context, ref ChangeRef, maybe bool) Outcome {
	now, err := p.read(ctx, ref.Key)
	switch {
	case err != nil && maybe:
		return Outcome{Verdict: NotKnown, Change: ref, Detail: err.Error()}
	case err != nil:
		return Outcome{Verdict: Conflict, Change: ref, Detail: err.Error()}
	}
	out := conclude(ref, now)
	if !maybe || out.Verdict == NotApplied {
		return out.orConflict(now)
	}
	return out
}
