package load

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/standin/backend"
	"github.com/dogwoodhatch/dogwoodhatch/standin/backend/payload"
)

const testMix = `
[class purchase]
service = reportshop
method = POST
path = /reports
body = 100
idempotent = false
timeout = 2s
`

// faultyServer acts as both node and backend server. The test determines its
// answers and the executions that it reports.
type faultyServer struct {
	mu     sync.Mutex
	report backend.Executions
	answer func(f *faultyServer, w http.ResponseWriter, r *http.Request)
}

// recordExecution adds an execution of the request to the report.
func (f *faultyServer) recordExecution(r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.report.List = append(f.report.List, backend.Execution{
		ID:  r.Header.Get(backend.RequestIDHeader),
		Key: r.Header.Get(backend.IdempotencyKeyHeader),
	})
}

func (f *faultyServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/executions" {
		f.answer(f, w, r)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	json.NewEncoder(w).Encode(f.report)
}

func answerWhole(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(backend.RequestIDHeader)
	w.Header().Set(backend.RequestIDHeader, id)
	w.Write(payload.Body(id, payload.DefaultSize))
}

func answerRefused(w http.ResponseWriter) {
	w.Header().Set(outcomeHeader, "refused")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// runAgainst sends load to a server that handles requests with answer, and
// returns the report. configure changes the options first.
func runAgainst(t *testing.T, answer func(*faultyServer, http.ResponseWriter, *http.Request), configure func(*Options)) *Report {
	t.Helper()
	server := httptest.NewServer(&faultyServer{answer: answer})
	t.Cleanup(server.Close)
	opts := DefaultOptions()
	opts.Targets, opts.Backends = []string{server.URL}, []string{server.URL}
	opts.Rate, opts.Duration, opts.Settle, opts.ClientPause = 200, 100*time.Millisecond, 0, 0
	opts.Mix = t.TempDir() + "/mix.ini"
	writeFile(t, opts.Mix, testMix)
	configure(opts)
	run, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	report, err := run.Main()
	if err != nil {
		t.Fatal(err)
	}
	if report.All.Offered == 0 {
		t.Fatal("no request was sent")
	}
	return report
}

func TestReportDetectsEachFault(t *testing.T) {
	countVerdict := func(v Verdict) func(*Report) int {
		return func(r *Report) int { return r.All.Verdicts[v] }
	}
	cases := map[string]struct {
		answer func(*faultyServer, http.ResponseWriter, *http.Request)
		count  func(*Report) int
		sound  bool
	}{
		"whole": {func(f *faultyServer, w http.ResponseWriter, r *http.Request) {
			f.recordExecution(r)
			answerWhole(w, r)
		}, countVerdict(Whole), true},
		"header of another request": {func(f *faultyServer, w http.ResponseWriter, r *http.Request) {
			w.Header().Set(backend.RequestIDHeader, "another")
			w.Write(payload.Body(r.Header.Get(backend.RequestIDHeader), payload.DefaultSize))
		}, countVerdict(Wrong), false},
		"header line that is none": {func(f *faultyServer, w http.ResponseWriter, r *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			id := r.Header.Get(backend.RequestIDHeader)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nX Odd: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", backend.RequestIDHeader, id, payload.DefaultSize, payload.Body(id, payload.DefaultSize))
		}, countVerdict(Wrong), false},
		"body of another request": {func(f *faultyServer, w http.ResponseWriter, r *http.Request) {
			w.Header().Set(backend.RequestIDHeader, r.Header.Get(backend.RequestIDHeader))
			w.Write(payload.Body("another", payload.DefaultSize))
		}, countVerdict(Wrong), false},
		"truncated with a clean end": {func(f *faultyServer, w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get(backend.RequestIDHeader)
			w.Header().Set(backend.RequestIDHeader, id)
			w.Write(payload.Body(id, payload.DefaultSize)[:1000])
		}, countVerdict(Wrong), false},
		"truncated by a cut connection": {func(f *faultyServer, w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(payload.DefaultSize))
			w.Write(make([]byte, 1000))
			panic(http.ErrAbortHandler)
		}, func(r *Report) int { return min(r.All.Cut, r.All.Verdicts[Unknown]) }, true},
		"run twice": {func(f *faultyServer, w http.ResponseWriter, r *http.Request) {
			f.recordExecution(r)
			f.recordExecution(r)
			answerWhole(w, r)
		}, func(r *Report) int { return r.Audit.Twice }, false},
		"run twice, key lost": {func(f *faultyServer, w http.ResponseWriter, r *http.Request) {
			f.recordExecution(r)
			r.Header.Del(backend.IdempotencyKeyHeader)
			f.recordExecution(r)
			answerWhole(w, r)
		}, func(r *Report) int { return r.Audit.Twice }, false},
		"falsely refused": {func(f *faultyServer, w http.ResponseWriter, r *http.Request) {
			f.recordExecution(r)
			answerRefused(w)
		}, func(r *Report) int { return r.Audit.FalseRefused }, false},
		"falsely refused, known from a nested call": {func(f *faultyServer, w http.ResponseWriter, r *http.Request) {
			r.Header.Set(backend.RequestIDHeader, r.Header.Get(backend.RequestIDHeader)+">0.quotedesk")
			f.recordExecution(r)
			answerRefused(w)
		}, func(r *Report) int { return r.Audit.FalseRefused }, false},
		"refused": {func(f *faultyServer, w http.ResponseWriter, r *http.Request) {
			answerRefused(w)
		}, countVerdict(Refused), true},
		"unknown": {func(f *faultyServer, w http.ResponseWriter, r *http.Request) {
			w.Header().Set(outcomeHeader, "unknown")
			w.WriteHeader(http.StatusBadGateway)
		}, countVerdict(Unknown), true},
		"failed": {func(f *faultyServer, w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(http.StatusBadGateway)
		}, countVerdict(Failed), true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := runAgainst(t, c.answer, func(*Options) {})
			if got := c.count(r); got != r.All.Offered || r.Sound() != c.sound {
				t.Fatalf("counted %d of %d submissions, sound is %t: %s", got, r.All.Offered, r.Sound(), r.Line())
			}
		})
	}
}

func TestLateAnswerIsNoGoodput(t *testing.T) {
	r := runAgainst(t, func(f *faultyServer, w http.ResponseWriter, r *http.Request) {
		time.Sleep(30 * time.Millisecond)
		answerWhole(w, r)
	}, func(o *Options) {
		writeFile(t, o.Mix, testMix+"timeout = 10ms\n")
		o.Grace = 10 * time.Second
	})
	if got := r.All.Verdicts[Late]; got != r.All.Offered {
		t.Fatalf("%d late: %s", got, r.Line())
	}
}

// The retry gets a whole answer within its own timeout, but later than the
// timeout after the arrival.
func TestWholeAnswerToLateRetryIsNoGoodput(t *testing.T) {
	r := runAgainst(t, func(f *faultyServer, w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.Header.Get(backend.RequestIDHeader), ".0") {
			answerRefused(w)
			return
		}
		answerWhole(w, r)
	}, func(o *Options) { o.ClientRetries, o.ClientPause = 1, 2100*time.Millisecond })
	if got := r.All.Verdicts[Late]; got != r.All.Offered {
		t.Fatalf("%d late: %s", got, r.Line())
	}
}

func TestClientRetriesKeepTheIdempotencyKey(t *testing.T) {
	var mu sync.Mutex
	seen := make(map[string]int)
	r := runAgainst(t, func(f *faultyServer, w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		key := r.Header.Get(backend.IdempotencyKeyHeader)
		seen[key]++
		if seen[key] <= 2 {
			answerRefused(w)
			return
		}
		f.recordExecution(r)
		answerWhole(w, r)
	}, func(o *Options) { o.ClientRetries = 2 })
	all := r.All
	if all.Verdicts[Whole] != all.Offered || all.Attempts != 3*all.Offered || len(seen) != all.Offered || !r.Sound() {
		t.Fatalf("%d keys: %s", len(seen), r.Line())
	}
}

func TestSlowFactorAppliesDuringTheCauseOnly(t *testing.T) {
	var mu sync.Mutex
	var controls []string
	runAgainst(t, func(f *faultyServer, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/control" {
			answerWhole(w, r)
			return
		}
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		defer mu.Unlock()
		controls = append(controls, string(body))
	}, func(o *Options) {
		o.Slow, o.SlowFactor = o.Targets, 20
		o.CauseFrom, o.CauseTo = 20*time.Millisecond, 40*time.Millisecond
	})
	if want := []string{`{"extra_slow":20}`, `{"extra_slow":1}`}; !slices.Equal(controls, want) {
		t.Fatalf("received %v", controls)
	}
}
