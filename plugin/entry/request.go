package entry

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/baggage"
	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/edge"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/plugin/backend"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/retry"
)

// serveOutside starts a chain: class, deadline and retry allowance come from
// the profile of the service, never from headers.
func (e *entry) serveOutside(w http.ResponseWriter, r *http.Request) {
	if !e.k.Drain.Enter() {
		writeRefusal(w, call.ReasonLeaving, 0)
		return
	}
	defer e.k.Drain.Exit()
	req, ok := e.read(w, r)
	if !ok {
		return
	}
	c := e.profile(req.Service).Match(r.Method, r.URL.Path)
	e.begin(req, c, r)
	e.write(w, r, req, e.k.Caller.Do(r.Context(), req))
}

// serveLocal carries a sub-call of the backend server beside the node. It
// inherits from the execution that its baggage names; without one it gets the
// class for sub-calls that carry no context.
func (e *entry) serveLocal(w http.ResponseWriter, r *http.Request) {
	exec, ok := e.k.Executions.Lookup(baggage.Token(r.Header.Get(baggage.Header)))
	if ok {
		// Work in flight may finish while the node is leaving.
		e.k.Drain.ForceEnter()
	} else if !e.k.Drain.Enter() {
		writeRefusal(w, call.ReasonLeaving, 0)
		return
	}
	defer e.k.Drain.Exit()
	req, valid := e.read(w, r)
	if !valid {
		return
	}
	if ok {
		req.Chain = exec.Chain
		req.Allowance = exec.Allowance
	} else {
		e.begin(req, &e.profile(req.Service).SubCall, r)
	}
	e.write(w, r, req, e.k.Caller.Do(r.Context(), req))
}

func (e *entry) profile(service string) *profile.Profile {
	p, _, _ := e.k.Policies.Snapshot().ForService(service)
	return p
}

// begin sets the chain of a first request.
func (e *entry) begin(req *kernel.Request, c *profile.Class, r *http.Request) {
	req.Chain = call.Chain{
		ID: call.NewID(), RequestID: r.Header.Get(HeaderRequestID), Class: c.Name, Priority: c.Priority, Idempotent: c.Idempotent,
		Deadline: time.Now().Add(callerTimeout(r, c.Deadline)),
	}
	req.Allowance = retry.NewAllowance(c.Retries)
}

// callerTimeout lets a caller shorten the deadline of its class, not extend it.
func callerTimeout(r *http.Request, limit time.Duration) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(backend.HeaderTimeout), 10, 64)
	if err != nil || ms <= 0 || ms > limit.Milliseconds() {
		return limit
	}
	return time.Duration(ms) * time.Millisecond
}

// read takes the request in; on a fault it answers the caller and reports false.
func (e *entry) read(w http.ResponseWriter, r *http.Request) (*kernel.Request, bool) {
	service := r.Host
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		service = host
	}
	if service == "" || net.ParseIP(service) != nil {
		writeBadRequest(w, http.StatusBadRequest, "the Host header names no service; set it to the name of the service")
		return nil, false
	}
	limit := int64(e.k.Settings.Limits.MaxRequestBytes)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		writeBadRequest(w, http.StatusRequestEntityTooLarge, "the body broke off or exceeds "+strconv.FormatInt(limit, 10)+" bytes; send it whole or smaller")
		return nil, false
	}
	return &kernel.Request{
		Service: service, Method: r.Method, Target: r.URL.RequestURI(), Header: forwardHeader(r.Header), Body: body,
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
	}, true
}

// forwardHeader returns the headers that are passed on.
func forwardHeader(h http.Header) http.Header {
	out := edge.ForwardHeader(h)
	removeOwn(out)
	return out
}

// removeOwn deletes the headers that only a node may set.
func removeOwn(h http.Header) {
	for _, name := range ownHeaders {
		h.Del(name)
	}
	if v := h.Get(baggage.Header); v != "" {
		h.Set(baggage.Header, baggage.With(v, ""))
	}
}
