// Package fairshare divides the capacity that is left for calls of one priority fairly
// between teams. Admission at the target node and the throttle at the source node use the
// same rule, so that a call that one of them favours is not refused by the other.
//
// The shares are max-min fair: a team that asks for less than the level gets all of it,
// and the others get the level each. As teams differ in size by a factor of several
// hundred, plain max-min shares serve the largest teams hardly at all, so a team gets at
// least a fixed fraction of what a division in proportion to demand would give it.
//
// Within a team, the calls of the chains with the lowest cohorts are within the share.
// All calls of a chain have the same cohort and therefore fall on the same side at every
// node that sees similar demand.
//
// The package does no I/O and reads no clock.
package fairshare

import (
	"math"
	"time"
)

const (
	// timeConstant is that of the exponential decay of the counts. Shorter ones see too
	// few calls of a team at one node, longer ones notice a burst too late.
	timeConstant = 2 * time.Second

	// updateInterval is the time between two computations of the shares.
	updateInterval = 100 * time.Millisecond

	// updateDifference is the change of the served fraction that causes a computation
	// before updateInterval has passed.
	updateDifference = 0.05

	// maxTeams bounds the teams that are counted separately.
	maxTeams = 256

	// minTeamOffers is the decayed number of offers below which a team is forgotten.
	minTeamOffers = 0.02

	// minOffers is the decayed number of offers of all teams below which no call is over a
	// share.
	minOffers = 8

	// minShortage is the refused fraction below which capacity does not count as short.
	minShortage = 0.02

	// proportionalFloor is the least share of a team, as a fraction of what a division in
	// proportion to demand gives it. A call can meet the rule twice, at its source and at
	// its target, and no team may be served less than a quarter as often as all.
	// 0.75 to the power of 4 is 0.32. Higher floors serve the smaller teams less.
	proportionalFloor = 0.75

	positionBuckets = 16

	// priorOffers is the weight, in offers, of the assumption that the cohorts of a team
	// are spread evenly.
	priorOffers = 4
)

// Shares holds the recent demand of the teams for one resource, and their fair shares of
// it. The zero value is ready for use. It is not safe for concurrent use.
type Shares struct {
	// Reserve is the fraction of the capacity that is left out of the shares. Without
	// it, chance refuses calls within them.
	Reserve float64

	teams map[string]*demand

	// rest counts the calls without a team and those of teams beyond maxTeams. It is
	// served in proportion to its demand.
	rest demand

	served    float64 // fraction for which the shares were computed
	updatedAt time.Time
	short     bool // some team is over its share
}

// demand holds the recent offers of one team, with exponential decay.
type demand struct {
	offers     float64
	byPosition [positionBuckets]float32
	fraction   float64 // of the offers that is within the fair share
}

func newDemand() *demand { return &demand{fraction: 1} }

// Position returns the position of a chain in the order in which chains are favoured,
// from 0 for the first to below 1.
func Position(cohort uint32) float64 { return float64(cohort) / (math.MaxUint32 + 1) }

// Offer counts a call of a team ("" for none) and reports whether it is within the fair
// share. position is that of its chain, or a random number from 0 to 1 for a call
// without a cohort; served is the fraction of all calls that can be served.
func (s *Shares) Offer(team string, position, served float64, now time.Time) bool {
	s.update(served, now)
	d := s.demandOf(team)
	d.add(position)
	return !s.short || d.within(position)
}

// Contended reports whether capacity is short and at least two teams ask for it.
// Otherwise every call is within its share.
func (s *Shares) Contended() bool { return s.short }

// demandOf returns the counts of a team and creates them while there is room.
func (s *Shares) demandOf(team string) *demand {
	if team == "" {
		return &s.rest
	}
	if d := s.teams[team]; d != nil {
		return d
	}
	if len(s.teams) >= maxTeams {
		return &s.rest
	}
	if s.teams == nil {
		s.teams = map[string]*demand{}
	}
	d := newDemand()
	s.teams[team] = d
	return d
}

// update decays the counts and computes the shares if that is due.
func (s *Shares) update(served float64, now time.Time) {
	elapsed := now.Sub(s.updatedAt)
	if elapsed < updateInterval && math.Abs(served-s.served) < updateDifference {
		return
	}
	if elapsed > 0 {
		s.decay(math.Exp(-elapsed.Seconds() / timeConstant.Seconds()))
		s.updatedAt = now
	}
	s.served = served
	s.computeShares()
}

// decay multiplies all counts by a factor and forgets teams that no longer ask.
func (s *Shares) decay(factor float64) {
	s.rest.decay(factor)
	for name, d := range s.teams {
		d.decay(factor)
		if d.offers < minTeamOffers {
			delete(s.teams, name)
		}
	}
}

// computeShares sets the fraction of each team that is within its fair share.
func (s *Shares) computeShares() {
	total, largest := 0.0, 0.0
	for _, d := range s.teams {
		total += d.offers
		largest = max(largest, d.offers)
	}
	s.rest.fraction = s.served
	s.short = len(s.teams) > 1 && total >= minOffers && s.served < 1-minShortage
	if !s.short {
		return
	}
	level := s.level((1-s.Reserve)*s.served*total, largest)
	for _, d := range s.teams {
		d.fraction = d.share(level, s.served) / d.offers
	}
}

// levelSteps halve the interval of the level to less than a thousandth of a call.
const levelSteps = 32

// level returns the level at which the shares of the teams add up to capacity, by
// bisection.
func (s *Shares) level(capacity, largest float64) float64 {
	low, high := 0.0, largest
	for range levelSteps {
		middle := (low + high) / 2
		sum := 0.0
		for _, d := range s.teams {
			sum += d.share(middle, s.served)
		}
		if sum < capacity {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// share returns the fair share of a team at a level, in offers.
func (d *demand) share(level, served float64) float64 {
	return max(min(d.offers, level), proportionalFloor*served*d.offers)
}

func (d *demand) add(position float64) {
	d.offers++
	d.byPosition[bucketOf(position)]++
}

func (d *demand) decay(factor float64) {
	d.offers *= factor
	for i := range d.byPosition {
		d.byPosition[i] *= float32(factor)
	}
}

// within reports whether a call at the position is within the fair share: whether the
// offers of the team at lower positions are a smaller fraction than the share.
//
// The positions of the offers are not spread evenly: a chain that is refused at its first
// call makes no others, so the favoured chains make most offers.
func (d *demand) within(position float64) bool {
	if d.fraction >= 1 {
		return true
	}
	bucket := bucketOf(position)
	below := priorOffers * position
	for _, n := range d.byPosition[:bucket] {
		below += float64(n)
	}
	below += (position*positionBuckets - float64(bucket)) * float64(d.byPosition[bucket])
	return below < d.fraction*(d.offers+priorOffers)
}

func bucketOf(position float64) int {
	return min(int(position*positionBuckets), positionBuckets-1)
}
