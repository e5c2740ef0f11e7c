package quota

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/quota"
	"github.com/dogwoodhatch/dogwoodhatch/team"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

const topic = "quota"

// reportTimeout bounds a question for the use of teams.
const reportTimeout = time.Second

// flush asks the head of the group for what this node needs of a team. The caller holds mu.
func (p *plugin) flush(name string, l quota.Limit, now time.Time) {
	if p.node.DueTeam(name, now) == quota.NoNeed {
		return
	}
	ask, ok := p.node.CollectTeam(name, "", now)
	if !ok {
		return
	}
	p.metrics.asked.Inc(1)
	to := p.chooseHead(now)
	go p.askHead(to, ask, l, now)
}

// chooseHead returns the node to ask: the first head of the group that answers, or this
// node, which then asks the owner itself.
func (p *plugin) chooseHead(now time.Time) quota.Node {
	for _, h := range p.layout.Heads() {
		if !p.reachOf(h.ID).Down(now) {
			return h
		}
	}
	return quota.Node{ID: p.k.NodeID}
}

func (p *plugin) reachOf(id string) *quota.Reach {
	r := p.reach[id]
	if r == nil {
		r = &quota.Reach{}
		p.reach[id] = r
	}
	return r
}

// askHead sends an ask to a head and applies the answer.
func (p *plugin) askHead(to quota.Node, ask quota.Ask, l quota.Limit, sent time.Time) {
	var grants []quota.Grant
	unserved, decider := false, byOwner
	failed := false
	if to.ID == p.k.NodeID {
		g, un, fromHead := p.serveAsk(ask, l.Quota)
		grants, unserved = []quota.Grant{g}, un
		if fromHead {
			decider = byHead
		}
	} else if reply, err := p.exchange(to, &wire.QuotaRequest{Asks: []*wire.QuotaAsk{encodeAsk(&ask, l.Quota)}}); err != nil || len(reply.GetGrants()) != 1 {
		failed = true
	} else {
		g := reply.GetGrants()[0]
		grants, unserved = []quota.Grant{decodeGrant(g)}, g.GetUnserved()
		if g.GetFromHead() {
			decider = byHead
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.noteReach(to.ID, failed, now)
	p.node.Apply([]quota.Ask{ask}, grants, to.ID, sent, now)
	if unserved {
		p.node.Unserved(ask.Team, now)
	}
	a := p.waitFor(ask.Team)
	a.decider = decider
	close(a.changed)
	a.changed = make(chan struct{})
	p.flush(ask.Team, l, now)
}

// noteReach remembers whether a node has answered. The caller holds mu.
func (p *plugin) noteReach(id string, failed bool, now time.Time) {
	if id == p.k.NodeID {
		return
	}
	if !failed {
		p.reachOf(id).Answered()
		return
	}
	r := p.reachOf(id)
	if r.Failed(now); r.Down(now) {
		p.log.Info("quota_node_not_asked", zap.String("member", id))
	}
}

// exchange sends a request to a node and returns its reply.
func (p *plugin) exchange(to quota.Node, req *wire.QuotaRequest) (*wire.QuotaReply, error) {
	ctx, cancel := context.WithTimeout(p.ctx, messageTimeout)
	defer cancel()
	return p.exchangeWithin(ctx, to, req)
}

func (p *plugin) exchangeWithin(ctx context.Context, to quota.Node, req *wire.QuotaRequest) (*wire.QuotaReply, error) {
	p.mu.Lock()
	addr := p.addresses[to.ID]
	p.mu.Unlock()
	if addr == "" {
		return nil, errs.New(errs.Unavailable, "ask again once the membership is known", "node %s has no address", to.ID)
	}
	payload, err := p.k.Transport.Exchange(ctx, addr, topic, wire.Encode(req))
	if err != nil {
		return nil, err
	}
	reply := &wire.QuotaReply{}
	return reply, wire.Decode(payload, reply)
}

// serveExchange handles a QuotaRequest.
func (p *plugin) serveExchange(_ string, payload []byte) ([]byte, error) {
	req := &wire.QuotaRequest{}
	if err := wire.Decode(payload, req); err != nil {
		return nil, err
	}
	reply := &wire.QuotaReply{}
	switch {
	case req.GetReport():
		reply.Uses = p.encodeUses()
	case req.GetOwner():
		p.serveOwner(req, reply)
	default:
		for _, a := range req.GetAsks() {
			g, unserved, fromHead := p.serveAsk(decodeAsk(a), quotaOf(a))
			grant := encodeGrant(&g)
			grant.Unserved, grant.FromHead = unserved, fromHead
			reply.Grants = append(reply.Grants, grant)
		}
	}
	return wire.Encode(reply), nil
}

// serveAsk answers the ask of a node of the group. It waits up to ownerTimeout for the
// owner if there is no token. unserved is true if the owner could not be reached, and
// fromHead if it was not asked.
func (p *plugin) serveAsk(ask quota.Ask, asked team.Quota) (g quota.Grant, unserved, fromHead bool) {
	timer := time.NewTimer(p.ownerTimeout)
	defer timer.Stop()
	received := p.now()
	for first := true; ; first = false {
		g, answered, unserved := p.tryServe(ask, asked, received, first)
		if answered == nil {
			return g, unserved, first
		}
		select {
		case <-answered:
		case <-timer.C:
			return quota.Grant{Team: ask.Team}, p.ownerSilent(ask.Team), false
		case <-p.ctx.Done():
			return quota.Grant{Team: ask.Team}, true, false
		}
	}
}

// tryServe answers an ask if it can, and otherwise returns a channel that is closed by the
// next answer of the owner.
func (p *plugin) tryServe(ask quota.Ask, asked team.Quota, received time.Time, first bool) (quota.Grant, <-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.updateLayout(now)
	l := p.limit(ask.Team, asked)
	if !l.Quota.Limited() {
		return quota.Grant{Team: ask.Team}, nil, true // the limit has just been removed or is not known here
	}
	i := p.layout.Shard(ask.Team)
	h := p.headOf(i)
	g, done := h.holder.Serve(ask, l, first, now)
	urgency := h.holder.DueTeam(ask.Team, now)
	if done {
		g.Held = now.Sub(received) // Remaining counts from now
		p.pump(i, urgency, now)
		return g, nil, false
	}
	if p.reachOf(p.grantor(i, now).ID).Down(now) {
		return quota.Grant{Team: ask.Team}, nil, true
	}
	answered := h.answered // pump closes it if this node is the owner itself
	p.pump(i, urgency, now)
	return g, answered, false
}

// headOf returns the state as a head of one shard.
func (p *plugin) headOf(i int) *head {
	h := p.heads[i]
	if h == nil {
		h = &head{holder: quota.NewHolder(quota.HeadTier()), answered: make(chan struct{})}
		p.heads[i] = h
		select {
		case p.active <- struct{}{}:
		default:
		}
	}
	return h
}

// ownerSilent reports whether the owner of a team has not answered the last message.
func (p *plugin) ownerSilent(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	owner := p.grantor(p.layout.Shard(name), p.now())
	return owner.ID != p.k.NodeID && p.reachOf(owner.ID).Failing()
}

// pump sends the asks of one shard to its owner if something is needed, as the urgency says.
// The caller holds mu.
func (p *plugin) pump(i int, u quota.Urgency, now time.Time) {
	h := p.heads[i]
	owner := p.grantor(i, now)
	local := owner.ID == p.k.NodeID
	if u == quota.NoNeed || !local && p.reachOf(owner.ID).Down(now) {
		return
	}
	if !local && !h.pacer.Allow(u, now) {
		if u == quota.Urgent {
			p.pumpLater(i, h)
		}
		return
	}
	asks := h.holder.Collect(owner.ID, now)
	if len(asks) == 0 {
		return
	}
	if local {
		if _, granting := p.grantingSince(i, now); !granting {
			go p.takeOver(asks[0].Team)
		}
		p.applyOwner(h, asks, p.grant(asks, nil, now), owner.ID, now, now)
		return
	}
	p.metrics.asked.Inc(1)
	req := &wire.QuotaRequest{Owner: true}
	for i := range asks {
		req.Asks = append(req.Asks, encodeAsk(&asks[i], h.holder.Quota(asks[i].Team)))
	}
	go p.askOwner(h, owner, asks, req, now)
}

// pumpLater pumps again once the pace of messages allows it.
func (p *plugin) pumpLater(i int, h *head) {
	if h.waiting {
		return
	}
	h.waiting = true
	time.AfterFunc(h.pacer.UrgentWait(p.now()), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		h.waiting = false
		if p.heads[i] == h && p.ctx.Err() == nil {
			p.pump(i, quota.Urgent, p.now())
		}
	})
}

// askOwner sends asks to the owner of their teams and applies the answer.
func (p *plugin) askOwner(h *head, owner quota.Node, asks []quota.Ask, req *wire.QuotaRequest, sent time.Time) {
	reply, err := p.exchange(owner, req)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	failed := err != nil || reply.GetNotOwner()
	p.noteReach(owner.ID, failed, now)
	var grants []quota.Grant
	if !failed {
		for _, g := range reply.GetGrants() {
			grants = append(grants, decodeGrant(g))
		}
	}
	p.applyOwner(h, asks, grants, owner.ID, sent, now)
}

// applyOwner applies the answer of an owner and wakes the asks that wait for it. The
// caller holds mu.
func (p *plugin) applyOwner(h *head, asks []quota.Ask, grants []quota.Grant, owner string, sent, now time.Time) {
	h.holder.Apply(asks, grants, owner, sent, now)
	close(h.answered)
	h.answered = make(chan struct{})
}

// serveOwner answers the asks of a head, unless this node does not own the teams.
func (p *plugin) serveOwner(req *wire.QuotaRequest, reply *wire.QuotaReply) {
	for _, a := range req.GetAsks() {
		p.takeOver(a.GetTeam())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.updateLayout(now)
	var asks []quota.Ask
	asked := map[string]team.Quota{}
	for _, a := range req.GetAsks() {
		if _, granting := p.grantingSince(p.layout.Shard(a.GetTeam()), now); !granting {
			reply.NotOwner = true
			return
		}
		asks = append(asks, decodeAsk(a))
		asked[a.GetTeam()] = quotaOf(a)
	}
	for _, g := range p.grant(asks, asked, now) {
		reply.Grants = append(reply.Grants, encodeGrant(&g))
	}
}

// grant answers asks about teams that this node owns. The caller holds mu.
func (p *plugin) grant(asks []quota.Ask, asked map[string]team.Quota, now time.Time) []quota.Grant {
	grants := make([]quota.Grant, 0, len(asks))
	for _, ask := range asks {
		i := p.layout.Shard(ask.Team)
		q, ok := asked[ask.Team]
		if !ok {
			q = p.headOf(i).holder.Quota(ask.Team)
		}
		l := p.limit(ask.Team, q)
		since, granting := p.grantingSince(i, now)
		if !granting || !l.Quota.Limited() {
			continue
		}
		grants = append(grants, p.ledger.Ask(ask, l, since, now))
	}
	return grants
}

// uses returns the use of the teams that this node owns.
func (p *plugin) uses() []quota.Use {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.updateLayout(now)
	return p.ledger.Use(now, func(name string) bool {
		_, granting := p.grantingSince(p.layout.Shard(name), now)
		return granting
	})
}

// Uses implements kernel.Quotas.
func (p *plugin) Uses(ctx context.Context) ([]quota.Use, error) {
	p.mu.Lock()
	p.updateLayout(p.now())
	owners := p.layout.Owners()
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var mu sync.Mutex
	var list []quota.Use
	var first error
	var wg sync.WaitGroup
	for _, owner := range owners {
		wg.Go(func() {
			uses, err := p.usesOf(ctx, owner)
			mu.Lock()
			defer mu.Unlock()
			list = append(list, uses...)
			if err != nil && first == nil {
				first = errs.Wrap(err, errs.Unavailable, "try again, or ask a node in the region of the owner", "owner %s of some teams does not answer", owner.ID)
			}
		})
	}
	wg.Wait()
	slices.SortFunc(list, func(a, b quota.Use) int { return cmp.Compare(a.Team, b.Team) })
	return list, first
}

func (p *plugin) usesOf(ctx context.Context, owner quota.Node) ([]quota.Use, error) {
	if owner.ID == p.k.NodeID {
		return p.uses(), nil
	}
	reply, err := p.exchangeWithin(ctx, owner, &wire.QuotaRequest{Report: true})
	if err != nil {
		return nil, err
	}
	var list []quota.Use
	for _, u := range reply.GetUses() {
		q := team.Quota{PerSecond: u.GetPerSecond(), Burst: u.GetBurst()}
		list = append(list, quota.Use{Team: u.GetTeam(), Limit: p.bound.Limit(q), Granted: int(u.GetGranted()), Refused: int(u.GetRefused())})
	}
	return list, nil
}

func (p *plugin) encodeUses() []*wire.QuotaUse {
	var list []*wire.QuotaUse
	for _, u := range p.uses() {
		list = append(list, &wire.QuotaUse{Team: u.Team, PerSecond: u.Limit.Quota.PerSecond, Burst: u.Limit.Quota.Burst, Granted: uint32(u.Granted), Refused: uint32(u.Refused)})
	}
	return list
}
