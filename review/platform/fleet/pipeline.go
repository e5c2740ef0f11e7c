package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	putConnections = 10
	putPipelined   = 8
	putWork        = 400 * time.Millisecond
	putTimeout     = 1500 * time.Millisecond
	putDeadline    = 2500 * time.Millisecond
)

// runPipeline sends idempotent requests before the first of them has been answered, all at once on
// each of some connections: with trouble by PUT, without by GET. Those that are unanswered at the
// timeout of their route must have an answer half a second later.
func runPipeline(f *fleet) error {
	const host = "shop.example"
	nodes, _, err := f.startServers("catalog", 4, putWork)
	if err != nil {
		return err
	}
	if err := awaitReady(f.nodes); err != nil {
		return err
	}
	if err := f.publish(desiredState(1, host, route("items", "idempotent", "/items/", "catalog", "1500ms", 2))); err != nil {
		return err
	}
	c := newClient(nodes[0])
	if err := await("service", 10*time.Second, func() bool {
		return nodes[0].logged("event=member_joined") >= 4 && c.send(http.MethodGet, host, "/items/warm", "warm", 2*time.Second, nil).whole
	}); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	method := http.MethodPut
	if !f.trouble {
		method = http.MethodGet
	}
	var mu sync.Mutex
	atTimeout, later, never := 0, 0, 0
	var wg sync.WaitGroup
	for k := range putConnections {
		wg.Go(func() {
			took := sendTogether(f, nodes[k%len(nodes)], host, method, fmt.Sprint("c", k))
			mu.Lock()
			defer mu.Unlock()
			for _, d := range took {
				switch {
				case d == 0:
					never++
					atTimeout++
					later++
				case d > putTimeout+500*time.Millisecond:
					atTimeout++
					later++
				case d > putTimeout:
					atTimeout++
				}
			}
		})
	}
	wg.Wait()
	f.record("%d connections, each with %d requests %s sent at once; work %v, timeout of the route %v, deadline %v", putConnections, putPipelined, method, putWork, putTimeout, putDeadline)
	f.record("unanswered at the timeout: %d; of these without an answer 0.5 s later: %d; never answered: %d", atTimeout, later, never)
	if 2*later > atTimeout {
		return fmt.Errorf("%w: more than half had no answer", errBroken)
	}
	return nil
}

// sendTogether sends the requests of one connection and returns the time of each answer after
// the sending, 0 for none before the deadline.
func sendTogether(f *fleet, n *node, host, method, name string) []time.Duration {
	took := make([]time.Duration, putPipelined)
	conn, err := net.Dial("tcp", n.addr(portCallers))
	if err != nil {
		f.note("%s: %v", name, err)
		return took
	}
	defer conn.Close()
	sent := time.Now()
	_ = conn.SetDeadline(sent.Add(putDeadline))
	for i := range took {
		fmt.Fprintf(conn, "%s /items/%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s-%d\r\nX-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n", method, i, host, name, i, putDeadline.Milliseconds())
	}
	br := bufio.NewReader(conn)
	for i := range took {
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			f.note("%s-%d: %v", name, i, err)
			return took
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return took
		}
		took[i] = time.Since(sent)
		f.note("%s-%d: %d after %v", name, i, resp.StatusCode, took[i])
	}
	return took
}
