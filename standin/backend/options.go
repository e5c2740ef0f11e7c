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

// Options configures one backend server.
type Options struct {
	// Listen is the TCP address that the server listens on. Port 0 selects a
	// free port.
	Listen string `long:"listen" description:"TCP address to listen on"`

	// Service is the name under which the server announces itself.
	Service string `long:"service" description:"name of the service"`

	// Slots is the number of requests executed concurrently. Further requests
	// queue for a slot; only Connections limits the queue.
	Slots int `long:"slots" description:"requests executed at once"`

	// Connections is the number of requests that may be in flight, queued or
	// executing. Requests over this limit are shed before they run.
	Connections int `long:"connections" description:"requests in flight at once, queued or executing; more are shed"`

	// ServiceTime is the mean execution time of a request, excluding the
	// calls that it makes.
	ServiceTime time.Duration `long:"service-time" description:"mean execution time of a request, without its calls"`

	// Distribution of the service time, Exponential or Fixed.
	Distribution string `long:"distribution" description:"distribution of the service time: exponential or fixed"`

	// Warmup is how long the server stays cold after its start. While it is
	// cold, requests take four times as long. Zero starts it warm.
	Warmup time.Duration `long:"warmup" description:"time after the start during which requests take four times as long"`

	// Seed of the random service times. Equal seeds give equal sequences.
	Seed uint64 `long:"seed" description:"seed of the random service times"`

	// Calls lists the calls that each request makes in sequence, as
	// "service:/path,service:/path". If one fails, the request fails.
	Calls string `long:"calls" description:"calls that each request makes in sequence, as service:/path,service:/path"`

	// Node is the base URL of the local listener of the node beside the
	// server. The server announces itself to the node and makes its calls
	// through it. Empty means that there is no node.
	Node string `long:"node" description:"base URL of the node's local listener"`

	// NoContext stops the server from copying the Baggage and Traceparent
	// headers of a request to the calls that it makes.
	NoContext bool `long:"no-context" description:"do not pass the Baggage and Traceparent headers on to calls"`

	// DrainTimeout limits how long Exit waits for requests in flight.
	DrainTimeout time.Duration `long:"drain-timeout" description:"longest wait for requests in flight at a shutdown"`

	// Logger receives one line per event. A nil Logger discards them.
	Logger *zap.Logger `no-flag:"true"`
}

// DefaultOptions returns the settings of a backend server of the service
// ratebrowser.
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

// validate returns an error of kind errs.Invalid if a server could not work
// with the settings.
func (o *Options) validate() error {
	if o.Service == "" {
		return errs.New(errs.Invalid, "set --service", "the name of the service is missing")
	}
	if o.Slots < 1 {
		return errs.New(errs.Invalid, "set --slots to 1 or more", "with %d slots no request can be executed", o.Slots)
	}
	if o.Connections < o.Slots {
		return errs.New(errs.Invalid, "set --connections to at least --slots",
			"%d connections are fewer than %d slots", o.Connections, o.Slots)
	}
	if o.Distribution != Exponential && o.Distribution != Fixed {
		return errs.New(errs.Invalid, "set --distribution to exponential or fixed", "distribution %q does not exist", o.Distribution)
	}
	return nil
}
