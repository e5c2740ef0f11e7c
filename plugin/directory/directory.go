package directory

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/logging"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/replica"
	"github.com/dogwoodhatch/dogwoodhatch/store"
)

// expireInterval is the time between two checks for lapsed members to forget.
const expireInterval = time.Second

// directory implements kernel.Profiles, kernel.Fleet and kernel.Replica. table, fleet, ended,
// catalog, registration, self, lost and recordWaiters belong to the control goroutine;
// goroutines that serve traffic read the atomic values.
type directory struct {
	k      *kernel.Kernel
	log    *zap.Logger
	store  store.Store // nil if no store is configured
	ctx    context.Context
	cancel context.CancelFunc

	table         *replica.Table
	fleet         *membership.Fleet
	ended         membership.EndedStarts // of other nodes
	catalog       *profile.Catalog
	registration  *membership.Registration
	self          membership.Member
	lost          lostRecords
	recordWaiters []chan struct{} // closed once the store holds this node's record

	view           atomic.Pointer[membershipView]
	snapshot       atomic.Pointer[profile.Snapshot]
	revision       atomic.Uint64 // revision of table
	registered     atomic.Bool   // the store holds the record of this node
	hasLost        atomic.Bool   // lost may not be empty
	recordRevision atomic.Uint64 // highest revision of an operator record
	confirmedAt    atomic.Int64  // latest time at which the store is known to have answered some node, in ns since started
	provedAt       atomic.Int64  // latest time, in ns since started, at which the table is proved to have held every change that the store had acknowledged
	started        time.Time
	failing        failingMembers // members that recently did not answer a sync
	stateKnown     chan struct{}  // closed once the table holds a state
	asked          chan struct{}  // closed once the witnesses had time to tell of ended starts

	hints            chan revisionHint // higher revisions reported by other nodes
	refreshNow       chan struct{}     // signals that the store must be read now
	registrationWake chan struct{}     // signals that the registration may have a next step
	storeCalls       metrics.Counter
	storeFailures    metrics.Counter
	syncTook         metrics.Gauge   // time from the last request for state to its reply, in microseconds
	syncFailures     metrics.Counter // requests for state without a reply
}

func newDirectory(k *kernel.Kernel) *directory {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	d := &directory{
		k: k, log: logging.Control(k.Log), store: k.Store,
		table: replica.New(), fleet: membership.NewFleet(membership.DefaultConfig()), catalog: profile.NewCatalog(),
		lost:             lostRecords{},
		registration:     membership.NewRegistration(membership.DefaultRegistrationConfig(), rng),
		self:             membership.Member{ID: k.NodeID, Addr: k.Settings.Listen.Peer, Region: k.Settings.Node.Region, Domain: k.Settings.Node.FailureDomain},
		started:          time.Now(),
		stateKnown:       make(chan struct{}),
		asked:            make(chan struct{}),
		hints:            make(chan revisionHint, 1),
		refreshNow:       make(chan struct{}, 1),
		registrationWake: make(chan struct{}, 1),
		storeCalls:       metrics.GetOrRegisterCounter("store.calls", k.Metrics),
		storeFailures:    metrics.GetOrRegisterCounter("store.failures", k.Metrics),
		syncTook:         metrics.GetOrRegisterGauge("sync.took_us", k.Metrics),
		syncFailures:     metrics.GetOrRegisterCounter("sync.failures", k.Metrics),
	}
	if addr := k.Settings.Listen.AdvertisePeer; addr != "" {
		d.self.Addr = addr
	}
	d.provedAt.Store(neverProved)
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.snapshot.Store(d.catalog.Snapshot())
	d.view.Store(newView(nil, 0))
	metrics.NewRegisteredFunctionalGauge("profile.revision", k.Metrics, func() int64 { return int64(d.recordRevision.Load()) })
	metrics.NewRegisteredFunctionalGauge("store.revision", k.Metrics, func() int64 { return int64(d.revision.Load()) })
	metrics.NewRegisteredFunctionalGauge("store.age_ms", k.Metrics, func() int64 { return d.storeAge().Milliseconds() })
	metrics.NewRegisteredFunctionalGauge("members", k.Metrics, func() int64 { return int64(len(d.view.Load().all)) })
	return d
}

// Start implements kernel.Plugin.
func (d *directory) Start(context.Context) error {
	if d.store != nil {
		go d.followStore()
		go d.runRegistration()
		go d.runRestore()
		go d.askForEnded()
	}
	go d.runSync()
	go d.runExpiry()
	return nil
}

// Stop implements kernel.Plugin. Revoking the lease deletes the record of the node. A
// record that names an ended start of the backend server is left to its lease, because
// the next process of the node must not believe a late report of that start.
func (d *directory) Stop(ctx context.Context) error {
	d.cancel()
	var lease string
	var ended bool
	d.k.Control.Do(func() {
		lease = d.registration.Lease()
		ended = d.self.Ended.Instance != ""
	})
	if lease == "" || ended || d.store == nil {
		return nil
	}
	return d.store.Revoke(ctx, lease)
}

// runExpiry regularly forgets members that lapsed long ago.
func (d *directory) runExpiry() {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			d.k.Control.Go(d.expireMembers)
		case <-d.ctx.Done():
			return
		}
	}
}

// expireMembers forgets members that lapsed long ago. It runs on the control
// goroutine.
func (d *directory) expireMembers() {
	for _, m := range d.fleet.Expire(time.Now()) {
		d.logMember("gone", &m)
	}
	d.publish()
}

// Snapshot implements kernel.Profiles.
func (d *directory) Snapshot() *profile.Snapshot { return d.snapshot.Load() }

// HighestRevision implements kernel.Profiles.
func (d *directory) HighestRevision() uint64 { return d.recordRevision.Load() }

// Revision implements kernel.Replica.
func (d *directory) Revision() uint64 { return d.revision.Load() }

// Refresh implements kernel.Profiles. The store is read immediately, and other nodes
// learn of the new revision from the next messages sent to them.
func (d *directory) Refresh() {
	select {
	case d.refreshNow <- struct{}{}:
	default: // a refresh is already pending
	}
}

// apply updates the copy with entries as of a revision and applies the resulting
// changes. whole says that entries are the complete state rather than changes. It runs on
// the control goroutine.
func (d *directory) apply(entries []store.Entry, revision uint64, whole bool) {
	entries = slices.DeleteFunc(entries, func(e store.Entry) bool { return !d.k.Records.Keeps(e.Key, len(e.Value)) })
	first := d.table.Revision() == 0
	var changes []store.Entry
	if whole {
		changes = d.replaceState(entries, revision)
	} else {
		changes = d.table.Apply(entries, revision)
	}
	d.revision.Store(d.table.Revision())
	if first && d.table.Revision() > 0 {
		d.log.Info("state_known", zap.Uint64("revision", revision), zap.Int("keys", len(entries)))
	}
	own, _ := d.table.Get(d.ownKey())
	if first && own.Revision == 0 {
		d.registration.ObserveAbsence()
	}
	for _, e := range changes {
		d.applyEntry(e)
	}
	if len(changes) > 0 {
		d.publish()
	}
	if first && d.table.Revision() > 0 {
		close(d.stateKnown)
	}
}

func (d *directory) ownKey() string { return membership.Key(d.k.Settings.Node.ID) }

func (d *directory) applyEntry(e store.Entry) {
	switch {
	case hasPrefix(e.Key, membership.Prefix):
		d.applyMember(e)
	case isOperatorRecord(e.Key):
		d.applyOperatorRecord(e)
	default:
		d.k.Records.Deliver(e)
	}
}

func (d *directory) applyMember(e store.Entry) {
	m, err := membership.Decode(e.Key, e.Value, e.Revision)
	if e.Key == d.ownKey() {
		d.registration.ObserveChange(e.Revision, e.Deleted, !e.Deleted && err != nil)
		d.wakeRegistration()
	}
	if e.Deleted {
		if m, ok := d.fleet.Remove(e.Key, time.Now()); ok {
			d.logMember("lapsed", &m)
		}
		return
	}
	if err != nil {
		d.log.Warn("member_rejected", zap.String("key", e.Key), zap.Uint64("revision", e.Revision), zap.Error(err))
		return
	}
	if e.Key == d.ownKey() {
		d.adoptFromMember(&m)
	}
	if d.fleet.Put(e.Key, m) {
		d.logMember("joined", &m)
		return
	}
	d.logMember("changed", &m)
}

func (d *directory) logMember(change string, m *membership.Member) {
	d.log.Info("member_"+change, zap.String("member", m.ID), zap.String("service", m.Service), zap.String("region", m.Region),
		zap.String("failure_domain", m.Domain), zap.Uint64("revision", m.Revision))
}

// applyOperatorRecord applies a change of a record written by operators.
func (d *directory) applyOperatorRecord(e store.Entry) {
	if d.lost.supersedes(e) {
		d.log.Warn("record", zap.String("key", e.Key), zap.Uint64("revision", e.Revision), zap.String("applied", "older_copy"))
		return
	}
	before := d.catalog.Snapshot()
	var value []byte
	if !e.Deleted {
		value = profile.Compact(e.Value)
	}
	applied, err := d.catalog.Apply(e.Key, e.Revision, value)
	d.log.Info("record", zap.String("key", e.Key), zap.Uint64("revision", e.Revision), zap.Stringer("applied", applied), zap.Error(err))
	d.recordRevision.Store(d.catalog.HighestRevision())
	d.snapshot.Store(d.catalog.Snapshot())
	d.logProfileChanges(before, d.catalog.Snapshot())
}

// logProfileChanges logs each service whose profile in force has changed.
func (d *directory) logProfileChanges(before, after *profile.Snapshot) {
	for _, b := range after.Bindings() {
		_, oldRevision, _ := before.ForService(b.Service)
		if b.Revision != oldRevision {
			d.log.Info("profile_in_force", zap.String("service", b.Service), zap.String("profile", b.Profile),
				zap.Uint64("revision", b.Revision), zap.String("pending", b.Pending))
		}
	}
}

// clock returns the time since the start of the directory in nanoseconds.
func (d *directory) clock() int64 { return int64(time.Since(d.started)) }

// confirmStore records that the store answered some node at the given time, as returned by
// clock.
func (d *directory) confirmStore(at int64) {
	for {
		old := d.confirmedAt.Load()
		if at <= old || d.confirmedAt.CompareAndSwap(old, at) {
			return
		}
	}
}

// storeAge returns the time since the store is last known to have answered some
// node.
func (d *directory) storeAge() time.Duration { return time.Duration(d.clock() - d.confirmedAt.Load()) }
