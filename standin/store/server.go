package store

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	platform "github.com/dogwoodhatch/dogwoodhatch/store"
)

// Config configures a Server.
type Config struct {
	// WritesPerSecond and ReadsPerSecond bound the calls; a call beyond them is
	// answered with 429. A watch counts as one read.
	WritesPerSecond int
	ReadsPerSecond  int
}

// DefaultConfig returns the rates of the platform's service.
func DefaultConfig() Config {
	return Config{WritesPerSecond: 500, ReadsPerSecond: 2000}
}

// Server is the HTTP interface of the stand-in.
type Server struct {
	memory *memory
	mux    *http.ServeMux
	writes *rate.Limiter
	reads  *rate.Limiter

	mu     sync.Mutex
	faults Faults
	counts map[string]int
}

// New returns a server with an empty store.
func New(cfg Config) *Server {
	s := &Server{
		memory: newMemory(),
		mux:    http.NewServeMux(),
		writes: rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), cfg.WritesPerSecond),
		reads:  rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), cfg.ReadsPerSecond),
		counts: make(map[string]int),
	}
	s.read("get", "GET "+platform.PathEntry, s.get)
	s.read("list", "GET "+platform.PathEntries, s.list)
	s.read("watch", "GET "+platform.PathWatch, s.watch)
	s.write("cas", "PUT "+platform.PathEntry, s.swap)
	s.write("delete", "DELETE "+platform.PathEntry, s.remove)
	s.write("grant", "POST "+platform.PathLeases, s.grant)
	s.write("renew", "PUT "+platform.PathLeases+"/{lease}", s.renew)
	s.write("revoke", "DELETE "+platform.PathLeases+"/{lease}", s.revoke)
	s.mux.HandleFunc("GET /v1/counts", s.getCounts)
	s.mux.HandleFunc("GET /v1/faults", s.getFaults)
	s.mux.HandleFunc("PUT /v1/faults", s.putFaults)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// operation makes one call; the answer is encoded as JSON.
type operation func(r *http.Request) (any, error)

func (s *Server) read(kind, pattern string, op operation) {
	s.handle(kind, pattern, s.reads, false, op)
}

func (s *Server) write(kind, pattern string, op operation) {
	s.handle(kind, pattern, s.writes, true, op)
}

// handle counts a call, applies the faults and the rate, and answers it.
func (s *Server) handle(kind, pattern string, limit *rate.Limiter, write bool, op operation) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		s.count(kind)
		if !s.before(w, r, kind, write) {
			return
		}
		if !limit.Allow() {
			http.Error(w, "rate exceeded", http.StatusTooManyRequests)
			return
		}
		answer, err := op(r)
		if err == nil && write && s.takeLostAnswer() {
			cut(w)
			return
		}
		reply(w, answer, err)
	})
}

func (s *Server) count(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[kind]++
}

// Counts returns the number of calls of each kind so far.
func (s *Server) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.counts))
	for kind, n := range s.counts {
		counts[kind] = n
	}
	return counts
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) { reply(w, s.Counts(), nil) }

func (s *Server) get(r *http.Request) (any, error) {
	return s.memory.get(r.URL.Query().Get(platform.QueryKey))
}

func (s *Server) list(r *http.Request) (any, error) {
	return s.memory.list(r.URL.Query().Get(platform.QueryPrefix), 0, false), nil
}

func (s *Server) watch(r *http.Request) (any, error) {
	after, err := number(r, platform.QueryAfter)
	if err != nil {
		return nil, err
	}
	wait, err := number(r, platform.QueryWaitMS)
	if err != nil {
		return nil, err
	}
	prefix := r.URL.Query().Get(platform.QueryPrefix)
	timeout := time.NewTimer(min(time.Duration(wait)*time.Millisecond, platform.WatchTimeout))
	defer timeout.Stop()
	for {
		changed := s.memory.next()
		l := s.memory.list(prefix, after, true)
		if len(l.Entries) > 0 || l.Revision < after {
			return l, nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return l, nil
		case <-r.Context().Done():
			return l, nil
		}
	}
}

func (s *Server) swap(r *http.Request) (any, error) {
	expect, err := number(r, platform.QueryExpect)
	if err != nil {
		return nil, err
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, platform.MaxValueBytes+1))
	if err != nil || len(value) == 0 || len(value) > platform.MaxValueBytes {
		return nil, errs.New(errs.Invalid, "write 1 byte to 1 MiB", "value of %d bytes", len(value))
	}
	q := r.URL.Query()
	revision, err := s.memory.swap(q.Get(platform.QueryKey), value, expect, q.Get(platform.QueryLease))
	return platform.Written{Revision: revision}, err
}

func (s *Server) remove(r *http.Request) (any, error) {
	expect, err := number(r, platform.QueryExpect)
	if err != nil {
		return nil, err
	}
	if expect == 0 {
		return nil, errs.New(errs.Invalid, "name the revision to delete", "delete expects an absent key")
	}
	revision, err := s.memory.swap(r.URL.Query().Get(platform.QueryKey), nil, expect, "")
	return platform.Written{Revision: revision}, err
}

func (s *Server) grant(r *http.Request) (any, error) {
	ttl, err := number(r, platform.QueryTTLMS)
	if err != nil {
		return nil, err
	}
	return platform.Granted{Lease: s.memory.grant(time.Duration(ttl) * time.Millisecond)}, nil
}

func (s *Server) renew(r *http.Request) (any, error) {
	return struct{}{}, s.memory.renew(r.PathValue("lease"))
}

func (s *Server) revoke(r *http.Request) (any, error) {
	return struct{}{}, s.memory.revoke(r.PathValue("lease"))
}

func number(r *http.Request, name string) (uint64, error) {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 63)
	if err != nil {
		return 0, errs.Wrap(err, errs.Invalid, "send a whole number", "query value %q", name)
	}
	return n, nil
}

var statusOf = map[errs.Kind]int{
	errs.NotFound: http.StatusNotFound,
	errs.Conflict: http.StatusConflict,
	errs.Invalid:  http.StatusBadRequest,
}

func reply(w http.ResponseWriter, answer any, err error) {
	if err != nil {
		status, ok := statusOf[errs.KindOf(err)]
		if !ok {
			status = http.StatusInternalServerError
		}
		http.Error(w, err.Error(), status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}
