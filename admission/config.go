package admission

import "time"

// Config holds the settings of a Controller. Start from DefaultConfig.
type Config struct {
	// InitialLimit is the concurrency limit, in calls, before anything is learned.
	// A high value overloads small backend servers at first, a low value costs
	// some hundred milliseconds of growth on large ones.
	InitialLimit int

	// MinLimit is the lowest concurrency limit, in calls. It keeps latency
	// samples coming when a backend server is in trouble; a high value keeps
	// load on a backend server that needs relief.
	MinLimit int

	// MaxLimit is the highest concurrency limit, in calls.
	MaxLimit int

	// TrustedSlots is the number of slots that the backend server reports if the report
	// is trusted, otherwise 0. MaxLimit is then the limit until the number of slots to
	// use has been learned, which takes a backend server that reports its pace.
	TrustedSlots int

	// GrowTolerance is the ratio of latency to baseline below which the limit
	// grows. A high value tolerates more queueing inside the backend server.
	GrowTolerance float64

	// CutTolerance is the ratio of latency to baseline above which the limit
	// is cut. A low value reacts sooner but also to noise.
	CutTolerance float64

	// WindowSamples and WindowDuration are the least number of samples and the
	// least time between two changes of the limit. Small values react sooner
	// and follow noise.
	WindowSamples  int
	WindowDuration time.Duration

	// BucketSamples and BucketDuration are the least number of samples and the
	// least duration of one baseline bucket; Buckets is the number of buckets
	// kept. The one with the lowest latencies is the baseline. Small buckets
	// lower the baseline by chance, large ones miss short probes.
	BucketSamples  int
	BucketDuration time.Duration
	Buckets        int

	// ProbeInterval is the longest time between two probes. A probe lowers a
	// saturated limit briefly to measure the latency without queueing again. A
	// short interval costs throughput, a long one lets the baseline drift.
	ProbeInterval time.Duration

	// QueueLimit is the largest number of waiting calls.
	QueueLimit int

	// MaxQueueDelay is the longest predicted wait at which a call that is not
	// critical is queued. Long queues absorb bursts but delay recovery.
	MaxQueueDelay time.Duration

	// MaxRateQueueDelay replaces a longer MaxQueueDelay while the backend server
	// announces a rate limit. A long queue delays calls that other members could serve.
	MaxRateQueueDelay time.Duration

	// SlackFraction is the fraction of the slack (the time to the deadline less
	// the expected service time) that the predicted wait may use. A low value
	// refuses earlier, a value near 1 leaves no margin for prediction errors.
	SlackFraction float64

	// MinTimeLeftFraction is the fraction of the expected service time that must
	// be left to the deadline to run a call while slots are free and no call
	// waits. A lower value runs more calls that end late, on slots that no other
	// call needs.
	MinTimeLeftFraction float64

	// MinShare is the fraction of starts that goes to waiting calls of lower
	// priority as long as no more important call would miss its deadline.
	MinShare float64

	// RampDuration is the longest duration of the ramp after a cold start.
	RampDuration time.Duration

	// RampStart is the fraction of the target concurrency at which a ramp starts.
	RampStart float64

	// MinRetryAfter and MaxRetryAfter bound the Retry-After time of a refusal,
	// before jitter.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration

	// Disabled turns mechanisms off.
	Disabled Mechanisms
}

// Mechanisms selects parts of the Controller to turn off in benchmarks and
// tests. The zero value leaves all of them on.
type Mechanisms struct {
	Limit        bool // use MaxLimit instead of the learned limit
	Order        bool // first in, first out instead of priority and deadline
	Displacement bool // refuse the new call when the queue is full
	Ramp         bool // use the whole limit after a cold start
	DeadlineDrop bool // run and queue calls that cannot finish in time
	Share        bool // reserve no starts for calls of lower priority
	FairShares   bool // treat all teams alike
}

// usedSlotsFraction is the fraction of the reported slots that a fixed limit
// uses, unless a better one is learned. Some backend servers slow down when the last slots are taken.
const usedSlotsFraction = 0.95

// fixedLimitMinTimeLeftFraction is MinTimeLeftFraction with a fixed limit: slots
// below a fixed limit are known to be free.
const fixedLimitMinTimeLeftFraction = 0.6

// SetFixedLimit derives the concurrency limit from the slots that a backend
// server reports, instead of learning it. The report must be correct: a backend
// server may never answer a call that it cannot queue.
func (c *Config) SetFixedLimit(slots int) {
	c.MaxLimit = max(1, int(usedSlotsFraction*float64(slots)))
	c.TrustedSlots = slots
	c.Disabled.Limit = true
	c.Disabled.Ramp = true
	c.MinTimeLeftFraction = fixedLimitMinTimeLeftFraction
}

// DefaultConfig returns settings for backend servers of 8 to 140 slots.
func DefaultConfig() Config {
	return Config{
		InitialLimit:        8,
		MinLimit:            4,
		MaxLimit:            1024,
		GrowTolerance:       1.4,
		CutTolerance:        1.7,
		WindowSamples:       32,
		WindowDuration:      100 * time.Millisecond,
		BucketSamples:       80,
		BucketDuration:      300 * time.Millisecond,
		Buckets:             20,
		ProbeInterval:       5 * time.Second,
		QueueLimit:          512,
		MaxQueueDelay:       500 * time.Millisecond,
		MaxRateQueueDelay:   100 * time.Millisecond,
		SlackFraction:       0.6,
		MinTimeLeftFraction: 1,
		MinShare:            0.02,
		RampDuration:        10 * time.Second,
		RampStart:           0.25,
		MinRetryAfter:       250 * time.Millisecond,
		MaxRetryAfter:       10 * time.Second,
	}
}
