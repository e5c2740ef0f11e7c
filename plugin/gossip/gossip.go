package gossip

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
)

const (
	topic           = "membership"
	tickInterval    = 100 * time.Millisecond
	exchangeTimeout = 3 * time.Second

	// viewCostFactor is the least ratio of the time between two views to the
	// time that one takes; copying 30,000 members takes some 20 ms.
	viewCostFactor = 20
)

// gossip is the plug-in. table belongs to the control goroutine.
type gossip struct {
	k        *kernel.Kernel
	log      *zap.Logger
	announce bool // tell others that this node is leaving
	table    *membership.Table
	contacts []string
	cancel   context.CancelFunc
	view     atomic.Pointer[view]
	nextView time.Time
}

func newGossip(k *kernel.Kernel, self membership.Member, announce bool) (*gossip, error) {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	table, err := membership.New(membership.DefaultConfig(), self, rng, time.Now())
	if err != nil {
		return nil, err
	}
	g := &gossip{k: k, log: k.Log, announce: announce, table: table}
	g.publish()
	return g, nil
}

// Start implements kernel.Plugin.
func (g *gossip) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.k.Control.Go(func() { g.Join(g.k.Settings.Contacts.Addresses) })
	go g.tick(ctx)
	return nil
}

// Stop implements kernel.Plugin. The last packets tell that this node is gone.
func (g *gossip) Stop(context.Context) error {
	if g.announce {
		g.k.Control.Do(func() { g.send(g.table.Stop(time.Now())) })
	}
	g.cancel()
	return nil
}

func (g *gossip) tick(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			g.k.Control.Go(g.onTick)
		case <-ctx.Done():
			return
		}
	}
}

// onTick runs on the control goroutine.
func (g *gossip) onTick() {
	now := time.Now()
	g.send(g.table.Tick(now))
	g.exchange(now)
	g.logEvents()
	if g.view.Load().version != g.table.Version() && !now.Before(g.nextView) {
		g.publish()
		g.nextView = time.Now().Add(viewCostFactor * time.Since(now))
	}
}

// exchange starts the anti-entropy exchange that is due.
func (g *gossip) exchange(now time.Time) {
	peer, payload, ok := g.table.ExchangeRequest(now)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
		defer cancel()
		reply, err := g.k.Transport.Exchange(ctx, peer.Addr, topic, payload)
		g.k.Control.Go(func() { g.exchanged(peer, reply, err) })
	}()
}

// exchanged runs on the control goroutine.
func (g *gossip) exchanged(peer membership.Member, reply []byte, err error) {
	now := time.Now()
	if err == nil {
		err = g.table.ExchangeReply(peer.ID, reply, now)
	}
	if err != nil {
		g.table.ExchangeFailed(peer.ID, now)
		g.log.Debug("membership_exchange_failed", zap.String("member", peer.ID), zap.Error(err))
	}
}

// serveExchange answers the exchange of another node.
func (g *gossip) serveExchange(_ string, payload []byte) ([]byte, error) {
	var reply []byte
	var err error
	ran := g.k.Control.Do(func() { reply, err = g.table.Exchange(payload, time.Now()) })
	if !ran {
		return nil, errs.New(errs.Unavailable, "ask another node", "this node has stopped")
	}
	return reply, err
}

// handle takes a datagram; it runs on the control goroutine.
func (g *gossip) handle(from string, payload []byte) {
	packets, err := g.table.Handle(from, payload, time.Now())
	if err != nil {
		g.log.Warn("gossip_rejected", zap.String("from", from), zap.Error(err))
	}
	g.send(packets)
}

func (g *gossip) send(packets []membership.Packet) {
	for _, p := range packets {
		g.k.Datagrams.Send(kernel.ProtocolMembership, p.To, p.Payload)
	}
}

func (g *gossip) logEvents() {
	for _, e := range g.table.Events() {
		g.log.Info("member_"+e.Kind.String(), zap.String("member", e.Member.ID), zap.String("service", e.Member.Service),
			zap.String("region", e.Member.Region), zap.String("failure_domain", e.Member.Domain), zap.Uint64("incarnation", e.Member.Incarnation))
	}
}
