package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const abandonedState = `{"version":"00000001","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{"host":"cones.example","rules":[{"name":"chart","kind":"idempotent","target_latency":"2000ms","priority":1,"match":{"prefix":"/chart/"},"action":{"service":"kilns","timeout":"3000ms","max_attempts":2}}]}],"clusters":[{"name":"kilns","health_path":"/health","max_connections":160,"protocol":"h1","tls":false},{"name":"front","health_path":"/health","max_connections":160,"protocol":"h1","tls":false}]}`

const (
	kilnServers    = 2
	kilnSlots      = 10
	kilnWork       = 100 * time.Millisecond
	chartAnswer    = 16 << 20 // bytes
	chartDeadline  = 6 * time.Second
	chartInterval  = 100 * time.Millisecond
	leaveShare     = 3                      // of ten clients
	leaveAfter     = 500 * time.Millisecond // at most half of the objective
	leaveFor       = 9 * time.Second
	observeFor     = 20 * time.Second
	goneSlack      = 500 * time.Millisecond // how long a backend server may go on
	goneShare      = 4                      // one request in so many may be worked on for longer
	chartReadStep  = 64 << 10               // bytes
	chartReadPause = 5 * time.Millisecond
)

// abandoned lets some clients leave while their answers arrive.
func abandoned(l *lab, trouble bool) (bool, error) {
	store, err := l.startStore()
	if err != nil {
		return false, err
	}
	if err := l.putDesiredState(store, abandonedState); err != nil {
		return false, err
	}
	front, err := l.newMachine("vm-front", "zone-1", "front", store)
	if err != nil {
		return false, err
	}
	machines := []*machine{front}
	for i := range kilnServers {
		m, err := l.newMachine(fmt.Sprintf("vm-%d", i+1), fmt.Sprintf("zone-%d", i+1), "kilns", store)
		if err != nil {
			return false, err
		}
		machines = append(machines, m)
	}
	for _, m := range machines {
		if err := m.startNode(); err != nil {
			return false, err
		}
	}
	var backends []*backend
	for _, m := range machines {
		if err := m.awaitReady(); err != nil {
			return false, err
		}
		if m == front {
			continue
		}
		b, err := m.startBackend(backendOptions{id: "i-" + m.name, slots: kilnSlots, answerBytes: chartAnswer,
			work: func(*http.Request) time.Duration { return kilnWork }})
		if err != nil {
			return false, err
		}
		backends = append(backends, b)
	}
	if err := await(10*time.Second, func() bool { return front.readChart(0).status == http.StatusOK }); err != nil {
		return false, errors.New("no request was served")
	}

	var mu sync.Mutex
	left := map[string]time.Time{} // when clients left while their answer arrived, by request
	var clients sync.WaitGroup
	send := func(phase string, limit time.Duration, leave bool) {
		served, total := 0, 0
		for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(chartInterval) {
			after := time.Duration(0)
			if total++; leave && total%10 < leaveShare {
				after = leaveAfter
			}
			clients.Go(func() {
				a := front.readChart(after)
				mu.Lock()
				defer mu.Unlock()
				if after > 0 && a.cut {
					left[a.id] = time.Now()
				}
				if a.status == http.StatusOK {
					served++
				}
			})
		}
		clients.Wait()
		l.note("%s: %d of %d requests were served", phase, served, total)
	}
	send("before", stableWindow, false)
	send("clients leave", leaveFor, trouble)
	send("afterwards", observeFor, false)

	late := 0
	for _, b := range backends {
		for _, e := range b.ran() {
			if at, ok := left[e.id]; ok && (e.ended.IsZero() || e.ended.Sub(at) > goneSlack) {
				late++
				l.note("%s: backend server was busy with id %s for %v after its client had left", b.m.name, e.id, e.ended.Sub(at).Round(time.Millisecond))
			}
		}
	}
	l.note("%d clients left; the backend servers were busy with %d of their requests for more than %v", len(left), late, goneSlack)
	return late*goneShare > len(left), nil
}

// readChart sends one request and reads the answer in steps. The client leaves after the
// given time, 0 for never.
func (m *machine) readChart(leaveAfter time.Duration) answer {
	a := answer{id: nextRequestID()}
	dialer := net.Dialer{Timeout: time.Second, Control: limitReceiveBuffer}
	conn, err := dialer.Dial("tcp", m.callers)
	if err != nil {
		a.err = err
		return a
	}
	defer conn.Close()
	limit := chartDeadline
	if leaveAfter > 0 {
		limit = leaveAfter
	}
	_ = conn.SetDeadline(time.Now().Add(limit)) // the reads fail if it cannot be set
	m.l.note("%s: client sends GET cones.example/chart/1 id %s", m.name, a.id)
	_, err = fmt.Fprintf(conn, "GET /chart/1 HTTP/1.1\r\nHost: cones.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", a.id, chartDeadline.Milliseconds())
	var read int64
	if err == nil {
		var resp *http.Response
		if resp, err = http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodGet}); err == nil {
			a.status = resp.StatusCode
			for err == nil {
				var n int64
				n, err = io.CopyN(io.Discard, resp.Body, chartReadStep)
				read += n
				time.Sleep(chartReadPause)
			}
		}
	}
	if err != io.EOF {
		a.cut = a.status == http.StatusOK
		a.status, a.err = 0, err
	}
	m.l.note("%s: client gets for id %s: status %d, %d bytes, error %v", m.name, a.id, a.status, read, a.err)
	return a
}
