package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/platform/standin"
)

const (
	pathConnections = 10
	pathPipelined   = 4 // requests ahead of the last one of each connection
)

// runPath keeps connections open, sends requests on them before the first is answered, and as the
// last one a request whose path contains a percent sign that begins no escape, as browsers send it.
// The requests ahead of it reach sound backend servers and must be answered.
func runPath(f *fleet) error {
	const host = "shop.example"
	nodes, servers, err := f.startServers("catalog", 2, 300*time.Millisecond)
	if err != nil {
		return err
	}
	if err := awaitReady(f.nodes); err != nil {
		return err
	}
	if err := f.publish(desiredState(1, host, route("items", "idempotent", "/items/", "catalog", "2s", 2))); err != nil {
		return err
	}
	c := newClient(nodes[0])
	if err := await("service", 10*time.Second, func() bool {
		return nodes[0].logged("event=member_joined") >= 2 && c.send(http.MethodGet, host, "/items/warm", "warm", 2*time.Second, nil).whole
	}); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	last := "/items/50%-off"
	if !f.trouble {
		last = "/items/50-off"
	}
	var mu sync.Mutex
	lost, lastLost := 0, 0
	var wg sync.WaitGroup
	for k := range pathConnections {
		wg.Go(func() {
			answered, err := pipeline(f, nodes[0], host, fmt.Sprint("c", k), last)
			mu.Lock()
			defer mu.Unlock()
			f.note("connection %d: %v", k, err)
			for i := range pathPipelined {
				id := fmt.Sprintf("c%d-%d", k, i)
				ran := servers[0].ExecutionCount(id) + servers[1].ExecutionCount(id)
				f.note("%s: at backend servers %d times, answered %t", id, ran, answered[id])
				if ran > 0 && !answered[id] {
					lost++
				}
			}
			if !answered[fmt.Sprintf("c%d-last", k)] {
				lastLost++
			}
		})
	}
	wg.Wait()
	f.record("%d kept connections of one machine, each with %d requests ahead of GET %s", pathConnections, pathPipelined, last)
	f.record("passed on to a sound backend server and not answered: %d; the last ones without an answer: %d", lost, lastLost)
	if lost > 3 {
		return fmt.Errorf("%w: %d requests were passed on and their connection was closed without an answer", errBroken, lost)
	}
	return nil
}

// pipeline sends a request and reads its answer, sends some before the first of them is answered,
// and reads answers until the connection ends or all are there. It returns the answered IDs.
func pipeline(f *fleet, n *node, host, name, last string) (map[string]bool, error) {
	answered := map[string]bool{}
	conn, err := net.Dial("tcp", n.addr(portCallers))
	if err != nil {
		return answered, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	send := func(path, id string) {
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\n\r\n", path, host, id)
	}
	br := bufio.NewReader(conn)
	read := func() error {
		resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodGet})
		if err != nil {
			return err
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		id := resp.Header.Get("X-Request-Id")
		answered[id] = resp.StatusCode != http.StatusOK || string(body) == standin.Body(id)
		return nil
	}
	send("/items/first", name+"-first")
	if err := read(); err != nil {
		return answered, err
	}
	for i := range pathPipelined {
		id := fmt.Sprintf("%s-%d", name, i)
		send("/items/"+id, id)
	}
	time.Sleep(100 * time.Millisecond)
	send(last, name+"-last")
	for range pathPipelined + 1 {
		if err := read(); err != nil {
			return answered, fmt.Errorf("after %d answers: %w", len(answered)-1, err)
		}
	}
	f.note("%s: all answered, last %s", name, strings.TrimPrefix(last, "/"))
	return answered, nil
}
