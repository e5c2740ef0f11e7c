package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// requestCount makes request IDs unique.
var requestCount atomic.Uint64

func nextRequestID() string { return fmt.Sprintf("%016x", requestCount.Add(1)) }

// answer is what a client got for one request.
type answer struct {
	id     string
	status int  // 0 if the connection ended without a complete answer
	cut    bool // the answer had begun then
	body   string
	err    error
}

// do sends one request of a client on the machine, over a connection of its own, and
// returns the answer.
func (m *machine) do(method, host, path, body string, deadline time.Duration) answer {
	a := answer{id: nextRequestID()}
	req, err := http.NewRequest(method, "http://"+m.callers+path, bytes.NewReader([]byte(body)))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	m.l.note("%s: client sends %s %s%s id %s", m.name, method, host, path, a.id)
	resp, err := client.Do(req)
	if err == nil {
		defer resp.Body.Close()
		var text []byte
		text, err = io.ReadAll(resp.Body)
		a.status, a.body = resp.StatusCode, string(text)
	}
	if a.err = err; err != nil {
		a.status = 0
	}
	m.l.note("%s: client gets for id %s: status %d, %q, error %v", m.name, a.id, a.status, a.body, a.err)
	return a
}
