package admission

import (
	"math/rand/v2"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/fairshare"
)

const (
	minThroughputFraction = 0.05 // of the throughput, always assumed to be left by more important calls
	retryJitterMin        = 0.5  // least factor on the Retry-After time
	retryJitterSpread     = 1.0  // range of random values added to that factor

	// shareReserve is the fraction of the starts that is left out of the fair shares of
	// the teams. Without it, the lowest team of the models got 0.28 instead of 0.31.
	shareReserve = 0.05
)

type ticketState uint8

const (
	stateNew ticketState = iota
	stateQueued
	stateRunning
	stateDone
)

// Ticket is one call at the target node. The owner sets the exported fields
// before Offer and must neither change them afterwards nor offer a ticket twice.
type Ticket struct {
	Class    string // class of the profile; latency is learned per class
	Priority call.Priority
	Deadline time.Time // an answer after it is useless to the caller
	Cohort   uint32    // random number that all calls of one chain share
	Team     string    // team on whose behalf the call is made; "" if unknown
	Data     any       // set and used by the owner only

	// MayHandBack says that the source has another member with room, and would try it
	// after a refusal with ReasonHandedBack.
	MayHandBack bool

	state            ticketState
	seq              uint64
	startedAt        time.Time
	pacedStart       bool    // the pace was known at the start
	startedWork      float64 // progress of the pace at the start
	startedOccupancy float64 // integral of the calls in flight at the start
	overShare        bool    // fixed when the ticket is offered, as the queue is sorted by it
}

// OverShare reports whether the call was beyond the fair share of its team when it was
// offered.
func (t *Ticket) OverShare() bool { return t.overShare }

// cohortRankBits is the number of high bits of a cohort that order the calls of one
// priority. With few ranks more calls of one chain are separated, with many the deadline
// decides less often.
const cohortRankBits = 4

// rank returns the rank of the chain of t; lower ones go first. A request usually needs
// several calls, all of which must succeed. Under overload, the same order of chains at
// every backend server serves some chains wholly, where an order by deadline alone
// refuses some calls of each: with half of the calls refused at random, a chain of four
// succeeds once in 16 times.
func (t *Ticket) rank() uint32 { return t.Cohort >> (32 - cohortRankBits) }

// VerdictKind is the decision about an offered call.
type VerdictKind uint8

// Decisions about an offered call.
const (
	Run     VerdictKind = iota + 1 // send it to the backend server now
	Queued                         // an Action will follow
	Refused                        // it was not run and will not be
)

// String returns the name used in logs.
func (k VerdictKind) String() string {
	switch k {
	case Run:
		return "run"
	case Queued:
		return "queued"
	case Refused:
		return "refused"
	}
	return "unset"
}

// Verdict is the answer to Offer. Reason and RetryAfter are set on a refusal;
// RetryAfter is 0 when the backend server is leaving.
type Verdict struct {
	Kind       VerdictKind
	Reason     call.Reason
	RetryAfter time.Duration
}

// Action tells the owner what to do with a queued ticket: send the call to the
// backend server, or answer its caller with a refusal.
type Action struct {
	Ticket     *Ticket
	Start      bool // false: refused
	Reason     call.Reason
	RetryAfter time.Duration
}

// Sample describes how the execution of a call ended.
type Sample struct {
	Latency  time.Duration // from the start to the end, sub-calls included
	Shed     bool          // the backend server refused it under load
	Failed   bool          // the call failed; Latency is a lower bound
	Lost     bool          // the backend server sent no complete answer
	Canceled bool          // the caller canceled it; Latency is a lower bound
}

// Controller admits calls to one backend server.
type Controller struct {
	cfg                 Config
	rng                 *rand.Rand
	latencies           *latencies
	limiter             *limiter
	ramp                ramp
	startRate           startRate
	pace                pace
	slotUse             slotUse // without limits unless the slots are trusted
	queue               queue
	rates               rates
	inFlight            int
	shares              [call.NumPriorities]*fairshare.Shares // nil until a call of the priority has a team
	lowerPriorityCredit float64                               // starts owed to waiting calls of lower priority
	leaving             bool
}

// New returns a Controller for a backend server about which nothing is known. rng
// jitters the Retry-After times.
func New(cfg Config, rng *rand.Rand, now time.Time) *Controller {
	c := &Controller{cfg: cfg, rng: rng, latencies: newLatencies()}
	c.limiter = newLimiter(&c.cfg, c.latencies, now)
	c.queue.limit = cfg.QueueLimit
	c.queue.fifo = cfg.Disabled.Order
	c.ramp.begin(&c.cfg, float64(cfg.InitialLimit), now)
	if cfg.TrustedSlots > 0 {
		c.slotUse = newSlotUse(cfg.TrustedSlots, cfg.MaxLimit)
	}
	return c
}

// Offer decides about a new call. The actions concern other tickets: those
// displaced by t, and waiting ones that can start now.
func (c *Controller) Offer(t *Ticket, now time.Time) (Verdict, []Action) {
	c.rates.offered[priorityIndex(t.Priority)].add(now)
	c.setShareSide(t, now)
	if reason := c.refusalReason(t, now); reason != call.ReasonNone {
		return c.refuseNew(t, reason, now), nil
	}
	if c.queue.size == 0 && c.canStart(now) {
		c.markRunning(t, now)
		return Verdict{Kind: Run}, nil
	}
	if c.soonerElsewhere(t, c.queue.countAhead(t), now) {
		return c.refuseNew(t, call.ReasonHandedBack, now), nil
	}
	displaced, ok := c.makeRoom(t)
	if !ok {
		return c.refuseNew(t, call.ReasonQueueFull, now), nil
	}
	var actions []Action
	if displaced != nil {
		actions = append(actions, c.refuse(displaced, call.ReasonQueueFull, now))
	}
	t.state = stateQueued
	c.queue.push(t)
	c.observeUse(now)
	return c.extractVerdict(t, append(actions, c.dispatch(now)...))
}

// setShareSide counts t for its team and sets whether it is over the team's fair share.
// Nothing is counted before the first call with a team.
func (c *Controller) setShareSide(t *Ticket, now time.Time) {
	p := priorityIndex(t.Priority)
	if c.cfg.Disabled.FairShares || t.Team == "" && c.shares[p] == nil {
		return
	}
	if c.shares[p] == nil {
		c.shares[p] = &fairshare.Shares{Reserve: shareReserve}
	}
	position := fairshare.Position(t.Cohort)
	if t.Cohort == 0 {
		position = c.rng.Float64()
	}
	t.overShare = !c.shares[p].Offer(t.Team, position, c.rates.servedFraction(p, now), now)
}

// extractVerdict removes the action on t, if there is one, and returns it as the
// verdict on t with the other actions.
func (c *Controller) extractVerdict(t *Ticket, actions []Action) (Verdict, []Action) {
	for i, a := range actions {
		if a.Ticket != t {
			continue
		}
		rest := append(actions[:i:i], actions[i+1:]...)
		if a.Start {
			return Verdict{Kind: Run}, rest
		}
		return Verdict{Kind: Refused, Reason: a.Reason, RetryAfter: a.RetryAfter}, rest
	}
	return Verdict{Kind: Queued}, actions
}

// refusalReason returns the reason to refuse t on arrival, or ReasonNone.
func (c *Controller) refusalReason(t *Ticket, now time.Time) call.Reason {
	if c.leaving {
		return call.ReasonLeaving
	}
	if c.cfg.Disabled.DeadlineDrop {
		return call.ReasonNone
	}
	if !t.Deadline.After(now) {
		return call.ReasonDeadline
	}
	expected := c.latencies.expectedServiceTime(t.Class, now)
	timeLeft := t.Deadline.Sub(now)
	if c.canStart(now) && c.queue.size == 0 {
		if timeLeft < time.Duration(c.cfg.MinTimeLeftFraction*float64(expected)) {
			return call.ReasonDeadline
		}
		return call.ReasonNone
	}
	slack := timeLeft - expected
	if slack <= 0 {
		return call.ReasonDeadline
	}
	wait := c.expectedWait(c.queue.countAhead(t)+1, t.Priority, now)
	if wait > time.Duration(c.cfg.SlackFraction*float64(slack)) {
		return call.ReasonDeadline
	}
	if t.Priority != call.PriorityCritical && wait > c.startRate.maxQueueDelay(&c.cfg) {
		return call.ReasonQueueFull
	}
	return call.ReasonNone
}

// throughput returns the expected completions per second at the current limits.
func (c *Controller) throughput(now time.Time) float64 {
	return c.startRate.bound(float64(c.limit(now)) / c.latencies.mean().Seconds())
}

// expectedWait returns the expected time until n calls of priority p have left
// the queue, if more important calls keep starting at their current rate.
func (c *Controller) expectedWait(n int, p call.Priority, now time.Time) time.Duration {
	total := c.throughput(now)
	rate := max(total-c.rates.startedAbove(p, now), minThroughputFraction*total)
	return toDuration(float64(n) / rate)
}

// makeRoom reports whether t may be queued. If the queue is full, it removes the
// last ticket, provided that t outranks it, and returns it.
func (c *Controller) makeRoom(t *Ticket) (*Ticket, bool) {
	if !c.queue.full() {
		return nil, true
	}
	last := c.queue.last()
	if last == nil || c.cfg.Disabled.Displacement || !c.outranks(t, last) {
		return nil, false
	}
	c.queue.remove(last)
	return last, true
}

// outranks reports whether the new ticket t goes before the queued ticket u.
func (c *Controller) outranks(t, u *Ticket) bool {
	if c.queue.fifo {
		return false
	}
	if t.Priority != u.Priority {
		return t.Priority < u.Priority
	}
	if t.overShare != u.overShare {
		return u.overShare
	}
	if t.rank() != u.rank() {
		return t.rank() < u.rank()
	}
	return t.Deadline.Before(u.Deadline)
}

// Done records the end of a running call and starts waiting ones.
func (c *Controller) Done(t *Ticket, s Sample, now time.Time) []Action {
	if t.state != stateRunning {
		return nil
	}
	t.state = stateDone
	c.observeUse(now)
	c.slotUse.advance(c.inFlight, now)
	c.inFlight--
	c.rates.countEnd(s, now)
	class := c.latencies.end(t.Class)
	if t.pacedStart {
		c.recordPaced(t, class, s, now)
	}
	c.limiter.record(class, s, now)
	return c.dispatch(now)
}

// recordPaced records the end of a call at a backend server that reports its pace.
func (c *Controller) recordPaced(t *Ticket, class *classLatency, s Sample, now time.Time) {
	if c.learnsSlots() {
		c.recordSlots(t, class, s, now)
		c.slotUse.step(c.queue.size > 0, c.latencies.mean(), now)
	}
	if !s.Shed && !s.Failed && !s.Canceled {
		c.latencies.usual.addSample(c.pace.progressAt(now) - t.startedWork)
	}
}

// recordSlots records the end of a call for the choice of the limit. Calls that a slow
// spell delayed say nothing about it.
func (c *Controller) recordSlots(t *Ticket, class *classLatency, s Sample, now time.Time) {
	if s.Shed {
		c.slotUse.recordShed()
		return
	}
	if s.Failed || s.Canceled || c.slotUse.inSpell(t.startedAt) {
		return
	}
	seconds := s.Latency.Seconds()
	class.addLong(seconds)
	c.latencies.all.addLong(seconds)
	relative := class.longMean / c.latencies.all.longMean
	c.slotUse.record(min(seconds/relative, clipFactor*c.latencies.all.longMean), t.startedAt, t.startedOccupancy, now)
}

// learnsSlots reports whether the number of slots to use is learned: the slots are
// trusted, and the load reported by the backend server tells slow spells from the effect
// of the slots in use.
func (c *Controller) learnsSlots() bool { return c.cfg.TrustedSlots > 0 && c.pace.known() }

// Cancel removes a queued ticket whose caller canceled the call. None of the
// returned actions concerns t.
func (c *Controller) Cancel(t *Ticket, now time.Time) []Action {
	if t.state != stateQueued || !c.queue.remove(t) {
		return nil
	}
	t.state = stateDone
	return c.dispatch(now)
}

// Tick refuses waiting calls that cannot finish in time or would end much sooner at
// another member, and starts others. Call
// it about every 10 ms.
func (c *Controller) Tick(now time.Time) []Action {
	uncongested := c.limiter.ratio < c.cfg.CutTolerance
	c.ramp.step(&c.cfg, c.queue.size > 0, uncongested, now)
	dropped := append(c.dropLate(now), c.handBack(now)...)
	return append(dropped, c.dispatch(now)...)
}

// dropLate refuses the waiting calls that cannot finish before their deadline.
func (c *Controller) dropLate(now time.Time) []Action {
	if c.queue.size == 0 || c.cfg.Disabled.DeadlineDrop {
		return nil
	}
	rate := c.throughput(now)
	dropped := c.queue.filter(func(t *Ticket, ahead int) bool {
		wait := toDuration(float64(ahead) / rate)
		return !c.wouldBeLate(t, wait, now)
	})
	return c.refuseAll(dropped, call.ReasonDeadline, now)
}

// wouldBeLate reports whether t would miss its deadline if it started after a wait.
func (c *Controller) wouldBeLate(t *Ticket, wait time.Duration, now time.Time) bool {
	return !now.Add(wait).Add(c.latencies.expectedServiceTime(t.Class, now)).Before(t.Deadline)
}

// Leave begins a graceful shutdown: all waiting and all new calls are refused,
// running calls continue.
func (c *Controller) Leave(now time.Time) []Action {
	c.leaving = true
	queued := c.queue.filter(func(*Ticket, int) bool { return false })
	return c.refuseAll(queued, call.ReasonLeaving, now)
}

// HintSlots passes on the number of slots that the backend server reports. As the
// number may be outdated or wrong, it speeds up learning but does not bound the
// limit. slots <= 0 is ignored.
func (c *Controller) HintSlots(slots int, now time.Time) {
	if slots <= 0 {
		return
	}
	c.limiter.applySlotsHint(slots)
}

// SetRateLimit bounds the starts per second to the limit that the backend server
// announces.
func (c *Controller) SetRateLimit(l call.RateLimit, now time.Time) []Action {
	c.startRate.set(l, now)
	return c.dispatch(now)
}

// Restart records that the backend server has restarted cold: it discards the
// latency baseline and starts a ramp.
func (c *Controller) Restart(now time.Time) {
	c.limiter.reset(now)
	c.ramp.begin(&c.cfg, c.limiter.limit, now)
}

// StartsPerSecond returns the recent rate of starts.
func (c *Controller) StartsPerSecond(now time.Time) float64 { return c.rates.startsPerSecond(now) }

// Waiting returns the number of queued calls.
func (c *Controller) Waiting() int { return c.queue.size }

// ObservePace records the pace that the backend server reported with an answer, as a
// multiple of the usual execution time; 0 if it reported none.
func (c *Controller) ObservePace(reported float64, now time.Time) {
	c.pace.observe(reported, now)
	if reported > 0 {
		c.slotUse.observePace(reported, now)
	}
}

// serviceTime returns the mean service time, at a pace of 1 if the pace is known.
func (c *Controller) serviceTime() time.Duration {
	if c.latencies.usual.mean > 0 {
		return toDuration(c.latencies.usual.mean)
	}
	return c.latencies.mean()
}

// canStart reports whether the limits allow another start.
func (c *Controller) canStart(now time.Time) bool {
	return c.inFlight < c.limit(now) && c.startRate.available(now) >= 1
}

// limit returns the concurrency limit in force.
func (c *Controller) limit(now time.Time) int {
	limit := c.limiter.current()
	if c.cfg.Disabled.Limit {
		limit = c.cfg.MaxLimit
	}
	if c.learnsSlots() {
		limit = c.slotUse.limit()
	}
	return c.ramp.bound(&c.cfg, limit, now)
}

// dispatch starts waiting calls while the limit allows.
func (c *Controller) dispatch(now time.Time) []Action {
	var actions []Action
	for c.queue.size > 0 && c.canStart(now) {
		t := c.next(now)
		c.queue.remove(t)
		if c.tooLateToStart(t, now) {
			actions = append(actions, c.refuse(t, call.ReasonDeadline, now))
			continue
		}
		c.markRunning(t, now)
		actions = append(actions, Action{Ticket: t, Start: true})
	}
	return actions
}

// tooLateToStart reports whether t would miss its deadline if it started now.
func (c *Controller) tooLateToStart(t *Ticket, now time.Time) bool {
	return !c.cfg.Disabled.DeadlineDrop && c.wouldBeLate(t, 0, now)
}

// next returns the next ticket to start: the first in queue order or, for a
// fraction MinShare of the starts, one of lower priority.
func (c *Controller) next(now time.Time) *Ticket {
	first := c.queue.first()
	lowerPriority := c.queue.firstBelow(first.Priority)
	if lowerPriority == nil || c.cfg.Disabled.Share {
		return first
	}
	c.lowerPriorityCredit += c.cfg.MinShare
	if c.lowerPriorityCredit < 1 {
		return first
	}
	c.lowerPriorityCredit = 0
	if c.delaysMoreImportant(lowerPriority, now) {
		return first
	}
	return lowerPriority
}

// delaysMoreImportant reports whether starting lowerPriority first would make the
// wait of a more important call exceed SlackFraction of its slack, so that the call
// might miss its deadline.
func (c *Controller) delaysMoreImportant(lowerPriority *Ticket, now time.Time) bool {
	rate := c.throughput(now)
	ahead := 1
	for _, s := range c.queue.byPriority[:c.queue.level(lowerPriority.Priority)] {
		for _, t := range s {
			ahead++
			slack := t.Deadline.Sub(now) - c.latencies.expectedServiceTime(t.Class, now)
			wait := toDuration(float64(ahead) / rate)
			if wait > time.Duration(c.cfg.SlackFraction*float64(slack)) {
				return true
			}
		}
	}
	return false
}

// markRunning records the start of t.
func (c *Controller) markRunning(t *Ticket, now time.Time) {
	t.state = stateRunning
	c.slotUse.advance(c.inFlight, now)
	t.startedAt, t.startedOccupancy = now, c.slotUse.occupancy
	t.pacedStart, t.startedWork = c.pace.known(), c.pace.progressAt(now)
	c.inFlight++
	c.latencies.start(t.Class, now)
	c.rates.started[priorityIndex(t.Priority)].add(now)
	c.startRate.count(now)
	c.observeUse(now)
}

// observeUse tells the limiter how much of the concurrency limit is in use. Calls that
// wait only for the start rate do not use it.
func (c *Controller) observeUse(now time.Time) {
	queued := c.queue.size
	if c.startRate.available(now) < 1 {
		queued = 0
	}
	c.limiter.observe(c.inFlight, queued, c.limit(now))
}
