package load

import (
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

// Options configures a run.
type Options struct {
	// Targets are the base URLs of the nodes' outside listeners. The first
	// attempt of each request goes to a random one, retries to the next ones.
	Targets []string `long:"target" description:"base URL of an outside listener; a comma-separated list or repeated"`

	// Mix is the path of an INI file that defines the request classes. See
	// LoadMix.
	Mix string `long:"mix" description:"INI file with the classes of requests"`

	// Rate is the mean number of arrivals per second. Phases overrides it.
	Rate float64 `long:"rate" description:"mean number of arrivals per second"`

	// Duration is how long new requests arrive. Phases overrides it.
	Duration time.Duration `long:"duration" description:"how long new requests arrive"`

	// Phases is a list of durations and rates, such as "10s@100,5s@400".
	Phases string `long:"phases" description:"durations and rates that replace --duration and --rate, as 10s@100,5s@400"`

	// Seed of the random arrivals, classes and targets. Equal seeds give equal
	// load.
	Seed uint64 `long:"seed" description:"seed of the random arrivals, classes and targets"`

	// ClientRetries is how often a client retries a request that did not get a
	// complete answer in time. Clients ignore Retry-After.
	ClientRetries int `long:"client-retries" description:"how often a client retries after a failure"`

	// ClientPause is how long a client waits before each retry.
	ClientPause time.Duration `long:"client-pause" description:"how long a client waits before each retry"`

	// Grace is how long a client waits for an answer after the timeout, to
	// distinguish late answers from missing ones.
	Grace time.Duration `long:"grace" description:"how long a client waits for an answer after the timeout"`

	// Backends are the base URLs of the backend servers whose executions are
	// read after the run. Without them the report cannot tell whether requests
	// ran twice or were falsely refused.
	Backends []string `long:"backend" description:"base URL of a backend server to read executions from; a comma-separated list or repeated"`

	// Settle is how long to wait after the last answer before executions are
	// read.
	Settle time.Duration `long:"settle" description:"how long to wait after the last answer before executions are read"`

	// Table is the path of a file for the Markdown table of results by class.
	Table string `long:"table" description:"file for the Markdown table of results by class"`

	// CauseFrom and CauseTo are the start and end of the cause of an overload,
	// relative to the start of the run. If CauseTo is set, the report contains
	// the recovery time.
	CauseFrom time.Duration `long:"cause-from" description:"start of the cause of an overload, relative to the start of the run"`
	CauseTo   time.Duration `long:"cause-to" description:"end of the cause of an overload; the recovery time is measured from there"`

	// Slow are the base URLs of the backend servers whose service time is
	// multiplied by SlowFactor from CauseFrom to CauseTo.
	Slow       []string `long:"slow" description:"base URL of a backend server to slow down during the cause; a comma-separated list or repeated"`
	SlowFactor float64  `long:"slow-factor" description:"factor on the service time during the cause"`
}

// DefaultOptions returns the settings for a run of 10 s. Targets and Mix must be
// set.
func DefaultOptions() *Options {
	return &Options{
		Rate:        100,
		Duration:    10 * time.Second,
		Seed:        1,
		ClientPause: 50 * time.Millisecond,
		Grace:       500 * time.Millisecond,
		Settle:      500 * time.Millisecond,
		SlowFactor:  10,
	}
}

// validate returns an error of kind errs.Invalid if there is no target or if the
// cause does not end after it starts.
func (o *Options) validate() error {
	if len(o.Targets) == 0 {
		return errs.New(errs.Invalid, "set --target", "there is no target")
	}
	if o.CauseTo > 0 && o.CauseFrom >= o.CauseTo {
		return errs.New(errs.Invalid, "set --cause-from before --cause-to",
			"the cause ends at %s but starts at %s", o.CauseTo, o.CauseFrom)
	}
	return nil
}
