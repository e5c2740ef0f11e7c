package backend

import (
	"net/http"
	"strconv"

	"github.com/dogwoodhatch/dogwoodhatch/baggage"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

// HeaderTimeout tells the backend server how long the caller still waits, in milliseconds.
const HeaderTimeout = "X-Request-Timeout-Ms"

// ownDialect is the project's own: remaining time and baggage go to the backend
// server, and a header of the settings proves that it did not run the call.
type ownDialect struct{ shedHeader string }

// Encode implements kernel.BackendDialect.
func (d ownDialect) Encode(h http.Header, req *kernel.BackendRequest) {
	h.Set(HeaderTimeout, strconv.FormatInt(req.TimeoutMS, 10))
	h.Set(baggage.Header, baggage.With(h.Get(baggage.Header), req.Token))
}

// Decode implements kernel.BackendDialect.
func (d ownDialect) Decode(status int, h http.Header, _ *kernel.BackendRequest) kernel.BackendReport {
	shed := d.shedHeader != "" && status == http.StatusServiceUnavailable && h.Get(d.shedHeader) != ""
	return kernel.BackendReport{NotRun: shed}
}
