package load

import (
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

// Options are the settings of one run.
type Options struct {
	// Targets are the base URLs of the nodes' outside listeners. Each request
	// goes to one drawn at random.
	Targets []string `long:"target" description:"base URL of an outside listener; a comma-separated list or repeated"`

	// Mix is the INI file that describes the classes of requests.
	Mix string `long:"mix" description:"INI file with the classes of requests"`

	// Rate is the mean number of arrivals per second. Phases overrides it.
	Rate float64 `long:"rate" description:"arrivals per second"`

	// Duration is how long requests arrive. Phases overrides it.
	Duration time.Duration `long:"duration" description:"how long requests arrive"`

	// Phases is a list of durations and rates, "10s@100,5s@400".
	Phases string `long:"phases" description:"durations and rates in place of --rate and --duration, as 10s@100,5s@400"`

	// Seed of arrivals, classes and targets; equal seeds draw equal loads.
	Seed uint64 `long:"seed" description:"seed of arrivals, classes and targets"`

	// ClientRetries is how often a client sends a request again that did not
	// get a whole answer in time. Retry-After is ignored.
	ClientRetries int `long:"client-retries" description:"how often a client comes back after a failure"`

	// ClientPause is how long a client waits before it comes back.
	ClientPause time.Duration `long:"client-pause" description:"pause of a client before it comes back"`

	// Grace is how long past its timeout an answer is waited for, so that a
	// late answer is told from none.
	Grace time.Duration `long:"grace" description:"how long past its timeout an answer is waited for"`

	// Backends are the base URLs of the backend servers whose executions are
	// read at the end. Without them nothing is known of requests run twice or
	// falsely refused.
	Backends []string `long:"backend" description:"base URL of a backend server to read executions from; a comma-separated list or repeated"`

	// Settle is how long the executions are waited for after the last answer.
	Settle time.Duration `long:"settle" description:"wait after the last answer before executions are read"`

	// Table is a file that takes the report by class in Markdown.
	Table string `long:"table" description:"file for the report by class"`

	// CauseFrom and CauseTo bound the cause of an overload, counted from the
	// start. With CauseTo set, the time until goodput is back is measured.
	CauseFrom time.Duration `long:"cause-from" description:"start of the cause of an overload"`
	CauseTo   time.Duration `long:"cause-to" description:"end of the cause of an overload; measures recovery from there"`

	// Slow are the base URLs of backend servers that are slowed by SlowFactor
	// from CauseFrom to CauseTo.
	Slow       []string `long:"slow" description:"base URL of a backend server to slow during the cause; a comma-separated list or repeated"`
	SlowFactor float64  `long:"slow-factor" description:"factor of the service time during the cause"`
}

// DefaultOptions returns settings for a short run.
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

// validate returns an error of kind errs.Invalid for settings that send
// nothing or measure nothing.
func (o *Options) validate() error {
	if len(o.Targets) == 0 {
		return errs.New(errs.Invalid, "set --target", "there is no target")
	}
	if o.CauseTo > 0 && o.CauseFrom >= o.CauseTo {
		return errs.New(errs.Invalid, "set --cause-from before --cause-to",
			"the cause ends at %s and begins at %s", o.CauseTo, o.CauseFrom)
	}
	return nil
}
