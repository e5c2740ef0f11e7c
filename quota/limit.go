// Package quota decides on requests of teams whose rate is limited over the whole fleet.
// The owner of a team grants tokens from an Account; the head of each group of nodes and
// each node hold granted tokens in a Holder until they expire; a Layout says which node
// has which part. The package does no I/O and reads no clock, and nothing in it is safe
// for concurrent use.
package quota

import (
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/team"
)

// Bound is the promise about the requests of a team over all nodes: in any Window at most
// (rate x Window + burst) x (1 + Over) + Slack.
type Bound struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

// Max returns the most requests of a team in any window.
func (b Bound) Max(q team.Quota) float64 {
	return (q.PerSecond*b.Window.Seconds()+q.Burst)*(1+b.Over) + b.Slack
}

// The room of a bound beyond rate x Window is divided between the tokens that the owner
// may have outstanding or in stock and the tokens of isolated nodes.
const (
	isolatedOverFraction  = 0.4 // of rate x Window x Over
	isolatedSlackFraction = 0.2 // of Slack

	// creditFraction is the part of the pool that may come back as unused tokens within
	// one lifetime.
	creditFraction = 0.4

	// capacityFraction is the part of the pool that may be in the bucket.
	capacityFraction = 0.45

	// lifetimeFraction is the part of the pool that is outstanding while a team uses its
	// whole rate. It may be raised up to maxLifetimeFraction for a lifetime of
	// usefulLifetime, which covers some round trips between regions.
	lifetimeFraction    = 0.2
	maxLifetimeFraction = 0.6
	usefulLifetime      = 250 * time.Millisecond

	minLifetime = 100 * time.Millisecond
	maxLifetime = 4 * time.Second

	// windowFraction keeps lifetimes below the window, so that tokens of an earlier,
	// higher limit have expired one window after its end.
	windowFraction = 0.8
)

// ownerOverlap is how long two nodes may own a team at once, because they know different
// members. A new owner starts in debt by the tokens of this time.
const ownerOverlap = 200 * time.Millisecond

// Limit holds what a Bound and a Quota mean for owners, holders and isolated nodes. It is
// zero if the team has no limit.
type Limit struct {
	Quota team.Quota

	// Pool bounds the tokens in the bucket together with those that are granted and have
	// not expired. As at most Pool + rate x Window tokens can then be used in any
	// window, it is the room of the bound less Isolated.
	Pool float64

	// Capacity bounds the tokens in the bucket.
	Capacity float64

	// Debt is the number of tokens by which a new owner starts below an empty bucket. It
	// does not know what the one before has granted in the lifetime before, which is at
	// most Capacity, Credit and the tokens of a lifetime, and may exceed Pool by Debt.
	Debt float64

	// Credit bounds the unused tokens that come back within one lifetime.
	Credit float64

	// Lifetime is the time from the grant of a token until it expires.
	Lifetime time.Duration

	// Isolated is the number of tokens of all isolated nodes together in a window.
	Isolated float64

	Window time.Duration
}

// Limit returns the limit of a team.
func (b Bound) Limit(q team.Quota) Limit {
	if !q.Limited() {
		return Limit{}
	}
	over := q.PerSecond * b.Window.Seconds() * b.Over
	isolated := isolatedOverFraction*over + b.Over*q.Burst + isolatedSlackFraction*b.Slack
	l := Limit{Quota: q, Isolated: isolated, Window: b.Window}
	l.Pool = max(over+q.Burst*(1+b.Over)+b.Slack-isolated, 1)
	longest := min(maxLifetime, time.Duration(windowFraction*float64(b.Window)))
	poolTime := l.Pool / q.PerSecond
	lifetime := max(lifetimeFraction*poolTime, min(maxLifetimeFraction*poolTime, usefulLifetime.Seconds()))
	l.Lifetime = clampDuration(lifetime, minLifetime, longest)
	l.Credit = creditFraction * l.Pool
	l.Capacity = max(capacityFraction*l.Pool, 1)
	l.Debt = max(l.Capacity+q.PerSecond*l.Lifetime.Seconds()+l.Credit-l.Pool, 0)
	return l
}

// startLevel returns the tokens in the bucket of an owner that has owned the team for
// some time and has granted nothing yet. A new owner starts in debt, also because the one
// before it may grant for ownerOverlap longer.
func (l *Limit) startLevel(owned time.Duration) float64 {
	return min((owned-ownerOverlap).Seconds()*l.Quota.PerSecond-l.Debt, l.Capacity)
}

// interval returns the time between two tokens at the full rate.
func (l *Limit) interval() time.Duration { return seconds(1 / l.Quota.PerSecond) }

// seconds converts seconds to a duration of at most an hour.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}

func clampDuration(s float64, low, high time.Duration) time.Duration {
	return min(max(seconds(s), low), high)
}
