package backend

import (
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

// Distributions of the service time.
const (
	Exponential = "exponential"
	Fixed       = "fixed"
)

// Options are the settings of one backend server.
type Options struct {
	// Listen is the TCP address that the server answers on; port 0 takes a
	// free one.
	Listen string `long:"listen" description:"TCP address to answer on"`

	// Service is the name under which the server announces itself.
	Service string `long:"service" description:"name of the service"`

	// Slots is how many requests are executed at once. More requests wait
	// inside the server, without a queue limit but for Connections.
	Slots int `long:"slots" description:"requests executed at once"`

	// Connections is how many requests may be inside the server, waiting or
	// executed. Those over it are shed before they run.
	Connections int `long:"connections" description:"requests held at once; more are shed"`

	// ServiceTime is the mean time that one request is worked on, calls of
	// its own not counted.
	ServiceTime time.Duration `long:"service-time" description:"mean time of work for one request"`

	// Distribution of the service time: exponential or fixed.
	Distribution string `long:"distribution" description:"distribution of the service time: exponential or fixed"`

	// Warmup is how long after its start the server is cold: requests take
	// four times as long. Zero means that it starts warm.
	Warmup time.Duration `long:"warmup" description:"time after the start during which work takes four times as long"`

	// Seed of the service times; equal seeds draw equal times.
	Seed uint64 `long:"seed" description:"seed of the service times"`

	// Calls lists the calls that each request makes in its turn, as
	// "service:/path,service:/path". All are needed for an answer.
	Calls string `long:"calls" description:"calls made for each request, as service:/path,service:/path"`

	// Node is the base URL of the local listener of the node beside the
	// server. It is announced to and calls go through it; empty means no node.
	Node string `long:"node" description:"base URL of the node's local listener"`

	// NoContext keeps baggage and traceparent from being passed on to calls.
	NoContext bool `long:"no-context" description:"pass no baggage and no traceparent on"`

	// DrainTimeout is how long a shutdown waits for requests in flight.
	DrainTimeout time.Duration `long:"drain-timeout" description:"longest wait for requests in flight at a shutdown"`

	// Logger takes one line per event; nil logs nothing.
	Logger *zap.Logger `no-flag:"true"`
}

// DefaultOptions returns the settings of one ratebrowser backend server.
func DefaultOptions() *Options {
	return &Options{
		Listen:       "127.0.0.1:0",
		Service:      "ratebrowser",
		Slots:        140,
		Connections:  950,
		ServiceTime:  20 * time.Millisecond,
		Distribution: Exponential,
		Seed:         1,
		DrainTimeout: 30 * time.Second,
	}
}

// validate returns an error of kind errs.Invalid for settings that make no
// working server.
func (o *Options) validate() error {
	if o.Service == "" {
		return errs.New(errs.Invalid, "set --service", "the service has no name")
	}
	if o.Slots < 1 {
		return errs.New(errs.Invalid, "set --slots to 1 or more", "%d slots execute nothing", o.Slots)
	}
	if o.Connections < o.Slots {
		return errs.New(errs.Invalid, "set --connections to at least --slots",
			"%d connections are fewer than %d slots", o.Connections, o.Slots)
	}
	if o.Distribution != Exponential && o.Distribution != Fixed {
		return errs.New(errs.Invalid, "use exponential or fixed", "distribution %q does not exist", o.Distribution)
	}
	return nil
}
