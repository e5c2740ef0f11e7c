package backend

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/standin/backend/payload"
)

// HTTP headers of requests and answers.
const (
	RequestIDHeader      = "X-Request-Id"
	TimeoutHeader        = "X-Request-Timeout-Ms"
	ShedHeader           = "X-Shed" // "1" on the answer to a request that was not run
	IdempotencyKeyHeader = "Idempotency-Key"
	TeamHeader           = "Dogwoodhatch-Team"
	OutcomeHeader        = "Dogwoodhatch-Outcome"
)

const (
	coldSlowdown        = 4 // factor on the service time during Options.Warmup
	maxRequestBodyBytes = 8 << 20
)

// handleWork executes a request once it has a slot, or sheds it.
func (s *Server) handleWork(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(RequestIDHeader, r.Header.Get(RequestIDHeader))
	// net/http cancels the request context of a disconnected caller only after
	// the request body has been read.
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxRequestBodyBytes)); err != nil {
		http.Error(w, "the request body broke off; send it again", http.StatusBadRequest)
		return
	}
	size, err := bodySize(r)
	if err != nil {
		http.Error(w, "malformed size; use a number of bytes", http.StatusBadRequest)
		return
	}
	if s.behaviour.shedsAll() || !s.slots.tryEnter() {
		s.shed(w)
		return
	}
	defer s.slots.leave()
	ctx, cancel := requestContext(r)
	defer cancel()
	if err := s.slots.acquire(ctx); err != nil {
		s.answerContextError(w, err)
		return
	}
	defer s.slots.release()
	s.execute(ctx, w, r, size)
}

// execute records and runs a request that holds a slot.
func (s *Server) execute(ctx context.Context, w http.ResponseWriter, r *http.Request, size int) {
	id := r.Header.Get(RequestIDHeader)
	index := s.recorder.start(time.Now(), Execution{
		ID:   id,
		Key:  r.Header.Get(IdempotencyKeyHeader),
		Team: r.Header.Get(TeamHeader), KeySeen: r.Header.Get("Authorization") != "",
		Path: r.URL.Path,
	})
	if s.behaviour.failsFast() {
		http.Error(w, "failing as told", http.StatusInternalServerError)
		return
	}
	if err := s.simulateWork(ctx); err != nil {
		s.answerContextError(w, err)
		return
	}
	if err := s.makeCalls(ctx, r); err != nil {
		s.answerCallError(ctx, w, err)
		return
	}
	body := payload.Body(id, size)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := w.Write(body); err == nil {
		s.recorder.finish(index)
	}
}

// simulateWork waits for one service time, and then for as long as the server is
// frozen.
func (s *Server) simulateWork(ctx context.Context) error {
	timer := time.NewTimer(s.drawServiceTime())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-s.behaviour.unfrozenChan():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// drawServiceTime returns a random service time, or the mean if the distribution
// is Fixed.
func (s *Server) drawServiceTime() time.Duration {
	mean := float64(s.behaviour.meanServiceTime())
	if s.isCold(time.Now()) {
		mean *= coldSlowdown
	}
	if s.opts.Distribution == Exponential {
		mean *= s.random.exponential()
	}
	return time.Duration(mean)
}

func (s *Server) shed(w http.ResponseWriter) {
	s.recorder.update(func(e *Executions) { e.Shed++ })
	w.Header().Set(ShedHeader, "1")
	http.Error(w, "out of connections; not run, try another backend server", http.StatusServiceUnavailable)
}

// answerContextError answers 504 to a request whose deadline has passed. If the
// caller has disconnected, it aborts the handler instead.
func (s *Server) answerContextError(w http.ResponseWriter, err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		s.recorder.update(func(e *Executions) { e.Expired++ })
		http.Error(w, "the deadline has passed; allow more time", http.StatusGatewayTimeout)
		return
	}
	s.recorder.update(func(e *Executions) { e.Canceled++ })
	// The caller is gone. Aborting closes the connection without an answer.
	panic(http.ErrAbortHandler)
}

// answerCallError answers a request after one of its calls failed.
func (s *Server) answerCallError(ctx context.Context, w http.ResponseWriter, err error) {
	if ctx.Err() != nil {
		s.answerContextError(w, ctx.Err())
		return
	}
	status := http.StatusBadGateway
	if errors.Is(err, errCallRefused) {
		status = http.StatusServiceUnavailable
	}
	s.log.Debug("call failed", zap.Error(err), zap.Int("status", status))
	http.Error(w, err.Error(), status)
}

// requestContext returns a context that ends when the caller disconnects or when
// the timeout in the TimeoutHeader passes.
func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.Atoi(r.Header.Get(TimeoutHeader))
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// bodySize returns the size of the answer body in bytes that the query parameter
// "size" asks for.
func bodySize(r *http.Request) (int, error) {
	value := r.URL.Query().Get("size")
	if value == "" {
		return payload.DefaultSize, nil
	}
	size, err := strconv.Atoi(value)
	return min(size, payload.MaxSize), err
}

// lockedRand is a random source that is safe for concurrent use.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// exponential returns an exponentially distributed number with mean 1.
func (l *lockedRand) exponential() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.ExpFloat64()
}
