package config

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/spread"
	"github.com/dogwoodhatch/dogwoodhatch/store"
)

const (
	topic           = "profile"
	tickInterval    = 100 * time.Millisecond
	exchangeTimeout = 3 * time.Second

	// watchWait is how long the store may hold a watch. A watch that went
	// silent is found after this time and the timeout of a call.
	watchWait = 2 * time.Second
)

// config is the plug-in. spreader, contacts, book and peers belong to the
// control goroutine.
type config struct {
	k        *kernel.Kernel
	log      *zap.Logger
	spreader *spread.Spreader
	contacts *spread.Contacts
	book     *profile.Book
	peers    peers
	snapshot atomic.Pointer[profile.Snapshot]
	highest  atomic.Uint64
	client   *store.Client // nil without a store
	watch    context.CancelFunc
	ctx      context.Context
	cancel   context.CancelFunc
}

func newConfig(k *kernel.Kernel) *config {
	now := time.Now()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	self := spread.Peer{
		ID: k.NodeID, Addr: k.Settings.Listen.Peer, GossipAddr: k.Settings.Listen.Gossip,
		Region: k.Settings.Node.Region, Domain: k.Settings.Node.FailureDomain,
	}
	if addr := k.Settings.Listen.AdvertisePeer; addr != "" {
		self.Addr = addr
	}
	c := &config{k: k, log: k.Log, book: profile.NewBook(), spreader: spread.New(spread.DefaultConfig(), self, rng, now)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.contacts = spread.NewContacts(spread.DefaultContactConfig(), self, c.spreader.Heartbeats(), rng, now)
	c.snapshot.Store(c.book.Snapshot())
	if url := k.Settings.Store.URL; url != "" {
		opts := store.DefaultOptions()
		opts.Timeout = k.Settings.Store.Timeout
		opts.WatchTimeout = watchWait
		c.client = store.NewClient(url, opts)
	}
	metrics.NewRegisteredFunctionalGauge("profile.revision", k.Metrics, func() int64 { return int64(c.highest.Load()) })
	return c
}

// Snapshot implements kernel.Policies.
func (c *config) Snapshot() *profile.Snapshot { return c.snapshot.Load() }

// Highest implements kernel.Policies.
func (c *config) Highest() uint64 { return c.highest.Load() }

// Learn implements kernel.Policies.
func (c *config) Learn(key string, revision uint64, value []byte) {
	c.k.Control.Go(func() { c.put([]store.Entry{{Key: key, Revision: revision, Value: value}}) })
}

// Start implements kernel.Plugin.
func (c *config) Start(context.Context) error {
	c.peers = peers{fleet: c.k.Fleet, self: c.k.NodeID}
	go c.tick()
	return nil
}

// Stop implements kernel.Plugin. A held contact slot is given up, so that
// another node takes it at once.
func (c *config) Stop(ctx context.Context) error {
	var actions []spread.Action
	c.k.Control.Do(func() { actions = c.contacts.Leave(time.Now()) })
	for _, a := range actions {
		if a.Kind == spread.ReleaseSlot && c.client != nil {
			c.revoke(ctx, a.Lease)
		}
	}
	c.cancel()
	return nil
}

func (c *config) tick() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.k.Control.Go(c.onTick)
		case <-c.ctx.Done():
			return
		}
	}
}

// onTick runs on the control goroutine.
func (c *config) onTick() {
	now := time.Now()
	c.peers.refresh(now)
	c.send(c.spreader.Tick(now, &c.peers))
	c.exchange(now)
	if c.client != nil {
		view := spread.View{Peers: c.peers.count(), Domain: func() []string { return c.peers.domain(c.k.Settings.Node.FailureDomain) }}
		c.run(c.contacts.Tick(now, view))
	}
	c.applyChanges()
}

func (c *config) send(list []spread.Message) {
	for _, m := range list {
		c.k.Datagrams.Send(kernel.ProtocolSpread, m.To, m.Payload)
	}
}

// handle takes a datagram of another node; it runs on the control goroutine.
func (c *config) handle(from string, payload []byte) {
	list, err := c.spreader.Handle(from, payload, time.Now())
	if err != nil {
		c.log.Warn("spread_rejected", zap.String("from", from), zap.Error(err))
	}
	c.send(list)
	c.applyChanges()
}

// exchange starts the sync with another node that is due.
func (c *config) exchange(now time.Time) {
	peer, payload, ok := c.spreader.SyncRequest(now, &c.peers)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, exchangeTimeout)
		defer cancel()
		reply, err := c.k.Transport.Exchange(ctx, peer.Addr, topic, payload)
		c.k.Control.Go(func() { c.exchanged(peer, reply, err) })
	}()
}

// exchanged runs on the control goroutine.
func (c *config) exchanged(peer spread.Peer, reply []byte, err error) {
	now := time.Now()
	if err == nil {
		err = c.spreader.SyncReply(peer.ID, reply, now)
	}
	if err != nil {
		c.spreader.SyncFailed(peer.ID, now)
		c.log.Debug("profile_sync_failed", zap.String("member", peer.ID), zap.Error(err))
	}
	c.applyChanges()
}

// serveExchange answers the sync of another node.
func (c *config) serveExchange(_ string, payload []byte) ([]byte, error) {
	var reply []byte
	var err error
	if !c.k.Control.Do(func() { reply, err = c.spreader.Sync(payload, time.Now()) }) {
		return nil, errs.New(errs.Unavailable, "ask another node", "this node has stopped")
	}
	return reply, err
}

// put takes records of the store; it runs on the control goroutine.
func (c *config) put(entries []store.Entry) {
	for _, e := range entries {
		if _, _, ok := profile.SplitKey(e.Key); !ok {
			continue
		}
		r := spread.Record{Key: e.Key, Revision: e.Revision, Value: compact(e.Value), Deleted: len(e.Value) == 0}
		if _, err := c.spreader.Put(r, time.Now()); err != nil {
			c.log.Warn("record_rejected", zap.String("key", e.Key), zap.Error(err))
		}
	}
	c.applyChanges()
}

// compact drops what only publishers need. An empty value is a deletion.
func compact(value []byte) []byte {
	if len(value) == 0 {
		return nil
	}
	return profile.Compact(value)
}

// applyChanges puts what is new into force; it runs on the control goroutine.
func (c *config) applyChanges() {
	changes := c.spreader.Changes()
	if len(changes) == 0 {
		return
	}
	for _, r := range changes {
		applied, err := c.book.Apply(r.Key, r.Revision, r.Value)
		c.log.Info("record", zap.String("key", r.Key), zap.Uint64("revision", r.Revision), zap.Stringer("applied", applied), zap.Error(err))
	}
	c.highest.Store(c.book.Highest())
	before := c.snapshot.Swap(c.book.Snapshot())
	c.logInForce(before, c.book.Snapshot())
}

// logInForce logs each service for which another profile is in force than before.
func (c *config) logInForce(before, after *profile.Snapshot) {
	for _, b := range after.Bindings() {
		_, was, _ := before.ForService(b.Service)
		if b.Revision != was {
			c.log.Info("profile_in_force", zap.String("service", b.Service), zap.String("profile", b.Profile),
				zap.Uint64("revision", b.Revision), zap.String("pending", b.Pending))
		}
	}
}
