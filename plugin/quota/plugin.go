package quota

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/quota"
	"github.com/dogwoodhatch/dogwoodhatch/team"
)

const (
	// tokenTimeout is how long a request waits for a token, and tokenWaitFraction the part of
	// its time left that this may take. A round trip between regions takes 42 ms.
	tokenTimeout      = 60 * time.Millisecond
	tokenWaitFraction = 10

	// ownerTimeout is how long a head holds an ask back for an answer of the owner.
	ownerTimeout = 50 * time.Millisecond

	// messageTimeout bounds one message. Tokens that arrive after the requests have given
	// up serve later ones.
	messageTimeout = 150 * time.Millisecond

	// renewTick is the time between two checks for tokens to renew, while there is demand.
	renewTick = 50 * time.Millisecond

	// idleTick is the time between two checks of the membership without demand. A node
	// that has become the owner of teams must note when.
	idleTick = 250 * time.Millisecond

	// sweepInterval is the time between two removals of state that is not needed any more.
	sweepInterval = 10 * time.Second

	// noTeamsTick replaces idleTick while the desired state has no teams.
	noTeamsTick = 2 * time.Second

	// retryAloneMin and retryAloneMax bound the time told to requests refused by an
	// isolated node, which does not know when it will reach others again.
	retryAloneMin = time.Second
	retryAloneMax = 2 * time.Second

	// retryJitter is the largest part by which a told time is exceeded, so that clients
	// that were refused together do not return together.
	retryJitter = 0.25
)

// Deciders of refusals, as logged.
const (
	byNode     = "node"
	byHead     = "head"
	byOwner    = "owner"
	byIsolated = "isolated"
)

// plugin implements kernel.Quotas.
type plugin struct {
	k     *kernel.Kernel
	log   *zap.Logger
	bound quota.Bound
	now   func() time.Time // replaced in tests
	// tokenTimeout and ownerTimeout are those of the constants; tests that do not measure the
	// machine raise them.
	tokenTimeout time.Duration
	ownerTimeout time.Duration
	team         func(name string) *team.Team
	ctx          context.Context
	cancel       context.CancelFunc
	metrics      *counters
	active       chan struct{} // has one element if demand has begun

	mu        sync.Mutex
	layout    *quota.Layout
	version   uint64            // of the membership in layout
	addresses map[string]string // by node ID
	node      *quota.Holder
	heads     map[int]*head // by shard
	ledger    *quota.Ledger
	isolated  map[string]*quota.Isolated // by team
	reach     map[string]*quota.Reach    // by node ID
	answered  map[string]*answer         // by team
	acting    map[int]*acting            // by shard; this node grants for an owner that does not answer
	sweptAt   time.Time
}

// head is the state of this node as a group head, for the teams of one shard.
type head struct {
	holder   *quota.Holder
	pacer    quota.Pacer
	answered chan struct{} // closed by the next answer of the owner
	waiting  bool          // a timer will pump again
}

// answer signals the next answer about a team to the requests that wait for it.
type answer struct {
	changed chan struct{}
	decider string // of the last refusal
}

func newPlugin(k *kernel.Kernel) *plugin {
	now := time.Now()
	s := k.Settings
	p := &plugin{
		k: k, log: k.Log, now: time.Now, tokenTimeout: tokenTimeout, ownerTimeout: ownerTimeout, active: make(chan struct{}, 1),
		bound:  quota.Bound{Window: s.Bounds.QuotaWindow, Over: s.Bounds.QuotaOver, Slack: s.Bounds.QuotaSlack},
		team:   func(name string) *team.Team { return teamInForce(k, name) },
		layout: quota.NewLayout(quota.Node{ID: k.NodeID, VM: vmOf(k.NodeID), Region: s.Node.Region}, now),
		node:   quota.NewHolder(quota.NodeTier()), heads: map[int]*head{}, ledger: quota.NewLedger(now),
		isolated: map[string]*quota.Isolated{}, reach: map[string]*quota.Reach{}, answered: map[string]*answer{}, acting: map[int]*acting{},
		addresses: map[string]string{}, sweptAt: now, metrics: newCounters(k.Metrics),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// teamInForce returns the team with a name in the desired state in force, or nil if it is
// not known. Asks carry the quota that their sender knows, which then counts.
func teamInForce(k *kernel.Kernel, name string) *team.Team {
	if t := k.Routes.Current(); t != nil {
		return t.Teams.Find(name)
	}
	return nil
}

// vmOf returns the name of the VM of a node, whose ID is that name and a random part.
func vmOf(id string) string {
	if i := strings.LastIndexByte(id, '-'); i > 0 {
		return id[:i]
	}
	return id
}

// Start implements kernel.Plugin.
func (p *plugin) Start(context.Context) error {
	go p.run()
	return nil
}

// Stop implements kernel.Plugin.
func (p *plugin) Stop(context.Context) error {
	p.cancel()
	return nil
}

// Take implements kernel.Quotas.
func (p *plugin) Take(ctx context.Context, t *team.Team, deadline time.Time) (quota.Token, call.Result) {
	if t == nil || !t.Quota.Limited() {
		return quota.Token{}, call.Result{}
	}
	l := p.limitOf(t.Quota)
	timer := time.NewTimer(min(p.tokenTimeout, max(time.Until(deadline)/tokenWaitFraction, 0)))
	defer timer.Stop()
	for first := true; ; first = false {
		token, res, changed := p.decide(t.Name, l, first)
		if changed == nil {
			return token, res
		}
		select {
		case <-changed:
		case <-timer.C:
			return p.decideAlone(t.Name, l)
		case <-ctx.Done():
			return p.decideAlone(t.Name, l)
		}
	}
}

// decide decides on a request, for the first time or again after an answer. If the request
// must wait, it returns a channel that is closed by the next answer. The time is read under
// the lock at each decision, so that a process that was stopped in between compares the
// expiry of tokens with the time after it.
func (p *plugin) decide(name string, l quota.Limit, first bool) (quota.Token, call.Result, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.updateLayout(now)
	var v quota.Verdict
	decider := byNode
	if first {
		v = p.node.Request(name, l, now)
	} else {
		v = p.node.Again(name, l, now)
		if a := p.answered[name]; a != nil && a.decider != "" {
			decider = a.decider
		}
	}
	p.flush(name, l, now)
	switch v.Kind {
	case quota.Admit:
		p.metrics.granted.Inc(1)
		v.Token.Team = name
		return v.Token, call.Result{}, nil
	case quota.Refuse:
		return quota.Token{DecidedBy: decider}, p.refuse(name, v.Retry), nil
	case quota.Alone:
		token, res := p.alone(name, l, now)
		return token, res, nil
	}
	return quota.Token{}, call.Result{}, p.waitFor(name).changed
}

// decideAlone decides on a request that got no token in time.
func (p *plugin) decideAlone(name string, l quota.Limit) (quota.Token, call.Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	// A token may have arrived together with the end of the wait.
	if v := p.node.Again(name, l, now); v.Kind == quota.Admit {
		p.metrics.granted.Inc(1)
		v.Token.Team = name
		return v.Token, call.Result{}
	}
	return p.alone(name, l, now)
}

// alone decides by the rule for isolated nodes.
func (p *plugin) alone(name string, l quota.Limit, now time.Time) (quota.Token, call.Result) {
	i := p.isolated[name]
	if i == nil {
		i = &quota.Isolated{}
		p.isolated[name] = i
	}
	p.metrics.isolated.Inc(1)
	if i.Take(&l, p.layout.Size(), now) {
		return quota.Token{Team: name, DecidedBy: byIsolated}, call.Result{}
	}
	retry := retryAloneMin + rand.N(retryAloneMax-retryAloneMin)
	return quota.Token{DecidedBy: byIsolated}, p.refuse(name, retry)
}

func (p *plugin) refuse(name string, retry time.Duration) call.Result {
	p.metrics.refuse(name)
	retry += time.Duration(rand.Float64() * retryJitter * float64(retry))
	return call.Result{Outcome: call.Refused, Reason: call.ReasonQuota, RetryAfter: retry}
}

// waitFor returns the signal of the next answer about a team.
func (p *plugin) waitFor(name string) *answer {
	a := p.answered[name]
	if a == nil {
		a = &answer{changed: make(chan struct{})}
		p.answered[name] = a
	}
	return a
}

// Return implements kernel.Quotas.
func (p *plugin) Return(t quota.Token) {
	if t.Team == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.node.Return(t.Team, t, p.now())
}

// limit returns the limit of a team: that of the desired state in force or, if it sets none,
// the one that the asking node knows.
func (p *plugin) limit(name string, asked team.Quota) quota.Limit {
	if t := p.team(name); t != nil && t.Quota.Limited() {
		return p.limitOf(t.Quota)
	}
	return p.limitOf(asked)
}

// limitOf returns the limit of a quota, rounded as in asks: holders and accounts take a
// quota that differs from the last one for a change.
func (p *plugin) limitOf(q team.Quota) quota.Limit {
	return p.bound.Limit(team.Quota{PerSecond: float64(float32(q.PerSecond)), Burst: float64(float32(q.Burst))})
}

// updateLayout follows changes of the membership.
func (p *plugin) updateLayout(now time.Time) {
	version := p.k.Fleet.Version()
	if version == p.version && p.version != 0 {
		return
	}
	p.version = version
	members := usable(p.k.Fleet.All())
	nodes := make([]quota.Node, 0, len(members))
	clear(p.addresses)
	for _, m := range members {
		nodes = append(nodes, quota.Node{ID: m.ID, VM: vmOf(m.ID), Region: m.Region})
		p.addresses[m.ID] = m.Addr
	}
	shards := p.layout.Shards()
	p.layout.Update(nodes, now)
	if p.layout.Shards() != shards {
		clear(p.heads) // their teams belong to other shards now; the tokens are lost
		clear(p.acting)
	}
	for id := range p.reach {
		if _, ok := p.addresses[id]; !ok {
			delete(p.reach, id)
		}
	}
}

// usable returns the members that count for the layout: those with a record in the store.
// If many have none, it is the store that has lost their leases, and all count: otherwise
// each node would soon be the owner of all teams.
func usable(all []membership.Member) []membership.Member {
	var alive []membership.Member
	for _, m := range all {
		if m.State != membership.Lapsed {
			alive = append(alive, m)
		}
	}
	if len(alive)*3 < len(all)*2 {
		return all
	}
	// A node whose backend server has left may stop soon, and its record outlives it.
	var serving []membership.Member
	for _, m := range alive {
		if m.Service != "" {
			serving = append(serving, m)
		}
	}
	if len(serving)*3 < len(alive)*2 {
		return alive
	}
	return serving
}

// run renews tokens ahead of demand and follows the membership.
func (p *plugin) run() {
	for {
		wait := idleTick
		switch {
		case p.tick():
			wait = renewTick
		case !p.hasTeams():
			wait = noTeamsTick
		}
		select {
		case <-time.After(wait):
		case <-p.active:
		case <-p.ctx.Done():
			return
		}
	}
}

// hasTeams reports whether the desired state has teams.
func (p *plugin) hasTeams() bool {
	t := p.k.Routes.Current()
	return t != nil && t.Teams != nil
}

// tick asks for what is needed, and reports whether there is demand at this node as a head.
func (p *plugin) tick() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.updateLayout(now)
	if now.Sub(p.sweptAt) >= sweepInterval {
		p.sweep(now)
	}
	for i, h := range p.heads {
		p.pump(i, h.holder.Due(now), now)
	}
	for id, r := range p.reach {
		if r.ProbeDue(now) {
			go p.probeAgain(quota.Node{ID: id})
		}
	}
	return len(p.heads) > 0
}

// sweep removes state of teams without requests.
func (p *plugin) sweep(now time.Time) {
	p.sweptAt = now
	p.node.Sweep(now)
	p.ledger.Sweep(now)
	for i, h := range p.heads {
		if h.holder.Sweep(now); h.holder.Empty() {
			delete(p.heads, i)
		}
	}
	for name := range p.answered {
		if !p.node.Knows(name) {
			delete(p.answered, name)
			delete(p.isolated, name)
		}
	}
	p.metrics.publishTop()
}
