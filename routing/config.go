// Package routing selects, on the caller's node, the member of a service that
// receives a call. It refuses the call locally when sending it would be useless.
//
// A Router decides from its own calls in flight and from the load that members
// report with their answers. It does no I/O, takes the time as a parameter and is
// not safe for concurrent use.
package routing

import (
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// Config holds the parameters of a Router.
type Config struct {
	// Region and Domain are the region and failure domain of the caller's node.
	Region, Domain string

	// DomainDelay, RegionDelay and RemoteDelay are the round-trip times to a member
	// in the caller's failure domain, in the caller's region and in another region.
	// They are part of the score: a higher RegionDelay keeps more traffic in the
	// failure domain and balances load less evenly.
	DomainDelay, RegionDelay, RemoteDelay time.Duration

	// DefaultLimit and DefaultServiceTime are the concurrency limit and the service
	// time assumed for a member that has not reported its own.
	DefaultLimit       int
	DefaultServiceTime time.Duration

	// PressureHalfLife is the age at which reported pressure counts half. A lower
	// value forgets overload sooner and sends more calls that are then refused.
	PressureHalfLife time.Duration

	// PressureMaxAge is the age from which reported pressure no longer excludes a
	// member as refusing a priority, and its queue delay no longer excludes it by
	// deadline.
	PressureMaxAge time.Duration

	// LimitMaxAge is the age from which a reported limit below DefaultLimit no longer
	// counts. A lower value tries members with few calls sooner, and overestimates
	// small members more often.
	LimitMaxAge time.Duration

	// RateWaitMax bounds how long a member counts as unable to start a call because of
	// the rate limit of its backend server. A lower value finds the end of a low limit
	// sooner, and sends more calls that are refused.
	RateWaitMax time.Duration

	// OutcomeHalfLife is the age at which a success or a failure counts half. A
	// higher value remembers a failing member longer.
	OutcomeHalfLife time.Duration

	// OutcomeVolume caps the number of recent results that count. A lower value
	// detects sooner that a busy member starts to fail, but reacts more to noise.
	OutcomeVolume float64

	// LostHalfLife is the age at which the fraction of lost answers that a member
	// reported counts half. With a higher value, a member that lost answers is
	// retried later.
	LostHalfLife time.Duration

	// FailureCost is the response time that a failed call counts as. A higher value
	// avoids even members with few failures and balances load less evenly.
	FailureCost time.Duration

	// RampTime is how long a new or readmitted member takes to reach its full share
	// of calls; RampFloor is the fraction of that share that it gets at first. A
	// longer ramp protects cold members, but a fleet that scales out stays
	// overloaded for longer.
	RampTime  time.Duration
	RampFloor float64

	// EjectAfter is the number of consecutive failures that eject a member, which
	// then gets no calls for a while. A member is also ejected when its failure rate
	// reaches EjectRate and it has at least EjectVolume recent calls.
	EjectAfter  int
	EjectRate   float64
	EjectVolume float64

	// OutlierMargin is how far the failure rate of a member must lie above the mean
	// of the other members before error answers eject it. Failures without any
	// answer eject it regardless of the margin.
	OutlierMargin float64

	// ExploreInterval is how long failures seen in other regions count as evidence
	// that all members share the cause. A lower value finds a recovered region
	// sooner, but sends more calls to regions that fail as well.
	ExploreInterval time.Duration

	// EjectBase is the duration of the first ejection. Each failed probe doubles it,
	// up to EjectMax. A lower EjectMax finds a recovered member sooner and sends more
	// calls to a dead one.
	EjectBase, EjectMax time.Duration

	// ProbeGrace is how long a due probe waits for a non-critical call before a
	// critical call may serve as the probe.
	ProbeGrace time.Duration

	// LastResortInFlight bounds the router's calls in flight to an ejected member
	// while every member is ejected. A higher value refuses fewer calls if the
	// members do work, and leaves more calls hanging if they do not.
	LastResortInFlight int

	// LeavingHold is how long a member that refused a call because it is leaving
	// counts as leaving, even if the membership does not say so. A longer one spares calls that
	// are refused again; a member whose announcement was missed gets none for that long.
	LeavingHold time.Duration

	// ForgetAfter is how long the state of a member is kept after it has left the
	// membership, so that a flapping entry does not reset its history.
	ForgetAfter time.Duration

	// PaceHalfLife is the age at which the pace that a member reported has moved half
	// way to 1. A higher value avoids a member for longer after a slow spell.
	PaceHalfLife time.Duration

	// SpeedHalfLife is the age at which the reported service time of a member that
	// reports its pace has moved half way to the mean of all members. Machines hardly
	// ever change their speed; a lower value sends more calls to slow ones.
	SpeedHalfLife time.Duration

	// LoadHalfLife is the age at which the reported load of a member that reports its
	// pace has moved half way to the usual load in its region.
	LoadHalfLife time.Duration

	// RegionLoadHalfLife is the age at which the usual load in a region counts half
	// while no answer comes from it. A lower value sends more calls to saturated members
	// of other regions, a higher one finds out later that they have room again.
	RegionLoadHalfLife time.Duration

	// PacedLocalCost is LocalCost for members that report their pace. Their scores are
	// more exact, so that fewer calls need to stay with a slow one.
	PacedLocalCost float64

	// LocalLoad is the load, as a fraction of the concurrency limit, up to which
	// only members of the caller's failure domain are used. A higher value sends
	// less traffic between failure domains and balances load less evenly.
	LocalLoad float64

	// LocalCost bounds the expected response time of a member of the caller's
	// failure domain, as a multiple of that of the best member, up to which it is
	// preferred. A higher value stays longer with a member that is slow or fails.
	LocalCost float64

	// SaturatedLoad is the load, as a fraction of the concurrency limit, from which
	// a member counts as saturated. A lower value spills sooner.
	SaturatedLoad float64

	// SpillRatio is the number of spilled calls that each call served in the caller's
	// region adds to the budget. The budget exists because links between regions are
	// billed by volume.
	SpillRatio float64

	// SpillPerSecond is the number of spilled calls per second that are allowed
	// regardless of the calls served in the caller's region.
	SpillPerSecond float64

	// SpillBurst is the largest number of spilled calls that the budget can hold.
	SpillBurst float64

	// SpillReserve is, for each priority, the fraction of the bucket that is reserved
	// for more important calls.
	SpillReserve [call.NumPriorities]float64

	// RemotePerSecond and RemoteBurst bound the calls to other regions while no
	// member of the caller's region is usable. SpillReserve applies here too.
	RemotePerSecond, RemoteBurst float64

	// ThrottleWindow is the time over which requests and accepts are counted. A
	// longer window is less noisy and recovers later.
	ThrottleWindow time.Duration

	// ThrottleFactor is the number of requests sent per accepted one while members
	// refuse. A higher value sends more calls that are refused and notices the end
	// of the overload sooner.
	ThrottleFactor float64

	// ThrottleMinRequests is the number of requests of a priority in the window below
	// which its ratio of refusals does not throttle.
	ThrottleMinRequests float64

	// BusyLoad is the load, as a fraction of its concurrency limit, from which a member
	// whose backend server refuses calls counts as overloaded. A lower value spares
	// servers that can do less than their limit says, and refuses more calls that
	// would have been served.
	BusyLoad float64

	// RecoveryForget is the fraction of the counted refusals that an answer from a
	// member without a queue removes from the window. A higher value recovers sooner,
	// but a single idle member distorts it more.
	RecoveryForget float64

	// ProbeInterval is the mean time between calls of one priority that are sent even
	// though the throttle would refuse them.
	ProbeInterval time.Duration

	// RetryAfter is the mean wait returned with a refusal; jitter changes it by up to
	// half in either direction.
	RetryAfter time.Duration
}

// DefaultConfig returns settings for services of about ten members in several
// regions that are 20 ms apart.
func DefaultConfig() Config {
	return Config{
		DomainDelay:         time.Millisecond / 2,
		RegionDelay:         2 * time.Millisecond,
		RemoteDelay:         40 * time.Millisecond,
		DefaultLimit:        16,
		DefaultServiceTime:  10 * time.Millisecond,
		PressureHalfLife:    500 * time.Millisecond,
		PressureMaxAge:      time.Second,
		LimitMaxAge:         2 * time.Second,
		RateWaitMax:         5 * time.Second,
		OutcomeHalfLife:     5 * time.Second,
		OutcomeVolume:       40,
		LostHalfLife:        2 * time.Second,
		FailureCost:         time.Second,
		RampTime:            10 * time.Second,
		RampFloor:           0.1,
		EjectAfter:          5,
		EjectRate:           0.5,
		EjectVolume:         8,
		OutlierMargin:       0.2,
		ExploreInterval:     5 * time.Second,
		EjectBase:           time.Second,
		EjectMax:            15 * time.Second,
		ProbeGrace:          3 * time.Second,
		LastResortInFlight:  4,
		LeavingHold:         10 * time.Second,
		ForgetAfter:         time.Minute,
		PaceHalfLife:        350 * time.Millisecond,
		SpeedHalfLife:       time.Minute,
		LoadHalfLife:        200 * time.Millisecond,
		RegionLoadHalfLife:  5 * time.Second,
		PacedLocalCost:      1.8,
		LocalLoad:           0.95,
		LocalCost:           2.5,
		SaturatedLoad:       1,
		SpillRatio:          0.2,
		SpillPerSecond:      2,
		SpillBurst:          20,
		SpillReserve:        [call.NumPriorities]float64{0, 0.2, 0.5, 0.7},
		RemotePerSecond:     100,
		RemoteBurst:         100,
		ThrottleWindow:      time.Second,
		ThrottleFactor:      1.25,
		ThrottleMinRequests: 5,
		BusyLoad:            0.5,
		RecoveryForget:      0.3,
		ProbeInterval:       200 * time.Millisecond,
		RetryAfter:          time.Second,
	}
}
