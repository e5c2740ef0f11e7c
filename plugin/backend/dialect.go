package backend

import (
	"net/http"
	"strconv"

	"github.com/dogwoodhatch/dogwoodhatch/baggage"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

// HeaderTimeout is the request header with the remaining time that the caller waits,
// in milliseconds.
const HeaderTimeout = "X-Request-Timeout-Ms"

// HeaderTeam is the request header with the team on whose behalf a call is made. Only
// nodes set it.
const HeaderTeam = "Dogwoodhatch-Team"

// builtinDialect is used if the platform sets no dialect. It sends the remaining time
// and the baggage to the backend server. A 503 response with the configured header is
// proof that the backend server did not run the call.
type builtinDialect struct{ shedHeader string }

// Encode implements kernel.BackendDialect.
func (d builtinDialect) Encode(h http.Header, req *kernel.BackendRequest) {
	h.Set(HeaderTimeout, strconv.FormatInt(req.TimeoutMS, 10))
	if req.Team != "" {
		h.Set(HeaderTeam, req.Team)
	}
	h.Set(baggage.Header, baggage.With(h.Get(baggage.Header), req.Token))
}

// Decode implements kernel.BackendDialect.
func (d builtinDialect) Decode(status int, h http.Header, _ *kernel.BackendRequest) kernel.BackendReport {
	shed := d.shedHeader != "" && status == http.StatusServiceUnavailable && h.Get(d.shedHeader) != ""
	return kernel.BackendReport{NotRun: shed}
}
