package directory

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/replica"
	"github.com/dogwoodhatch/dogwoodhatch/store"
)

// expireInterval is the time between two looks for members that lapsed long ago.
const expireInterval = time.Second

// directory is the plug-in. table, fleet, book and registration belong to the
// control goroutine; traffic reads the atomic values.
type directory struct {
	k      *kernel.Kernel
	log    *zap.Logger
	store  store.Store // nil without a store
	ctx    context.Context
	cancel context.CancelFunc

	table        *replica.Table
	fleet        *membership.Fleet
	book         *profile.Book
	registration *membership.Registration
	self         membership.Member
	recorded     []chan struct{} // closed when the store holds the own record

	view     atomic.Pointer[view]
	snapshot atomic.Pointer[profile.Snapshot]
	revision atomic.Uint64 // of the table
	highest  atomic.Uint64 // of the operators' records
	fresh    atomic.Int64  // when the store is known to have answered some node, on the clock of started
	started  time.Time
	failing  failing // members that did not answer a sync

	hints     chan hint     // revisions that other nodes told of
	refresh   chan struct{} // the store is to be read now
	announced chan struct{} // the own record has changed
	calls     metrics.Counter
	failures  metrics.Counter
}

func newDirectory(k *kernel.Kernel) *directory {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	d := &directory{
		k: k, log: k.Log, store: k.Store,
		table: replica.New(), fleet: membership.NewFleet(membership.DefaultConfig()), book: profile.NewBook(),
		registration: membership.NewRegistration(membership.DefaultRegistrationConfig(), rng),
		self:         membership.Member{ID: k.NodeID, Addr: k.Settings.Listen.Peer, Region: k.Settings.Node.Region, Domain: k.Settings.Node.FailureDomain},
		started:      time.Now(),
		hints:        make(chan hint, 1),
		refresh:      make(chan struct{}, 1),
		announced:    make(chan struct{}, 1),
		calls:        metrics.GetOrRegisterCounter("store.calls", k.Metrics),
		failures:     metrics.GetOrRegisterCounter("store.failures", k.Metrics),
	}
	if addr := k.Settings.Listen.AdvertisePeer; addr != "" {
		d.self.Addr = addr
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.snapshot.Store(d.book.Snapshot())
	d.view.Store(newView(nil, 0))
	metrics.NewRegisteredFunctionalGauge("profile.revision", k.Metrics, func() int64 { return int64(d.highest.Load()) })
	metrics.NewRegisteredFunctionalGauge("store.revision", k.Metrics, func() int64 { return int64(d.revision.Load()) })
	metrics.NewRegisteredFunctionalGauge("store.age_ms", k.Metrics, func() int64 { return d.age().Milliseconds() })
	metrics.NewRegisteredFunctionalGauge("members", k.Metrics, func() int64 { return int64(len(d.view.Load().all)) })
	return d
}

// Start implements kernel.Plugin.
func (d *directory) Start(context.Context) error {
	if d.store != nil {
		go d.follow()
		go d.register()
	}
	go d.sync()
	go d.expire()
	return nil
}

// Stop implements kernel.Plugin. The record of the node goes with its lease.
func (d *directory) Stop(ctx context.Context) error {
	d.cancel()
	var lease string
	d.k.Control.Do(func() { lease, _, _ = d.registration.Lease() })
	if lease == "" || d.store == nil {
		return nil
	}
	return d.store.Revoke(ctx, lease)
}

func (d *directory) expire() {
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

// expireMembers runs on the control goroutine.
func (d *directory) expireMembers() {
	for _, m := range d.fleet.Expire(time.Now()) {
		d.logMember("gone", &m)
	}
	d.publish()
}

// Snapshot implements kernel.Policies.
func (d *directory) Snapshot() *profile.Snapshot { return d.snapshot.Load() }

// Highest implements kernel.Policies.
func (d *directory) Highest() uint64 { return d.highest.Load() }

// Revision implements kernel.Replica.
func (d *directory) Revision() uint64 { return d.revision.Load() }

// Refresh implements kernel.Policies: the store is read at once, and other nodes
// hear of the revision with the next messages.
func (d *directory) Refresh() {
	select {
	case d.refresh <- struct{}{}:
	default: // a refresh is due already
	}
}

// apply takes what a source told and puts it into force. It runs on the control
// goroutine.
func (d *directory) apply(entries []store.Entry, revision uint64, whole bool) {
	first := d.table.Revision() == 0
	var changes []store.Entry
	if whole {
		changes = d.table.Replace(entries, revision)
	} else {
		changes = d.table.Apply(entries, revision)
	}
	d.revision.Store(d.table.Revision())
	if first && d.table.Revision() > 0 {
		d.log.Info("state_known", zap.Uint64("revision", revision), zap.Int("keys", len(entries)))
	}
	own, _ := d.table.Get(d.ownKey())
	if first && own.Revision == 0 {
		d.registration.Absent()
	}
	for _, e := range changes {
		d.applyEntry(e)
	}
	if len(changes) > 0 {
		d.publish()
	}
}

func (d *directory) ownKey() string { return membership.Key(d.k.Settings.Node.ID) }

func (d *directory) applyEntry(e store.Entry) {
	switch {
	case hasPrefix(e.Key, membership.Prefix):
		d.applyMember(e)
	case isRecord(e.Key):
		d.applyRecord(e)
	default:
		d.k.Records.Deliver(e)
	}
}

func (d *directory) applyMember(e store.Entry) {
	if e.Key == d.ownKey() {
		d.registration.Seen(e.Revision, e.Deleted)
		d.wake()
	}
	if e.Deleted {
		if m, ok := d.fleet.Remove(e.Key, time.Now()); ok {
			d.logMember("lapsed", &m)
		}
		return
	}
	m, err := membership.Decode(e.Key, e.Value, e.Revision)
	if err != nil {
		d.log.Warn("member_rejected", zap.String("key", e.Key), zap.Uint64("revision", e.Revision), zap.Error(err))
		return
	}
	if e.Key == d.ownKey() {
		d.inherit(&m)
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

// applyRecord takes one record of the operators.
func (d *directory) applyRecord(e store.Entry) {
	before := d.book.Snapshot()
	var value []byte
	if !e.Deleted {
		value = profile.Compact(e.Value)
	}
	applied, err := d.book.Apply(e.Key, e.Revision, value)
	d.log.Info("record", zap.String("key", e.Key), zap.Uint64("revision", e.Revision), zap.Stringer("applied", applied), zap.Error(err))
	d.highest.Store(d.book.Highest())
	d.snapshot.Store(d.book.Snapshot())
	d.logInForce(before, d.book.Snapshot())
}

// logInForce logs each service for which another profile is in force than before.
func (d *directory) logInForce(before, after *profile.Snapshot) {
	for _, b := range after.Bindings() {
		_, was, _ := before.ForService(b.Service)
		if b.Revision != was {
			d.log.Info("profile_in_force", zap.String("service", b.Service), zap.String("profile", b.Profile),
				zap.Uint64("revision", b.Revision), zap.String("pending", b.Pending))
		}
	}
}

// since returns the time on the clock of the directory, in nanoseconds.
func (d *directory) since() int64 { return int64(time.Since(d.started)) }

// confirm notes that the store answered some node that long ago.
func (d *directory) confirm(age time.Duration) {
	at := d.since() - int64(age)
	for {
		old := d.fresh.Load()
		if at <= old || d.fresh.CompareAndSwap(old, at) {
			return
		}
	}
}

// age returns how long ago the store is known to have answered some node.
func (d *directory) age() time.Duration { return time.Duration(d.since() - d.fresh.Load()) }
