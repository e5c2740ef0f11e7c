package quota

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/quota"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

const (
	// probeTimeout bounds the question whether an owner answers. It is twice the round trip
	// between regions, and less than messageTimeout, since an ask waits for it.
	probeTimeout = 100 * time.Millisecond

	// actingTime is how long a deputy acts for the owner before it probes it again. Until
	// then both grant tokens if the owner is back.
	actingTime = 500 * time.Millisecond

	// witnessCount is the number of nodes of other regions of which one must answer: a
	// deputy that reaches none is cut off itself.
	witnessCount = 3
)

// acting is the state of this node as the deputy of an owner that does not answer.
type acting struct {
	since time.Time // tokens are granted from a bucket that was empty then
	until time.Time
}

// grantor returns the node that grants the tokens of a shard: its owner or, while that does
// not answer, the deputy. The caller holds mu.
func (p *plugin) grantor(i int, now time.Time) quota.Node {
	owner := p.layout.Owner(i)
	if owner.ID == p.k.NodeID || !p.reachOf(owner.ID).Down(now) {
		return owner
	}
	return p.layout.Deputy(i)
}

// grantingSince returns since when this node grants the tokens of a shard, as its owner or
// as the deputy, and false if it does not. The caller holds mu.
func (p *plugin) grantingSince(i int, now time.Time) (time.Time, bool) {
	if since, owned := p.layout.OwnedSince(i); owned {
		return since, true
	}
	if a := p.acting[i]; a != nil && now.Before(a.until) {
		return a.since, true
	}
	return time.Time{}, false
}

// takeOver lets this node act for the owner of a team, if it is the deputy, the owner does
// not answer it and others do. It returns at once if that is known.
func (p *plugin) takeOver(team string) {
	p.mu.Lock()
	now := p.now()
	p.updateLayout(now)
	i := p.layout.Shard(team)
	owner := p.layout.Owner(i)
	_, granting := p.grantingSince(i, now)
	deputy := p.layout.Deputy(i).ID == p.k.NodeID
	witnesses := p.layout.Witnesses(witnessCount, owner.ID)
	p.mu.Unlock()
	if granting || !deputy || owner.ID == p.k.NodeID {
		return
	}
	ownerAnswers, others := p.probe(owner, witnesses)
	p.mu.Lock()
	defer p.mu.Unlock()
	now = p.now()
	if ownerAnswers || !others || p.layout.Owner(i).ID != owner.ID {
		if p.acting[i] != nil {
			p.log.Info("quota_deputy_ended", zap.String("owner", owner.ID), zap.Bool("owner_answers", ownerAnswers))
			delete(p.acting, i)
		}
		return
	}
	if p.acting[i] == nil {
		p.log.Info("quota_deputy_acts", zap.String("owner", owner.ID), zap.Int("shard", i))
		p.acting[i] = &acting{since: now}
	}
	p.acting[i].until = now.Add(actingTime)
}

// probeAgain finds out whether a node that is not asked answers again.
func (p *plugin) probeAgain(n quota.Node) {
	ctx, cancel := context.WithTimeout(p.ctx, probeTimeout)
	defer cancel()
	_, err := p.exchangeWithin(ctx, n, &wire.QuotaRequest{Owner: true})
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.reachOf(n.ID)
	if err == nil {
		r.Answered()
		return
	}
	r.Failed(p.now())
}

// probe reports whether an owner and any of the witnesses answer. It returns as soon as
// that is known.
func (p *plugin) probe(owner quota.Node, witnesses []quota.Node) (ownerAnswers, others bool) {
	ctx, cancel := context.WithTimeout(p.ctx, probeTimeout)
	defer cancel()
	ask := func(n quota.Node, answers chan<- bool) {
		_, err := p.exchangeWithin(ctx, n, &wire.QuotaRequest{Owner: true})
		answers <- err == nil
	}
	ofOwner := make(chan bool, 1)
	ofOthers := make(chan bool, len(witnesses))
	go ask(owner, ofOwner)
	for _, n := range witnesses {
		go ask(n, ofOthers)
	}
	if <-ofOwner {
		return true, true
	}
	for range witnesses {
		if <-ofOthers {
			return false, true
		}
	}
	return false, false
}
