// Package memlimit decides the soft memory limit of the process. A low limit keeps a process that
// shares its VM with a backend server small, but a heap near the limit is collected again and
// again: the calls in flight then take longer, need more memory, and leave no processor time for
// anything else. The package does no I/O and reads no clock.
//
// Load pattern: many calls in flight at once, as when a service further down is slow.
package memlimit

// Config holds the settings of a Controller.
type Config struct {
	// Min is the limit while collections cost little, in bytes.
	Min int64
	// Max is the highest limit, in bytes. A process that needs more spends its time on
	// collections rather than take the memory of others.
	Max int64
	// HighCost is the part of the used processor time that collections may take before the
	// limit rises. A lower one takes memory earlier.
	HighCost float64
	// LowCost is the part below which the limit falls again, after LowCount samples in a row.
	LowCost float64
	// LowCount is the number of such samples. With fewer the limit falls between two bursts of
	// load.
	LowCount int
	// Raise and Lower are the factors of one step.
	Raise, Lower float64
}

// MinLimit is the limit of a node whose collections cost little, in bytes.
const MinLimit = 48 << 20

// vmFraction is the part of the memory of the VM that a node may take at most, as its divisor.
const vmFraction = 2

// DefaultConfig returns settings for four samples a second on a VM with that much memory, in
// bytes. The memory of a VM that is not known is 0.
func DefaultConfig(vm int64) Config {
	return Config{Min: MinLimit, Max: max(vm/vmFraction, MinLimit), HighCost: 0.2, LowCost: 0.05, LowCount: 40, Raise: 1.3, Lower: 0.9}
}

// Controller raises the limit while collections take too much of the processor time. It is not
// safe for concurrent use.
type Controller struct {
	cfg        Config
	limit      int64
	lowSamples int // in a row
}

// New returns a controller that begins with the minimum.
func New(cfg Config) *Controller { return &Controller{cfg: cfg, limit: cfg.Min} }

// Limit returns the present limit in bytes.
func (c *Controller) Limit() int64 { return c.limit }

// Observe processes one sample, the part of the used processor time that collections took, and
// reports whether the limit has changed.
func (c *Controller) Observe(cost float64) (changed bool) {
	old := c.limit
	switch {
	case cost > c.cfg.HighCost:
		c.limit = min(int64(float64(c.limit)*c.cfg.Raise), c.cfg.Max)
		c.lowSamples = 0
	case cost > c.cfg.LowCost:
		c.lowSamples = 0
	default:
		if c.lowSamples++; c.lowSamples >= c.cfg.LowCount {
			c.limit = max(int64(float64(c.limit)*c.cfg.Lower), c.cfg.Min)
			c.lowSamples = 0
		}
	}
	return c.limit != old
}
