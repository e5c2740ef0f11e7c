package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/baggage"
	"github.com/dogwoodhatch/dogwoodhatch/bodybudget"
	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/edge"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/plugin/backend"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/retry"
)

// serveOutside starts a chain for a caller outside the fleet. Class, deadline and
// retry allowance come from the profile of the service, never from headers.
func (e *entry) serveOutside(w http.ResponseWriter, r *http.Request) {
	if !e.k.Drain.Enter() {
		writeRefusal(w, call.ReasonLeaving, 0)
		return
	}
	defer e.k.Drain.Exit()
	t, ok := e.authenticate(w, r)
	if !ok {
		return
	}
	req, ok := e.readRequest(w, r)
	if !ok {
		return
	}
	class := e.profileFor(req.Service).Match(r.Method, r.URL.Path)
	e.startChain(req, class, r)
	req.FromClient = true
	if retryAfter, overruns := e.k.Drain.Overruns(req.Chain.Deadline, time.Now()); overruns {
		writeRefusal(w, call.ReasonLeaving, retryAfter)
		return
	}
	if t != nil {
		req.Header.Del("Authorization")
		req.Chain.Team = t.Name
		if t.Priority != nil {
			req.Chain.Priority = *t.Priority
		}
	}
	// do returns no error, so none is returned here.
	ans, _ := e.k.WithinQuota(r.Context(), t, kernel.QuotaRequest{ID: req.Chain.RequestID, Deadline: req.Chain.Deadline}, func() (*kernel.Answer, error) {
		return e.k.Caller.Do(r.Context(), req), nil
	})
	e.writeResult(w, r, req, ans)
}

// serveLocal handles a sub-call of the backend server beside the node. The sub-call
// inherits chain and allowance from the execution named in its baggage header.
// Without one it starts a chain with the SubCall class of the profile.
func (e *entry) serveLocal(w http.ResponseWriter, r *http.Request) {
	exec, ok := e.k.Executions.Lookup(baggage.Token(r.Header.Get(baggage.Header)))
	if ok {
		// Sub-calls of running executions are accepted during a graceful shutdown.
		e.k.Drain.ForceEnter()
	} else if !e.k.Drain.Enter() {
		writeRefusal(w, call.ReasonLeaving, 0)
		return
	}
	defer e.k.Drain.Exit()
	req, valid := e.readRequest(w, r)
	if !valid {
		return
	}
	if ok {
		req.Chain = exec.Chain
		req.Allowance = exec.Allowance
		req.Parent = exec
	} else {
		e.startChain(req, &e.profileFor(req.Service).SubCall, r)
	}
	e.writeResult(w, r, req, e.k.Caller.Do(r.Context(), req))
}

// profileFor returns the profile in force for the service.
func (e *entry) profileFor(service string) *profile.Profile {
	p, _, _ := e.k.Profiles.Snapshot().ForService(service)
	return p
}

// startChain sets the chain and the retry allowance of a request that starts a
// chain.
func (e *entry) startChain(req *kernel.Request, class *profile.Class, r *http.Request) {
	req.Chain = call.Chain{
		ID: call.NewID(), RequestID: r.Header.Get(HeaderRequestID), Class: class.Name, Priority: class.Priority, Idempotent: class.Idempotent,
		Deadline: time.Now().Add(callerTimeout(r, class.Deadline)),
	}
	req.Allowance = retry.NewAllowance(class.Retries)
}

// callerTimeout returns the timeout asked for by the caller. A caller may shorten
// the deadline of its class, but not extend it.
func callerTimeout(r *http.Request, limit time.Duration) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(backend.HeaderTimeout), 10, 64)
	if err != nil || ms <= 0 || ms > limit.Milliseconds() {
		return limit
	}
	return time.Duration(ms) * time.Millisecond
}

// readRequest reads the request. If the request is invalid, readRequest answers the
// caller and reports false.
func (e *entry) readRequest(w http.ResponseWriter, r *http.Request) (*kernel.Request, bool) {
	service := r.Host
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		service = host
	}
	if service == "" || net.ParseIP(service) != nil {
		writeBadRequest(w, http.StatusBadRequest, "the Host header names no service; set it to the name of the service")
		return nil, false
	}
	limit := int64(e.k.Settings.Limits.MaxRequestBytes)
	roomCtx, cancel := context.WithTimeout(r.Context(), edge.DefaultServerOptions().RoomTimeout)
	defer cancel()
	body, err := edge.Body(roomCtx, r)
	if errors.Is(err, bodybudget.ErrNoRoom) || errors.Is(err, bodybudget.ErrTooLarge) {
		e.log.Info("body_refused", zap.String("request", r.Header.Get(HeaderRequestID)), zap.Int64("bytes", r.ContentLength), zap.Error(err))
		writeRefusal(w, call.ReasonBodyRoom, time.Second)
		return nil, false
	}
	if err != nil || int64(len(body)) > limit {
		writeBadRequest(w, http.StatusRequestEntityTooLarge, "the body broke off or exceeds "+strconv.FormatInt(limit, 10)+" bytes; send it whole or smaller")
		return nil, false
	}
	return &kernel.Request{
		Service: service, Method: r.Method, Target: r.URL.RequestURI(), Header: forwardHeader(r.Header), Body: body,
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
	}, true
}

// forwardHeader returns the headers that are passed on to the backend server.
func forwardHeader(h http.Header) http.Header {
	out := edge.ForwardHeader(h)
	removeNodeHeaders(out)
	return out
}

// removeNodeHeaders deletes the headers that only a node may set, and the execution
// token from the baggage header.
func removeNodeHeaders(h http.Header) {
	for _, name := range nodeHeaders {
		h.Del(name)
	}
	if v := h.Get(baggage.Header); v != "" {
		h.Set(baggage.Header, baggage.With(v, ""))
	}
}
