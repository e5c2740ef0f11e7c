package gossip

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/membership"
)

// view is an immutable copy of the membership. Members that may be called come
// first, grouped by service, so that the members of a service are a part of all.
type view struct {
	version  uint64
	all      []membership.Member
	services map[string][]membership.Member
}

// callable tells whether calls may be sent to the member.
func callable(m *membership.Member) bool {
	return m.Service != "" && (m.State == membership.Alive || m.State == membership.Suspect)
}

// newView copies the table in two passes: one counts the members of each
// service, one puts them into place.
func newView(t *membership.Table) *view {
	counts := map[string]int{}
	t.Each(func(m *membership.Member) {
		if callable(m) {
			counts[m.Service]++
		}
	})
	v := &view{version: t.Version(), all: make([]membership.Member, t.Live()), services: make(map[string][]membership.Member, len(counts))}
	rest := 0
	for service, n := range counts {
		v.services[service] = v.all[rest : rest : rest+n]
		rest += n
	}
	t.Each(func(m *membership.Member) {
		if callable(m) {
			v.services[m.Service] = append(v.services[m.Service], *m)
			return
		}
		v.all[rest] = *m
		rest++
	})
	return v
}

// publish replaces the view; it runs on the control goroutine.
func (g *gossip) publish() { g.view.Store(newView(g.table)) }

// Version implements kernel.Fleet.
func (g *gossip) Version() uint64 { return g.view.Load().version }

// Members implements kernel.Fleet.
func (g *gossip) Members(service string) []membership.Member { return g.view.Load().services[service] }

// All implements kernel.Fleet.
func (g *gossip) All() []membership.Member { return g.view.Load().all }

// Lookup implements kernel.Fleet.
func (g *gossip) Lookup(id string) (membership.Member, bool) { return g.table.Lookup(id) }

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
