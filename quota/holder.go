package quota

import (
	"math"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/team"
)

// Tier is the place of a Holder: a node or the head of a group.
type Tier struct {
	// Horizon is the time for whose expected demand tokens are held.
	Horizon time.Duration
	// Share is the part of the stock that all holders of the fleet may hold unused
	// together, for the holders of this tier.
	Share float64
	// MinStock is the least number of tokens held for a team whose demand within the
	// lifetime of a token is at least minStockDemand.
	MinStock int
	// Margin is the time before their expiry at which tokens are renewed.
	Margin time.Duration
	// MinBlocked is the least time for which a refusal is remembered.
	MinBlocked time.Duration
}

// NodeTier is the tier of nodes. A node reaches its head in a few milliseconds, so only
// teams with many requests at the node need tokens ahead.
func NodeTier() Tier {
	return Tier{Horizon: 60 * time.Millisecond, Share: 0.3, MinBlocked: minBlocked}
}

// HeadTier is the tier of group heads. The horizon covers the time between two messages to
// an owner and the round trip between regions.
func HeadTier() Tier {
	return Tier{Horizon: 250 * time.Millisecond, Share: 0.7, MinStock: 2, Margin: 200 * time.Millisecond, MinBlocked: 60 * time.Millisecond}
}

const (
	// minStockDemand is the expected number of requests within the lifetime of a token
	// from which on a head keeps tokens of a small team. minStockRate is more than a
	// single request of late makes for, which often is the only one of its team.
	minStockDemand = 0.3
	minStockRate   = 0.3 // per second

	// usualUse is the part of its rate that a team usually uses: limits are 1.6 times the
	// usual demand. Unused tokens may fill what this leaves of the pool.
	usualUse = 0.625

	// stockSafety is the part of that room which is filled.
	stockSafety = 0.7

	// renewFraction is the part of the wanted tokens below which a holder asks for more.
	renewFraction = 0.75

	// aheadOfWaiting is the number of tokens asked for ahead for each request beyond the
	// first fewWaiting that waits, so that demand which begins at once is met after a
	// round trip.
	aheadOfWaiting = 3
	fewWaiting     = 2

	// renewsPerHorizon bounds the asks for expected requests of a team that get no token.
	renewsPerHorizon = 4

	// minTransit is the least time that tokens must have left to be worth sending.
	minTransit = 5 * time.Millisecond
)

// VerdictKind is the decision of a Holder about a request.
type VerdictKind uint8

// Decisions about a request.
const (
	Admit  VerdictKind = iota + 1
	Refuse             // Retry says when to try again
	Wait               // for an answer to an ask
	Alone              // the owner could not be reached lately; the rule for isolated nodes decides
)

// Verdict is a decision with its parameters.
type Verdict struct {
	Kind  VerdictKind
	Token Token
	Retry time.Duration
}

// Token is the right to run one request of a team. It is zero for requests without a
// limit.
type Token struct {
	Team      string
	Expires   time.Time
	DecidedBy string // who has decided on the request, if it was not a holder of tokens

	stamp int64
	from  string
}

// Holder holds granted tokens of teams until they expire and decides which to ask for.
type Holder struct {
	tier  Tier
	teams map[string]*holding
}

// holding is the state of one team at a holder.
type holding struct {
	limit        Limit
	batches      []batch // by expiry
	want         int     // requests waiting for tokens that have not been asked for
	asked        int     // asks without an answer
	askedAhead   int     // tokens asked for ahead in these
	arrived      int     // requests since the last ask
	refused      int     // of these, refused here
	demand       demand
	blockedUntil time.Time // no ask before
	aloneUntil   time.Time // the owner could not be reached
	renewAt      time.Time // no ask only for expected requests before
	place        time.Time // place of the next refused request
	used         time.Time // time of the last request
}

// batch is a number of tokens of one grant.
type batch struct {
	tokens  int
	expires time.Time
	stamp   int64
	from    string // who granted them
}

// NewHolder returns a holder without tokens.
func NewHolder(t Tier) *Holder { return &Holder{tier: t, teams: map[string]*holding{}} }

// team returns the holding of a team, with the limit applied and expired tokens removed.
func (h *Holder) team(name string, l Limit, now time.Time) *holding {
	e := h.teams[name]
	if e == nil {
		e = &holding{limit: l, used: now}
		h.teams[name] = e
	}
	if e.limit.Quota != l.Quota {
		e.setLimit(l, now)
	}
	e.expire(now)
	return e
}

// setLimit changes the limit. Tokens beyond those of the new limit are dropped.
func (e *holding) setLimit(l Limit, now time.Time) {
	e.limit = l
	e.blockedUntil, e.place = now, now
	keep := int(l.Quota.PerSecond*l.Lifetime.Seconds()) + 1
	for i := range e.batches {
		b := &e.batches[i]
		b.tokens = min(b.tokens, keep)
		keep -= b.tokens
		if latest := now.Add(l.Lifetime); b.expires.After(latest) {
			b.expires = latest
		}
	}
}

// expire removes tokens that have expired or are used up.
func (e *holding) expire(now time.Time) {
	kept := e.batches[:0]
	for _, b := range e.batches {
		if b.tokens > 0 && now.Before(b.expires) {
			kept = append(kept, b)
		}
	}
	e.batches = kept
}

// Request decides on a request that has just arrived.
func (h *Holder) Request(name string, l Limit, now time.Time) Verdict {
	e := h.team(name, l, now)
	e.used = now
	e.arrived++
	e.demand.add(1, now)
	v := e.decide(now)
	switch v.Kind {
	case Wait:
		e.want++
	case Refuse:
		e.refused++
	}
	return v
}

// Again decides on a request for which Request returned Wait, after an answer.
func (h *Holder) Again(name string, l Limit, now time.Time) Verdict {
	e := h.team(name, l, now)
	v := e.decide(now)
	if v.Kind == Wait && e.asked == 0 && e.want == 0 {
		e.want++ // another request took the token that was asked for
	}
	return v
}

// aloneTime is how long a team whose owner could not be reached is decided on without
// asking.
const aloneTime = 200 * time.Millisecond

// Unserved records that an ask for a team was not served because its owner could not be
// reached.
func (h *Holder) Unserved(name string, now time.Time) {
	if e := h.teams[name]; e != nil {
		e.aloneUntil = now.Add(aloneTime)
		e.want = 0
	}
}

func (e *holding) decide(now time.Time) Verdict {
	if len(e.batches) > 0 {
		b := &e.batches[0]
		b.tokens--
		return Verdict{Kind: Admit, Token: Token{Expires: b.expires, stamp: b.stamp, from: b.from}}
	}
	if now.Before(e.blockedUntil) {
		return Verdict{Kind: Refuse, Retry: e.nextPlace(1, now)}
	}
	if now.Before(e.aloneUntil) {
		return Verdict{Kind: Alone}
	}
	return Verdict{Kind: Wait}
}

// nextPlace returns when the first of n refused requests has its place, and assigns the
// others the following ones.
func (e *holding) nextPlace(n int, now time.Time) time.Duration {
	e.place = later(e.place, e.blockedUntil)
	retry := min(max(e.place.Sub(now), minRetry), maxRetry)
	e.place = e.place.Add(time.Duration(n) * e.limit.interval())
	if latest := now.Add(maxRetry); e.place.After(latest) {
		e.place = latest
	}
	return retry
}

// Return takes the token of a request back that was refused after it got the token.
func (h *Holder) Return(name string, t Token, now time.Time) {
	if e := h.teams[name]; e != nil && now.Before(t.Expires) {
		e.add(batch{1, t.Expires, t.stamp, t.from})
	}
}

// add inserts tokens in the order of expiry.
func (e *holding) add(b batch) {
	i := len(e.batches)
	for i > 0 && b.expires.Before(e.batches[i-1].expires) {
		i--
	}
	if i > 0 && e.batches[i-1].expires.Equal(b.expires) && e.batches[i-1].stamp == b.stamp {
		e.batches[i-1].tokens += b.tokens
		return
	}
	e.batches = append(e.batches, batch{})
	copy(e.batches[i+1:], e.batches[i:])
	e.batches[i] = b
}

// Serve answers an ask of a node of the group. If it returns false, no token is there, and
// the ask waits for an answer to an ask of this holder; Serve is then called again with
// first set to false.
func (h *Holder) Serve(ask Ask, l Limit, first bool, now time.Time) (Grant, bool) {
	e := h.team(ask.Team, l, now)
	if first {
		e.used = now
		e.arrived += ask.Arrived
		e.refused += ask.Refused
		e.demand.add(ask.Arrived, now)
	}
	g := Grant{Team: ask.Team}
	e.take(&g, ask.Want, ask.Want+ask.Ahead, now)
	if g.Tokens > 0 || ask.Want == 0 {
		return g, true
	}
	if now.Before(e.blockedUntil) {
		g.Blocked = max(e.blockedUntil.Sub(now), minBlocked)
		g.Retry = e.nextPlace(ask.Want+ask.Refused, now)
		e.refused += ask.Want
		return g, true
	}
	if first || e.asked == 0 && e.want == 0 {
		e.want += ask.Want
	}
	return g, false
}

// take moves tokens into a grant, from the earliest expiry on, up to most. Once the grant
// has enough, it takes none that expire later, because a grant has a single expiry.
func (e *holding) take(g *Grant, enough, most int, now time.Time) {
	for i := range e.batches {
		b := &e.batches[i]
		remaining := b.expires.Sub(now)
		if remaining < minTransit || b.tokens == 0 {
			continue
		}
		if g.Tokens > 0 && (g.Tokens >= enough || g.Tokens == most) {
			return
		}
		n := min(b.tokens, most-g.Tokens)
		if n <= 0 {
			return
		}
		if g.Tokens == 0 {
			g.Remaining = remaining
		}
		b.tokens -= n
		g.Tokens += n
	}
}

// Urgency says whether a holder has something to ask for.
type Urgency uint8

// Urgencies.
const (
	NoNeed Urgency = iota
	Renew          // for requests that are expected,
	Urgent         // requests wait
)

// Due returns the highest urgency among all teams.
func (h *Holder) Due(now time.Time) Urgency {
	u := NoNeed
	for _, e := range h.teams {
		u = max(u, h.due(e, now))
	}
	return u
}

// DueTeam returns the urgency of one team.
func (h *Holder) DueTeam(name string, now time.Time) Urgency {
	if e := h.teams[name]; e != nil {
		return h.due(e, now)
	}
	return NoNeed
}

func (h *Holder) due(e *holding, now time.Time) Urgency {
	switch {
	case now.Before(e.blockedUntil):
		return NoNeed
	case e.want > 0:
		return Urgent
	}
	if now.Before(e.renewAt) {
		return NoNeed
	}
	target := h.target(e, now)
	if target > 0 && float64(h.fresh(e, now)+e.askedAhead) < renewFraction*float64(target) {
		return Renew
	}
	return NoNeed
}

// target returns the number of unused tokens to hold.
func (h *Holder) target(e *holding, now time.Time) int {
	slow, high := e.demand.perSecond(now)
	if high == 0 {
		return 0
	}
	expected := high * h.tier.Horizon.Seconds()
	if h.tier.MinStock > 0 {
		expected += math.Sqrt(expected) // one standard deviation, as requests come in clumps
	}
	expected = min(expected, high*h.tier.Share*e.limit.stockSeconds())
	least := 0.0
	if slow >= minStockRate && slow*e.limit.Lifetime.Seconds() >= minStockDemand {
		least = min(float64(h.tier.MinStock), math.Floor(slow*h.tier.Share*e.limit.creditSeconds()))
	}
	return int(max(expected, least))
}

// stockSeconds returns for how many seconds of the usual demand of a team all holders
// together may hold unused tokens, so that these and the tokens of requests that have run
// leave some of the pool.
func (l *Limit) stockSeconds() float64 {
	usual := usualUse * l.Quota.PerSecond
	return max(l.Pool-usual*l.Lifetime.Seconds(), 0) * stockSafety / usual
}

// creditSeconds returns for how many seconds of the usual demand of a team unused tokens
// may come back within a lifetime.
func (l *Limit) creditSeconds() float64 {
	return min(l.Credit/(usualUse*l.Quota.PerSecond), maxCreditSeconds)
}

// maxCreditSeconds keeps the estimated demand of very small teams, which is uncertain, from
// taking many of their few tokens.
const maxCreditSeconds = 4.5

// margin returns the time before their expiry from which on tokens are renewed.
func (h *Holder) margin(e *holding) time.Duration { return min(h.tier.Margin, e.limit.Lifetime/4) }

// fresh returns the number of tokens that need no renewal yet.
func (h *Holder) fresh(e *holding, now time.Time) int {
	n := 0
	limit := now.Add(h.margin(e))
	for _, b := range e.batches {
		if b.expires.After(limit) {
			n += b.tokens
		}
	}
	return n
}

// Collect returns the asks for all teams that need something, for a message to the node
// with an ID. A holder with a margin gives back the tokens that expire soon and were
// granted by that node.
func (h *Holder) Collect(to string, now time.Time) []Ask {
	var asks []Ask
	for name, e := range h.teams {
		if ask, ok := h.collect(name, e, to, now); ok {
			asks = append(asks, ask)
		}
	}
	return asks
}

// CollectTeam returns the ask for one team, and false if it needs nothing.
func (h *Holder) CollectTeam(name, to string, now time.Time) (Ask, bool) {
	if e := h.teams[name]; e != nil {
		return h.collect(name, e, to, now)
	}
	return Ask{}, false
}

func (h *Holder) collect(name string, e *holding, to string, now time.Time) (Ask, bool) {
	e.expire(now)
	if now.Before(e.blockedUntil) {
		return Ask{}, false
	}
	ask := Ask{Team: name, Want: e.want, Ahead: max(h.target(e, now)-h.fresh(e, now)-e.askedAhead, 0)}
	if ask.Want > fewWaiting {
		ask.Ahead = max(ask.Ahead, (ask.Want-fewWaiting)*aheadOfWaiting) // demand has just risen
	}
	ask.Returned = h.giveBack(e, to, now)
	if ask.Want == 0 && ask.Ahead == 0 && len(ask.Returned) == 0 {
		return Ask{}, false
	}
	ask.Arrived, ask.Refused = e.arrived, e.refused
	e.want, e.arrived, e.refused = 0, 0, 0
	e.asked++
	e.askedAhead += ask.Ahead
	e.renewAt = now.Add(h.tier.Horizon / renewsPerHorizon)
	return ask, true
}

// giveBack removes the tokens that expire soon and returns them.
func (h *Holder) giveBack(e *holding, to string, now time.Time) []Return {
	if h.tier.Margin == 0 {
		return nil
	}
	var list []Return
	limit := now.Add(h.margin(e))
	for i := range e.batches {
		b := &e.batches[i]
		if b.from == to && b.tokens > 0 && !b.expires.After(limit) {
			list = append(list, Return{b.tokens, b.stamp})
			b.tokens = 0
		}
	}
	e.expire(now)
	return list
}

// Apply processes the answer to asks that were sent to the node from at the time sent. The
// expiry of tokens counts from then on, because when the other node granted them is not
// known. With a nil answer the asks are lost.
func (h *Holder) Apply(asks []Ask, grants []Grant, from string, sent, now time.Time) {
	for i := range asks {
		if e := h.teams[asks[i].Team]; e != nil {
			e.asked--
			e.askedAhead -= asks[i].Ahead
		}
	}
	for i := range grants {
		if e := h.teams[grants[i].Team]; e != nil {
			h.apply(e, &grants[i], from, sent, now)
		}
	}
}

func (h *Holder) apply(e *holding, g *Grant, from string, sent, now time.Time) {
	expires := sent.Add(g.Held + g.Remaining)
	if latest := now.Add(e.limit.Lifetime); expires.After(latest) {
		expires = latest
	}
	if g.Tokens > 0 && now.Before(expires) {
		e.add(batch{g.Tokens, expires, g.Stamp, from})
	}
	if g.Blocked > 0 {
		e.blockedUntil = now.Add(max(g.Blocked, h.tier.MinBlocked))
		e.place = now.Add(g.Retry)
	}
}

// idleTime is how long a team without requests is remembered.
const idleTime = time.Minute

// Knows reports whether the holder remembers a team.
func (h *Holder) Knows(name string) bool { return h.teams[name] != nil }

// Empty reports whether the holder remembers no team.
func (h *Holder) Empty() bool { return len(h.teams) == 0 }

// Quota returns the quota of a team as last applied.
func (h *Holder) Quota(name string) team.Quota {
	if e := h.teams[name]; e != nil {
		return e.limit.Quota
	}
	return team.Quota{}
}

// Sweep forgets teams without requests for some time.
func (h *Holder) Sweep(now time.Time) {
	for name, e := range h.teams {
		if e.expire(now); now.Sub(e.used) > idleTime && e.asked == 0 && len(e.batches) == 0 {
			delete(h.teams, name)
		}
	}
}

// demand estimates the requests per second of a team: the higher one of two exponentially
// decaying averages, so that it rises quickly and does not fall between the few requests
// of a small team.
type demand struct {
	slow, fast float64
	at         time.Time
}

const (
	slowDemandTime = 10 * time.Second
	fastDemandTime = 500 * time.Millisecond

	// fastDemandWeight keeps single requests from counting as a high rate.
	fastDemandWeight = 0.5
)

func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.at); elapsed > 0 && !d.at.IsZero() {
		d.slow *= math.Exp(-elapsed.Seconds() / slowDemandTime.Seconds())
		d.fast *= math.Exp(-elapsed.Seconds() / fastDemandTime.Seconds())
	}
	d.at = now
}

func (d *demand) add(n int, now time.Time) {
	d.decay(now)
	d.slow += float64(n) / slowDemandTime.Seconds()
	d.fast += float64(n) / fastDemandTime.Seconds()
}

// minDemand is the rate below which a team counts as without demand.
const minDemand = 0.02

// perSecond returns the slow average and the higher one of both.
func (d *demand) perSecond(now time.Time) (slow, high float64) {
	d.decay(now)
	if high = max(d.slow, d.fast*fastDemandWeight); high < minDemand {
		return 0, 0
	}
	return d.slow, high
}
