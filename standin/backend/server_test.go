package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/standin/backend/payload"
)

const waitLimit = 10 * time.Second

// startServer runs a server with a fixed service time of 1 ms until the test
// ends. configure changes its options first.
func startServer(t *testing.T, configure func(*Options)) *Server {
	t.Helper()
	opts := DefaultOptions()
	opts.Distribution = Fixed
	opts.ServiceTime = time.Millisecond
	configure(opts)
	s, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Main() }()
	t.Cleanup(func() {
		s.Exit()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s
}

type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// send sends a request and reads the answer. headers alternates header names and
// values.
func send(ctx context.Context, s *Server, method, path, body string, headers ...string) answer {
	ctx, cancel := context.WithTimeout(ctx, waitLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.Addr()+path, bytes.NewBufferString(body))
	if err != nil {
		return answer{err: err}
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: got, err: err}
}

func get(s *Server, path string, headers ...string) answer {
	return send(context.Background(), s, http.MethodGet, path, "", headers...)
}

func putControl(t *testing.T, s *Server, body string) {
	t.Helper()
	if a := send(context.Background(), s, http.MethodPut, "/control", body); a.status != http.StatusOK {
		t.Fatalf("control %s: %d %s %v", body, a.status, a.body, a.err)
	}
}

func getExecutions(t *testing.T, s *Server) Executions {
	t.Helper()
	var e Executions
	if err := json.Unmarshal(get(s, "/executions").body, &e); err != nil {
		t.Fatal(err)
	}
	return e
}

// eventually waits until condition returns true. It fails the test after
// waitLimit.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", what)
}

func TestAnswerIsWholeAndRecorded(t *testing.T) {
	s := startServer(t, func(*Options) {})
	a := get(s, "/rates?size=5000", RequestIDHeader, "r1", IdempotencyKeyHeader, "k1")
	if a.status != http.StatusOK || a.header.Get(RequestIDHeader) != "r1" || len(a.body) != 5000 {
		t.Fatalf("%d, %v, %d bytes", a.status, a.header, len(a.body))
	}
	if err := payload.Check("r1", a.body); err != nil {
		t.Fatal(err)
	}
	want := Execution{ID: "r1", Key: "k1", Path: "/rates", Finished: true}
	eventually(t, "the execution is recorded", func() bool {
		list := getExecutions(t, s).List
		return len(list) == 1 && list[0] == want
	})
}

func TestConnectionsOverTheLimitAreShedBeforeTheyRun(t *testing.T) {
	s := startServer(t, func(o *Options) { o.Slots, o.Connections = 1, 2 })
	putControl(t, s, `{"freeze":true}`)
	answers := make(chan answer, 2)
	for _, id := range []string{"a", "b"} {
		go func() { answers <- get(s, "/", RequestIDHeader, id) }()
	}
	eventually(t, "two requests are in flight", func() bool { return s.slots.inFlight.Load() == 2 })
	a := get(s, "/", RequestIDHeader, "c")
	if a.status != http.StatusServiceUnavailable || a.header.Get(ShedHeader) != "1" {
		t.Fatalf("%d %v", a.status, a.header)
	}
	if e := getExecutions(t, s); len(e.List) != 1 || e.Shed != 1 {
		t.Fatalf("got %+v, want one execution in the one slot and one request shed", e)
	}
	putControl(t, s, `{"freeze":false}`)
	for range 2 {
		if a := <-answers; a.status != http.StatusOK {
			t.Fatalf("%d %v", a.status, a.err)
		}
	}
}

func TestControlInjectsFaults(t *testing.T) {
	s := startServer(t, func(*Options) {})
	putControl(t, s, `{"shed_all":true}`)
	if a := get(s, "/"); a.header.Get(ShedHeader) != "1" {
		t.Fatalf("shed_all: %d", a.status)
	}
	putControl(t, s, `{"shed_all":false,"fail_fast":true}`)
	if a := get(s, "/"); a.status != http.StatusInternalServerError || a.header.Get(ShedHeader) != "" {
		t.Fatalf("fail_fast: %d", a.status)
	}
	putControl(t, s, `{"fail_fast":false,"service_time_ms":50,"extra_slow":3}`)
	if got := s.drawServiceTime(); got != 150*time.Millisecond {
		t.Fatalf("service time %s", got)
	}
}

func TestColdServerIsSlower(t *testing.T) {
	s := startServer(t, func(o *Options) { o.Warmup = time.Hour })
	if got := s.drawServiceTime(); got != coldSlowdown*time.Millisecond {
		t.Fatalf("cold service time %s", got)
	}
	if a := get(s, "/health"); string(a.body) != "cold\n" {
		t.Fatalf("health %q", a.body)
	}
}

func TestDeadlineAndCancellationFreeTheSlot(t *testing.T) {
	s := startServer(t, func(o *Options) { o.Slots = 1 })
	putControl(t, s, `{"freeze":true}`)
	if a := get(s, "/", TimeoutHeader, "30"); a.status != http.StatusGatewayTimeout {
		t.Fatalf("deadline: %d %v", a.status, a.err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	canceled := make(chan answer, 1)
	go func() { canceled <- send(ctx, s, http.MethodPost, "/", "some body", RequestIDHeader, "gone") }()
	eventually(t, "the request is executing", func() bool { return len(getExecutions(t, s).List) == 2 })
	cancel()
	<-canceled
	eventually(t, "the slot is free", func() bool { return s.slots.inFlight.Load() == 0 })
	putControl(t, s, `{"freeze":false}`)
	if a := get(s, "/"); a.status != http.StatusOK {
		t.Fatalf("after the deadline and the cancellation: %d", a.status)
	}
	if e := getExecutions(t, s); e.Expired != 1 || e.Canceled != 1 {
		t.Fatalf("%+v", e)
	}
}

// fakeNode starts a node that handles calls with the given function and sends
// the method and body of each announcement to a channel.
func fakeNode(t *testing.T, call http.HandlerFunc) (url string, announcements chan string) {
	announcements = make(chan string, 100)
	mux := http.NewServeMux()
	mux.HandleFunc("/", call)
	mux.HandleFunc(announcePath, func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		announcements <- r.Method + " " + string(body)
	})
	node := httptest.NewServer(mux)
	t.Cleanup(node.Close)
	return node.URL, announcements
}

func TestCallsPropagateContext(t *testing.T) {
	for _, noContext := range []bool{false, true} {
		var seen http.Header
		var host string
		url, _ := fakeNode(t, func(w http.ResponseWriter, r *http.Request) {
			seen, host = r.Header, r.Host
			w.Write(payload.Body(r.Header.Get(RequestIDHeader), 100))
		})
		s := startServer(t, func(o *Options) { o.Calls, o.Node, o.NoContext = "quotedesk:/quotes", url, noContext })
		a := get(s, "/", RequestIDHeader, "r", "Baggage", "dogwoodhatch=token", "Traceparent", "00-1")
		if a.status != http.StatusOK || host != "quotedesk" {
			t.Fatalf("%d, host %q", a.status, host)
		}
		passed := seen.Get("Baggage") == "dogwoodhatch=token" && seen.Get("Traceparent") == "00-1"
		if passed == noContext {
			t.Fatalf("NoContext is %t, context passed on is %t", noContext, passed)
		}
	}
}

func TestFailedCallFailsTheRequest(t *testing.T) {
	cases := map[string]struct {
		call   http.HandlerFunc
		status int
	}{
		"refused": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(OutcomeHeader, "refused")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, http.StatusServiceUnavailable},
		"failed": {func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
		}, http.StatusBadGateway},
		"foreign": {func(w http.ResponseWriter, _ *http.Request) {
			w.Write(payload.Body("another", 100))
		}, http.StatusBadGateway},
	}
	for name, c := range cases {
		url, _ := fakeNode(t, c.call)
		s := startServer(t, func(o *Options) { o.Calls, o.Node = "quotedesk:/quotes", url })
		if a := get(s, "/", RequestIDHeader, "r"); a.status != c.status {
			t.Fatalf("%s: %d", name, a.status)
		}
		if e := getExecutions(t, s); (e.ForeignCalls == 1) != (name == "foreign") {
			t.Fatalf("%s: %+v", name, e)
		}
	}
}

func TestExitWithdrawsAndFinishesRequestsInFlight(t *testing.T) {
	url, announcements := fakeNode(t, http.NotFound)
	s := startServer(t, func(o *Options) { o.Node = url })
	announced := `{"service":"ratebrowser","address":"` + s.Addr() + `","slots":140,"connections":950}`
	if got := <-announcements; got != "PUT "+announced {
		t.Fatalf("announced %s", got)
	}
	putControl(t, s, `{"freeze":true}`)
	inFlight := make(chan answer, 1)
	go func() { inFlight <- get(s, "/") }()
	eventually(t, "the request is executing", func() bool { return len(s.recorder.snapshot().List) == 1 })
	go s.Exit()
	for got := range announcements {
		if got == "DELETE "+announced {
			break
		}
	}
	select {
	case <-s.exited:
		t.Fatal("the server exited with a request in flight")
	case <-time.After(2 * idlePeriod):
	}
	s.behaviour.setFrozen(false)
	if a := <-inFlight; a.status != http.StatusOK {
		t.Fatalf("the request in flight was cut off by the exit: %d %v", a.status, a.err)
	}
	<-s.exited
	if len(announcements) != 0 {
		t.Fatalf("announced after the withdrawal: %s", <-announcements)
	}
}
