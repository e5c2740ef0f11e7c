// Package routing chooses, at the caller's node, the member of one service that
// a call is sent to, or refuses the call there when sending it would be wasted.
//
// A Router decides by its own calls in flight and by what the answers told. It
// does no I/O, reads no clock and is not safe for concurrent use.
package routing

import (
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// Config sets how a Router weighs members.
type Config struct {
	// Region and Domain are the region and failure domain of the caller's node.
	Region, Domain string

	// DomainDelay, RegionDelay and RemoteDelay are the round trips to a member of
	// the own failure domain, of the own region and of another region. They enter
	// the score, so a higher RegionDelay keeps more traffic in the failure domain
	// and balances load less.
	DomainDelay, RegionDelay, RemoteDelay time.Duration

	// DefaultLimit and DefaultService are the concurrency limit and the service
	// time assumed of a member that told none.
	DefaultLimit   int
	DefaultService time.Duration

	// PressureHalfLife is the age at which told pressure counts half. A lower value
	// forgets overload sooner, and sends more calls that are then refused.
	PressureHalfLife time.Duration

	// PressureMaxAge is the age from which told pressure no longer marks a member
	// as saturated or as refusing a priority.
	PressureMaxAge time.Duration

	// OutcomeHalfLife is the age at which a success or a failure counts half. A
	// higher value remembers a failing member longer.
	OutcomeHalfLife time.Duration

	// OutcomeVolume is the largest number of recent results that count. A lower value
	// finds a busy member that begins to fail sooner and is misled more by chance.
	OutcomeVolume float64

	// LostHalfLife is the age at which the part of lost answers that a member told
	// counts half. A higher value tries a member that lost answers later again.
	LostHalfLife time.Duration

	// FailureCost is what a failed call costs, in terms of response time. A higher
	// value avoids members with few failures at the price of load balance.
	FailureCost time.Duration

	// RampTime is how long a new or readmitted member takes to get its full part;
	// RampFloor is the part of it that it gets at first. A longer ramp spares a cold
	// member and leaves a fleet that scales out overloaded for longer.
	RampTime  time.Duration
	RampFloor float64

	// EjectAfter is the number of consecutive failures after which a member gets no
	// calls for a while. EjectRate ejects a member with that failure rate as well,
	// once it has EjectVolume recent calls.
	EjectAfter  int
	EjectRate   float64
	EjectVolume float64

	// OutlierMargin is how much the failure rate of a member must lie above the mean
	// of the others before answers that report a failure eject it. Failures without
	// any answer need no margin.
	OutlierMargin float64

	// ExploreInterval is how long the failures of members of other regions say that
	// the cause lies behind all. A lower value finds a region that has recovered
	// sooner and sends more calls to regions that fail as well.
	ExploreInterval time.Duration

	// EjectBase is the first time of ejection, doubled by each failed probe up to
	// EjectMax. A lower EjectMax finds a recovered member sooner and sends more calls
	// to a dead one.
	EjectBase, EjectMax time.Duration

	// ProbeGrace is how long a probe that is due waits for a call that is not
	// critical.
	ProbeGrace time.Duration

	// LastResortInFlight bounds the own calls in flight to one member while no
	// member is known to answer. A higher value gives up fewer calls when the
	// suspicion is wrong and blocks more when it is right.
	LastResortInFlight int

	// LeavingHold is how long a member's own statement that it is leaving outweighs
	// the membership.
	LeavingHold time.Duration

	// ForgetAfter is how long the state of a member that is gone from the
	// membership is kept, so that a flapping entry does not start anew.
	ForgetAfter time.Duration

	// LocalLoad is the load, as a part of the concurrency limit, up to which members
	// of the own failure domain are used alone. A higher value sends fewer bytes
	// between failure domains and balances load less.
	LocalLoad float64

	// LocalCost is how many times the delay of the best member a member of the own
	// failure domain may have and still be used alone. A higher value stays longer
	// with a member that has become slow or fails.
	LocalCost float64

	// SaturatedLoad is the load, as a part of the concurrency limit, from which a
	// member counts as saturated. A lower value spills sooner.
	SaturatedLoad float64

	// SpillRatio is the number of calls to other regions that one call in the own
	// region pays for. The links between regions are billed by volume.
	SpillRatio float64

	// SpillPerSecond is the number of calls per second to other regions that need
	// no call in the own region.
	SpillPerSecond float64

	// SpillBurst is the largest number of spilled calls that can be saved up.
	SpillBurst float64

	// SpillReserve is, for each priority, the part of the bucket that it leaves to
	// more important calls.
	SpillReserve [call.NumPriorities]float64

	// RemotePerSecond and RemoteBurst bound the calls to other regions while no
	// member of the own region can be used. The reserves hold here too.
	RemotePerSecond, RemoteBurst float64

	// ThrottleWindow is the time over which requests and accepts are counted. A
	// longer one is steadier and recovers later.
	ThrottleWindow time.Duration

	// ThrottleFactor is the number of requests per accept that are sent while
	// members refuse. A higher value wastes more calls and reacts sooner.
	ThrottleFactor float64

	// ThrottleMinRequests is the number of requests in the window below which a
	// priority is not throttled by its ratio.
	ThrottleMinRequests float64

	// RecoveryForget is the part of the counted refusals that an accept by a member
	// without a queue removes from the window. A higher value recovers sooner and is
	// misled more by a single idle member.
	RecoveryForget float64

	// ProbeInterval is the time between the calls of one priority that are sent
	// although the throttle would refuse them.
	ProbeInterval time.Duration

	// RetryAfter is the mean wait told with a refusal, spread by half either way.
	RetryAfter time.Duration
}

// DefaultConfig returns settings for services of some ten members in several
// regions that are 20 ms apart.
func DefaultConfig() Config {
	return Config{
		DomainDelay:         time.Millisecond / 2,
		RegionDelay:         2 * time.Millisecond,
		RemoteDelay:         40 * time.Millisecond,
		DefaultLimit:        16,
		DefaultService:      10 * time.Millisecond,
		PressureHalfLife:    500 * time.Millisecond,
		PressureMaxAge:      time.Second,
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
		LeavingHold:         time.Minute,
		ForgetAfter:         time.Minute,
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
		RecoveryForget:      0.3,
		ProbeInterval:       200 * time.Millisecond,
		RetryAfter:          time.Second,
	}
}
