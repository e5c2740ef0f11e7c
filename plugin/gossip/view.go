package gossip

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/membership"
)

// view is an immutable copy of the membership.
type view struct {
	version  uint64
	all      []membership.Member
	services map[string][]membership.Member
}

// publish replaces the view; it runs on the control goroutine.
func (g *gossip) publish() {
	v := &view{version: g.table.Version(), all: g.table.All(), services: map[string][]membership.Member{}}
	for _, m := range v.all {
		if m.Service != "" && (m.State == membership.Alive || m.State == membership.Suspect) {
			v.services[m.Service] = append(v.services[m.Service], m)
		}
	}
	g.view.Store(v)
}

// Version implements kernel.Fleet.
func (g *gossip) Version() uint64 { return g.view.Load().version }

// Members implements kernel.Fleet.
func (g *gossip) Members(service string) []membership.Member { return g.view.Load().services[service] }

// All implements kernel.Fleet.
func (g *gossip) All() []membership.Member { return g.view.Load().all }

// Announce implements kernel.Fleet.
func (g *gossip) Announce(service string) {
	go g.k.Control.Do(func() {
		if service == "" && !g.announce {
			return
		}
		if err := g.table.Announce(service, time.Now()); err != nil {
			g.log.Warn("announce_rejected", zap.Error(err))
		}
		g.send(g.table.Tick(time.Now()))
		g.publish()
	})
}

// Join implements kernel.Fleet.
func (g *gossip) Join(contacts []string) {
	for _, c := range contacts {
		if !slices.Contains(g.contacts, c) {
			g.contacts = append(g.contacts, c)
		}
	}
	g.send(g.table.Join(g.contacts, time.Now()))
}

// Leave implements kernel.Fleet.
func (g *gossip) Leave() {
	if !g.announce {
		return
	}
	g.k.Control.Do(func() {
		g.send(g.table.Leave(time.Now()))
		g.publish()
	})
}
