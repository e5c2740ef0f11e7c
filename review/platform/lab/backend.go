package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// backendOptions describe one start of a backend server.
type backendOptions struct {
	id    string
	slots int
	work  func(r *http.Request) time.Duration // execution time of a request; nil for 20 ms

	answerBytes int  // size of an answer; 0 for a short one
	quiet       bool // the record does not tell of each request
}

// execution is one request that a backend server began to run.
type execution struct {
	id, method, path string
	at               time.Time
	ended            time.Time // zero while it works, or writes its answer
}

// unreadLimit is how long an answer may remain unread until the backend server cuts it off.
const unreadLimit = 5 * time.Second

// backend is a stand-in of a backend server on a machine.
type backend struct {
	m     *machine
	opts  backendOptions
	born  int64
	http  *http.Server
	slots chan struct{}

	mu         sync.Mutex
	seq        int64
	silent     bool // sends no check-ins
	stopped    bool
	executions []execution
	running    int
	waiting    int
}

// startBackend starts a backend server at the application address of a machine.
func (m *machine) startBackend(opts backendOptions) (*backend, error) {
	ln, err := net.Listen("tcp", m.app)
	if err != nil {
		return nil, err
	}
	b := &backend{m: m, opts: opts, born: time.Now().UnixMilli(), slots: make(chan struct{}, opts.slots)}
	b.http = &http.Server{Handler: http.HandlerFunc(b.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = b.http.Serve(ln) }()
	go b.sendCheckins()
	m.l.note("%s: backend server %s of service %s started", m.name, opts.id, m.service)
	return b, nil
}

func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Instance-Id", b.opts.id)
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	b.mu.Lock()
	b.waiting++
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", b.running, b.waiting-1, b.opts.slots))
	b.mu.Unlock()
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != b.opts.id {
		b.endWait()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	deadline, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil {
		deadline = 60_000
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(deadline)*time.Millisecond)
	defer cancel()
	var body bytes.Buffer
	if _, err := body.ReadFrom(r.Body); err != nil {
		b.endWait()
		return
	}
	select {
	case b.slots <- struct{}{}:
	case <-ctx.Done():
		b.endWait()
		h.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.slots }()
	b.endWait()
	b.execute(ctx, w, r)
}

func (b *backend) endWait() {
	b.mu.Lock()
	b.waiting--
	b.mu.Unlock()
}

// execute runs a request: it works for a while, and drops the work if the caller leaves.
func (b *backend) execute(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	e := execution{id: r.Header.Get("X-Request-Id"), method: r.Method, path: r.URL.Path, at: time.Now()}
	b.mu.Lock()
	at := len(b.executions)
	b.executions = append(b.executions, e)
	b.running++
	b.mu.Unlock()
	defer b.endExecution(at)
	if !b.opts.quiet {
		b.m.l.noteAt(e.at, "%s: backend server %s runs %s %s id %s", b.m.name, b.opts.id, e.method, e.path, e.id)
	}
	work := 20 * time.Millisecond
	if b.opts.work != nil {
		work = b.opts.work(r)
	}
	timer := time.NewTimer(work)
	defer timer.Stop()
	dropped := false
	select {
	case <-timer.C:
	case <-ctx.Done():
		dropped = true
	}
	if dropped {
		b.m.l.note("%s: backend server %s drops id %s after %v, since its caller has left or its time is over", b.m.name, b.opts.id, e.id, time.Since(e.at).Round(time.Millisecond))
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	w.Header().Set("X-Server-Stamp", "stamp."+e.id)
	if b.opts.answerBytes == 0 {
		fmt.Fprintf(w, "answer to %s", e.id)
		return
	}
	h := w.Header()
	h.Set("Content-Length", strconv.Itoa(b.opts.answerBytes))
	n, err := b.writeZeros(w)
	b.m.l.note("%s: backend server %s has written %d bytes for id %s, error %v", b.m.name, b.opts.id, n, e.id, err)
}

// writeZeros writes an answer of the configured size, and cuts it off if it remains unread.
func (b *backend) writeZeros(w http.ResponseWriter) (int, error) {
	control := http.NewResponseController(w)
	chunk := make([]byte, 32<<10)
	written := 0
	for written < b.opts.answerBytes {
		if err := control.SetWriteDeadline(time.Now().Add(unreadLimit)); err != nil {
			return written, err
		}
		n, err := w.Write(chunk[:min(len(chunk), b.opts.answerBytes-written)])
		written += n
		if err != nil {
			return written, err
		}
	}
	if err := control.Flush(); err != nil {
		return written, err
	}
	return written, control.SetWriteDeadline(time.Time{})
}

func (b *backend) endExecution(at int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
	b.executions[at].ended = time.Now()
}

// ran returns the requests that the backend server began to run.
func (b *backend) ran() []execution {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]execution(nil), b.executions...)
}

// checkin is one check-in of a backend server.
type checkin struct {
	Born    int64  `json:"born"`
	Address string `json:"address"`
	Info    struct {
		Service string `json:"service"`
		Version string `json:"version"`
		Zone    string `json:"zone"`
		Slots   int    `json:"slots"`
	} `json:"info"`
	Status struct {
		State         string `json:"state"`
		Seq           int64  `json:"seq"`
		ColdRemaining string `json:"cold_remaining"`
	} `json:"status"`
}

// nextCheckin returns the next check-in, which is yet to be sent.
func (b *backend) nextCheckin(state string) checkin {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	c := checkin{Born: b.born, Address: b.m.app}
	c.Info.Service, c.Info.Version, c.Info.Zone, c.Info.Slots = b.m.service, "v1", b.m.zone, b.opts.slots
	c.Status.State, c.Status.Seq, c.Status.ColdRemaining = state, b.seq, "0ms"
	return c
}

// post sends a message to the control address of the machine and reports whether it was
// acknowledged within a second.
func (b *backend) post(path string, message any) bool {
	body, err := json.Marshal(message)
	if err != nil {
		return false
	}
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+b.m.control+path, "application/json", bytes.NewReader(body))
	if err != nil {
		b.m.l.note("%s: %s %s: no acknowledgement: %v", b.m.name, path, body, err)
		return false
	}
	resp.Body.Close()
	b.m.l.note("%s: %s %s: status %d", b.m.name, path, body, resp.StatusCode)
	return resp.StatusCode/100 == 2
}

func (b *backend) sendCheckin(c checkin) bool {
	return b.post("/v1/Instances.Heartbeat/"+b.opts.id, c)
}

// leave tells the node that the backend server is gone, and reports the acknowledgement.
func (b *backend) leave() bool {
	return b.post("/v1/Instances.Leave/"+b.opts.id, map[string]int64{"born": b.born})
}

// silence ends the regular check-ins.
func (b *backend) silence() {
	b.mu.Lock()
	b.silent = true
	b.mu.Unlock()
}

func (b *backend) isSilent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.silent || b.stopped
}

func (b *backend) sendCheckins() {
	for ; !b.isSilent(); time.Sleep(heartbeat) {
		b.sendCheckin(b.nextCheckin("ready"))
	}
}

// exit ends the backend server.
func (b *backend) exit() {
	b.mu.Lock()
	b.stopped = true
	b.mu.Unlock()
	b.http.Close()
	b.m.l.note("%s: backend server %s ended", b.m.name, b.opts.id)
}
