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

// Headers of requests and answers.
const (
	RequestIDHeader      = "X-Request-Id"
	TimeoutHeader        = "X-Request-Timeout-Ms"
	ShedHeader           = "X-Shed" // "1" on the answer to a request that was not run
	IdempotencyKeyHeader = "Idempotency-Key"
	OutcomeHeader        = "Dogwoodhatch-Outcome"
)

const (
	coldFactor          = 4
	maxRequestBodyBytes = 8 << 20
)

// handleWork executes one request.
func (s *Server) handleWork(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(RequestIDHeader, r.Header.Get(RequestIDHeader))
	// net/http notices that the caller has gone only after the body is read.
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxRequestBodyBytes)); err != nil {
		http.Error(w, "the request body broke off; send it again", http.StatusBadRequest)
		return
	}
	size, err := bodySize(r)
	if err != nil {
		http.Error(w, "malformed size; use a number of bytes", http.StatusBadRequest)
		return
	}
	if s.behaviour.shedsAll() || !s.slots.enter() {
		s.shed(w)
		return
	}
	defer s.slots.leave()
	ctx, cancel := requestContext(r)
	defer cancel()
	if err := s.slots.acquire(ctx); err != nil {
		s.giveUp(w, err)
		return
	}
	defer s.slots.release()
	s.execute(ctx, w, r, size)
}

// execute runs a request that holds a slot.
func (s *Server) execute(ctx context.Context, w http.ResponseWriter, r *http.Request, size int) {
	id := r.Header.Get(RequestIDHeader)
	index := s.recorder.start(time.Now(), Execution{
		ID:   id,
		Key:  r.Header.Get(IdempotencyKeyHeader),
		Path: r.URL.Path,
	})
	if s.behaviour.failsFast() {
		http.Error(w, "failing as told", http.StatusInternalServerError)
		return
	}
	if err := s.work(ctx); err != nil {
		s.giveUp(w, err)
		return
	}
	if err := s.callAll(ctx, r); err != nil {
		s.failCall(ctx, w, err)
		return
	}
	body := payload.Body(id, size)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := w.Write(body); err == nil {
		s.recorder.finish(index)
	}
}

// work spends one service time and waits while the server is frozen.
func (s *Server) work(ctx context.Context) error {
	timer := time.NewTimer(s.drawServiceTime())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-s.behaviour.thawed():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) drawServiceTime() time.Duration {
	mean := float64(s.behaviour.mean())
	if s.cold(time.Now()) {
		mean *= coldFactor
	}
	if s.opts.Distribution == Exponential {
		mean *= s.random.exponential()
	}
	return time.Duration(mean)
}

func (s *Server) shed(w http.ResponseWriter) {
	s.recorder.count(func(e *Executions) { e.Shed++ })
	w.Header().Set(ShedHeader, "1")
	http.Error(w, "out of connections; not run, try another backend server", http.StatusServiceUnavailable)
}

// giveUp answers a request that ended at its deadline or whose caller has gone.
func (s *Server) giveUp(w http.ResponseWriter, err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		s.recorder.count(func(e *Executions) { e.Expired++ })
		http.Error(w, "the deadline has passed; allow more time", http.StatusGatewayTimeout)
		return
	}
	s.recorder.count(func(e *Executions) { e.Canceled++ })
	// Nobody reads this answer; the connection is not to be used again.
	panic(http.ErrAbortHandler)
}

// failCall answers a request one of whose own calls failed.
func (s *Server) failCall(ctx context.Context, w http.ResponseWriter, err error) {
	if ctx.Err() != nil {
		s.giveUp(w, ctx.Err())
		return
	}
	status := http.StatusBadGateway
	if errors.Is(err, errCallRefused) {
		status = http.StatusServiceUnavailable
	}
	s.log.Debug("call failed", zap.Error(err), zap.Int("status", status))
	http.Error(w, err.Error(), status)
}

// requestContext ends when the caller goes or its deadline passes.
func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.Atoi(r.Header.Get(TimeoutHeader))
	if err != nil || ms <= 0 {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

func bodySize(r *http.Request) (int, error) {
	text := r.URL.Query().Get("size")
	if text == "" {
		return payload.DefaultSize, nil
	}
	size, err := strconv.Atoi(text)
	return min(size, payload.MaxSize), err
}

// lockedRand draws service times. It is safe for concurrent use.
type lockedRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// exponential returns a draw of mean 1.
func (l *lockedRand) exponential() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.ExpFloat64()
}
