package membership

import (
	"bytes"
	"math/rand/v2"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

// RegistrationConfig sets how a node keeps its record in the store.
type RegistrationConfig struct {
	// TTL of the lease. A longer one keeps the record of a dead node for longer.
	TTL time.Duration
	// Renew is the time between two renewals.
	Renew time.Duration
	// Retry is the mean time between two calls while the store refuses or does
	// not answer. It must lie well under the time within which a record has to be
	// back after the store has returned.
	Retry time.Duration
}

// DefaultRegistrationConfig brings records back within two seconds of the store's
// return.
func DefaultRegistrationConfig() RegistrationConfig {
	return RegistrationConfig{TTL: 8 * time.Second, Renew: 1300 * time.Millisecond, Retry: 600 * time.Millisecond}
}

// Step is the next call to the store.
type Step uint8

// Steps of a Registration.
const (
	Wait  Step = iota // until the returned time
	Grant             // a lease
	Write             // the record under the lease, at the known revision
	Renew             // the lease
	Read              // the record, because a write met another revision
)

// Registration decides what a node does to keep its record in the store. It is
// not safe for concurrent use.
type Registration struct {
	cfg     RegistrationConfig
	rng     *rand.Rand
	want    []byte // nil while there is nothing to write
	written []byte // as far as the store is known to hold it
	known   uint64 // revision of the key, 0 if absent
	stale   bool   // known may be wrong
	lease   string
	renewed time.Time // when the last successful call on the lease was sent
	next    time.Time // no call before
	failing bool
}

// NewRegistration returns a registration that has nothing to write yet.
func NewRegistration(cfg RegistrationConfig, rng *rand.Rand) *Registration {
	return &Registration{cfg: cfg, rng: rng, stale: true}
}

// SetRecord sets the record to keep.
func (r *Registration) SetRecord(record []byte) { r.want = record }

// ObserveChange tells what a watch of the store told of the own key: the revision of a
// change, or of its removal.
func (r *Registration) ObserveChange(revision uint64, deleted bool) {
	if revision <= r.known {
		return
	}
	r.known = revision
	r.stale = false
	if deleted {
		// The lease ended or was revoked; a new one is needed.
		r.known = 0
		r.lease = ""
		r.written = nil
		r.next = time.Time{}
	}
}

// ObserveAbsence tells that the first state of the store holds no own record.
func (r *Registration) ObserveAbsence() {
	if r.known == 0 {
		r.stale = false
	}
}

// Next returns the next step, and for Wait the time to wait.
func (r *Registration) Next(now time.Time) (Step, time.Duration) {
	if r.want == nil {
		return Wait, r.cfg.Renew
	}
	if now.Before(r.next) {
		return Wait, r.next.Sub(now)
	}
	switch {
	case r.lease == "":
		return Grant, 0
	case !bytes.Equal(r.want, r.written) && r.stale:
		return Read, 0
	case !bytes.Equal(r.want, r.written):
		return Write, 0
	case now.Sub(r.renewed) >= r.cfg.Renew:
		return Renew, 0
	}
	return Wait, r.renewed.Add(r.cfg.Renew).Sub(now)
}

// WriteParams returns the lease to write under, the record and the revision to expect.
func (r *Registration) WriteParams() (lease string, record []byte, expect uint64) {
	return r.lease, r.want, r.known
}

// GrantDone records the end of a grant that was sent at that time.
func (r *Registration) GrantDone(lease string, err error, sent, now time.Time) {
	if !r.ended(err, now) {
		return
	}
	r.lease = lease
	r.renewed = sent
}

// WriteDone records the end of a write of record.
func (r *Registration) WriteDone(record []byte, revision uint64, err error, now time.Time) {
	switch errs.KindOf(err) {
	case errs.Conflict, errs.Unknown:
		r.stale = true // read it before the next write
	case errs.NotFound:
		r.lease = ""
	}
	if !r.ended(err, now) {
		return
	}
	r.written = record
	r.known = revision
}

// ReadDone records the end of a read; revision 0 is an absent key.
func (r *Registration) ReadDone(revision uint64, err error, now time.Time) {
	if errs.KindOf(err) == errs.NotFound {
		revision, err = 0, nil
	}
	if !r.ended(err, now) {
		return
	}
	r.known = revision
	r.stale = false
}

// RenewDone records the end of a renewal that was sent at that time. A lease that
// has lapsed took the record with it.
func (r *Registration) RenewDone(err error, sent, now time.Time) {
	if errs.KindOf(err) == errs.NotFound {
		r.lease = ""
		r.written = nil
		r.stale = true
		return
	}
	if r.ended(err, now) {
		r.renewed = sent
	}
}

// Registered reports whether the store is known to hold the wanted record.
func (r *Registration) Registered() bool { return r.want != nil && bytes.Equal(r.want, r.written) }

// Failing reports whether the last call failed.
func (r *Registration) Failing() bool { return r.failing }

// ended notes whether a call succeeded, and delays the next one if not. A
// conflict or a lapsed lease is no failure of the store.
func (r *Registration) ended(err error, now time.Time) bool {
	kind := errs.KindOf(err)
	r.failing = err != nil && kind != errs.Conflict && kind != errs.NotFound
	if r.failing {
		r.next = now.Add(time.Duration((0.5 + r.rng.Float64()) * float64(r.cfg.Retry)))
	}
	return err == nil
}
