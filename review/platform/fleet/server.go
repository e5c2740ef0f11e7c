package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// server is a backend server whose answers and work are chosen by the case.
type server struct {
	node     *node
	instance string
	service  string
	born     int64
	handler  func(s *server, w http.ResponseWriter, r *http.Request, body []byte)
	http     *http.Server

	mu   sync.Mutex
	seq  int
	runs map[string]*execution // by request ID
	stop chan struct{}
}

// execution is the time for which a backend server was at work on a request.
type execution struct {
	began, ended time.Time // ended is zero while it is at work
}

// startServer starts a backend server beside a node and its check-ins.
func startServer(n *node, instance, service string, slots int, handler func(*server, http.ResponseWriter, *http.Request, []byte)) (*server, error) {
	ln, err := net.Listen("tcp", n.addr(portBackend))
	if err != nil {
		return nil, err
	}
	s := &server{node: n, instance: instance, service: service, born: time.Now().UnixMilli(), handler: handler, runs: map[string]*execution{}, stop: make(chan struct{})}
	s.http = &http.Server{Handler: s}
	go s.http.Serve(ln)
	go s.checkIn(slots)
	n.fleet.atEnd(s.close)
	return s, nil
}

func (s *server) close() {
	select {
	case <-s.stop:
	default:
		close(s.stop)
	}
	s.http.Close()
}

func (s *server) checkIn(slots int) {
	client := &http.Client{Timeout: time.Second}
	for {
		s.mu.Lock()
		s.seq++
		message := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":%d},"status":{"state":"ready","seq":%d,"cold_remaining":"0ms"}}`,
			s.node.addr(portBackend), s.born, s.service, s.node.zone, slots, s.seq)
		s.mu.Unlock()
		if resp, err := client.Post("http://"+s.node.addr(portControl)+"/v1/Instances.Heartbeat/"+s.instance, "application/json", strings.NewReader(message)); err == nil {
			resp.Body.Close()
		}
		select {
		case <-s.stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != s.instance {
		w.Header().Set("X-Instance-Id", s.instance)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	at := &execution{began: time.Now()}
	s.mu.Lock()
	s.runs[id] = at
	s.mu.Unlock()
	w.Header().Set("X-Server-Stamp", s.instance+"."+id)
	s.handler(s, w, r, body)
	s.mu.Lock()
	at.ended = time.Now()
	s.mu.Unlock()
}

// ranUntil returns until when the server was at work on a request, the zero time if it still is,
// and whether it got the request.
func (s *server) ranUntil(id string) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.runs[id]
	if !ok {
		return time.Time{}, false
	}
	return at.ended, true
}
