package membership

import (
	"bytes"
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/store"
)

// RegistrationConfig holds the settings of a Registration.
type RegistrationConfig struct {
	// TTL is the time to live of the lease. With a longer TTL, the record of a dead
	// node stays for longer.
	TTL time.Duration
	// RenewInterval is the time between two renewals of the lease.
	RenewInterval time.Duration
	// RetryDelay is the mean time between two calls while the store refuses them or
	// does not answer. It must be well below the time within which a record must be
	// restored after the store has recovered.
	RetryDelay time.Duration
	// RestoreSpread is the time over which the nodes write their records again after
	// the store was restored from an older copy, so that they do not exceed its rates
	// together.
	RestoreSpread time.Duration
}

// DefaultRegistrationConfig returns settings that restore records within two
// seconds after the store has recovered: a lease that ended is noticed by the next
// renewal at the latest. The TTL leaves four renewals, so that three may be lost.
func DefaultRegistrationConfig() RegistrationConfig {
	return RegistrationConfig{TTL: 8 * time.Second, RenewInterval: 1900 * time.Millisecond, RetryDelay: 600 * time.Millisecond, RestoreSpread: 500 * time.Millisecond}
}

// Step is the next action of a Registration.
type Step uint8

// Steps of a Registration.
const (
	Wait  Step = iota // for the returned duration
	Grant             // request a lease
	Write             // write the record under the lease if the key still has the expected revision
	Renew             // renew the lease
	Read              // read the revision of the key, because the known one may be wrong
)

// Registration decides which calls a node makes to keep its record in the store
// under a lease. It is not safe for concurrent use.
type Registration struct {
	cfg           RegistrationConfig
	rng           *rand.Rand
	wanted        []byte // record to keep in the store; nil if there is none yet
	written       []byte // record that the store is known to hold; nil if unknown
	knownRevision uint64 // revision of the key, 0 if the key does not exist
	era           uint64 // highest era of a revision of the key
	revisionStale bool   // knownRevision may be wrong
	lease         string
	endedLease    string    // the last lease that has ended, "" if there was none
	renewedAt     time.Time // when the last successful grant or renewal was sent
	notBefore     time.Time // no call before this time
	failing       bool
	spreadNext    bool // the next call is delayed by up to RestoreSpread
}

// NewRegistration returns a registration that has nothing to write yet.
func NewRegistration(cfg RegistrationConfig, rng *rand.Rand) *Registration {
	return &Registration{cfg: cfg, rng: rng, revisionStale: true}
}

// SetRecord sets the record to keep in the store.
func (r *Registration) SetRecord(record []byte) { r.wanted = record }

// Rewrite makes the next write happen even if the record is the same as the one in the store.
// Other nodes tell by its revision that a backend server was announced anew.
func (r *Registration) Rewrite() { r.written = nil }

// ObserveChange records a change of the node's own key that a watch of the store
// reported. deleted says whether the change deleted the key, foreign whether another program
// has replaced the record by something that is none; it is then written again. Changes up to
// the known revision are ignored. After a change of a newer era, which a restored store
// reports, the record is written again under a new lease.
func (r *Registration) ObserveChange(revision uint64, deleted, foreign bool) {
	if revision <= r.knownRevision {
		return
	}
	restored := r.era < store.Era(revision) && r.lease != ""
	r.era = store.Era(revision)
	r.knownRevision = revision
	r.revisionStale = false
	if deleted {
		r.knownRevision = 0
	}
	if foreign {
		r.written = nil
	}
	if deleted || restored {
		// The lease expired, was revoked or was lost by the store, so a new one is
		// needed.
		r.endLease()
		r.written = nil
		r.notBefore = time.Time{}
		r.spreadNext = restored
	}
}

// ObserveAbsence records that the initial state of the store contains no record of
// this node.
func (r *Registration) ObserveAbsence() {
	if r.knownRevision == 0 {
		r.revisionStale = false
	}
}

// Next returns the next step and, for Wait, how long to wait.
func (r *Registration) Next(now time.Time) (Step, time.Duration) {
	if r.wanted == nil {
		return Wait, r.cfg.RenewInterval
	}
	if r.spreadNext {
		r.spreadNext = false
		r.notBefore = now.Add(time.Duration(r.rng.Float64() * float64(r.cfg.RestoreSpread)))
	}
	if now.Before(r.notBefore) {
		return Wait, r.notBefore.Sub(now)
	}
	switch {
	case r.lease == "" && r.failing && r.endedLease != "":
		return Renew, 0 // the cheapest call that shows whether the store is back
	case r.lease == "":
		return Grant, 0
	case !bytes.Equal(r.wanted, r.written) && r.revisionStale:
		return Read, 0
	case !bytes.Equal(r.wanted, r.written):
		return Write, 0
	case now.Sub(r.renewedAt) >= r.cfg.RenewInterval:
		return Renew, 0
	}
	return Wait, r.renewedAt.Add(r.cfg.RenewInterval).Sub(now)
}

// WriteParams returns the lease to write under or to renew, the record to write and the
// revision that the key is expected to have.
func (r *Registration) WriteParams() (lease string, record []byte, expect uint64) {
	return cmp.Or(r.lease, r.endedLease), r.wanted, r.knownRevision
}

// Lease returns the lease in use, or "".
func (r *Registration) Lease() string { return r.lease }

// endLease forgets a lease that has ended.
func (r *Registration) endLease() {
	r.endedLease = cmp.Or(r.lease, r.endedLease)
	r.lease = ""
}

// GrantDone records the result of a lease request that was sent at the given time.
func (r *Registration) GrantDone(lease string, err error, sent, now time.Time) {
	if !r.recordResult(err, now) {
		return
	}
	r.lease = lease
	r.renewedAt = sent
}

// WriteDone records the result of a write of record. An error of kind errs.Conflict
// or errs.Unknown means that the key may have another revision than expected, and one
// of kind errs.NotFound that the lease has expired.
func (r *Registration) WriteDone(record []byte, revision uint64, err error, now time.Time) {
	switch errs.KindOf(err) {
	case errs.Conflict, errs.Unknown:
		r.revisionStale = true // read the revision before the next write
	case errs.NotFound:
		r.endLease()
	}
	if !r.recordResult(err, now) {
		return
	}
	r.written = record
	r.knownRevision = revision
	r.era = max(r.era, store.Era(revision))
}

// ReadDone records the result of a read. Revision 0 or an error of kind errs.NotFound
// means that the key does not exist.
func (r *Registration) ReadDone(revision uint64, err error, now time.Time) {
	if errs.KindOf(err) == errs.NotFound {
		revision, err = 0, nil
	}
	if !r.recordResult(err, now) {
		return
	}
	r.knownRevision = revision
	r.revisionStale = false
}

// RenewDone records the result of a renewal that was sent at the given time. If the
// lease has expired, the store has deleted the record with it.
func (r *Registration) RenewDone(err error, sent, now time.Time) {
	if errs.KindOf(err) == errs.NotFound {
		r.endLease()
		r.failing = false
		r.written = nil
		r.revisionStale = true
		return
	}
	if !r.recordResult(err, now) || r.lease == "" {
		return // a lease that was given up is not used again
	}
	r.renewedAt = sent
}

// Registered reports whether the store is known to hold the wanted record.
func (r *Registration) Registered() bool { return r.wanted != nil && bytes.Equal(r.wanted, r.written) }

// Failing reports whether the last call failed.
func (r *Registration) Failing() bool { return r.failing }

// recordResult reports whether a call succeeded, and delays the next call if the
// store failed. A conflict or an expired lease is not a failure of the store.
func (r *Registration) recordResult(err error, now time.Time) bool {
	kind := errs.KindOf(err)
	r.failing = err != nil && kind != errs.Conflict && kind != errs.NotFound
	if r.failing {
		r.notBefore = now.Add(time.Duration((0.5 + r.rng.Float64()) * float64(r.cfg.RetryDelay)))
	}
	return err == nil
}
