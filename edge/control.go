package edge

import (
	"net/http"

	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

// NewControlServer returns a server for a listener of a node that is not for callers, for example
// for operators. Its connections, heads and bodies of at most maxBodyBytes are bounded like those
// of callers, so that whoever reaches the listener cannot end the process.
func NewControlServer(k *kernel.Kernel, h http.Handler, maxBodyBytes int64) *Server {
	opts := DefaultServerOptions()
	opts.MaxBodyBytes = func() int64 { return maxBodyBytes }
	opts.MaxPipelined = 1 // bounds the bodies, which take no room that callers may use up
	opts.Heads = k.Heads
	opts.MaxConns = k.ControlConns()
	return NewServer(h, opts, k.Log)
}
