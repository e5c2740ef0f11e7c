package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	largeAnswer     = 16 << 20 // bytes
	largeSlots      = 20
	largeWork       = 100 * time.Millisecond
	largeInterval   = 100 * time.Millisecond
	largeDeadline   = 6 * time.Second
	largeLeaveAfter = 500 * time.Millisecond // at most half of the objective
	largeLeaveFor   = 5500 * time.Millisecond
	largeStep       = 64 << 10 // bytes read at a time
	largePause      = 10 * time.Millisecond
	goneSlack       = 500 * time.Millisecond
)

// runAbandoned lets two of ten clients leave while their answers arrive. Half a second later the
// backend servers must no longer be at work on most of their requests.
func runAbandoned(f *fleet) error {
	const host = "shop.example"
	front, err := f.newNode("front", "zone-0", "r")
	if err != nil {
		return err
	}
	if err := front.start(); err != nil {
		return err
	}
	body := bytes.Repeat([]byte("0123456789abcdef"), largeAnswer/16)
	var servers []*server
	for i := range 2 {
		n, err := f.newNode("charts", fmt.Sprint("zone-", i), "r")
		if err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
		s, err := startServer(n, fmt.Sprint("i-", i), "charts", largeSlots, func(_ *server, w http.ResponseWriter, r *http.Request, _ []byte) {
			select {
			case <-time.After(largeWork):
			case <-r.Context().Done():
				return
			}
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			_, _ = w.Write(body) // fails once the connection is closed
		})
		if err != nil {
			return err
		}
		servers = append(servers, s)
	}
	if err := awaitReady(f.nodes); err != nil {
		return err
	}
	charts := strings.Replace(route("charts", "idempotent", "/charts/", "charts", "3s", 2), `"target_latency":"500ms"`, `"target_latency":"1500ms"`, 1)
	if err := f.publish(desiredState(1, host, charts)); err != nil {
		return err
	}
	if err := await("service", 10*time.Second, func() bool {
		return front.logged("event=member_joined") >= 2 && front.readLarge(host, "warm", 0) == nil
	}); err != nil {
		return err
	}
	var mu sync.Mutex
	left := map[string]time.Time{}
	var clients sync.WaitGroup
	send := func(phase string, d time.Duration, leave bool) (served, sent int) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(largeInterval) {
			id := fmt.Sprintf("%s-%d", phase, sent)
			after := time.Duration(0)
			if leave && sent%10 < 2 {
				after = largeLeaveAfter
			}
			sent++
			clients.Go(func() {
				err := front.readLarge(host, id, after)
				mu.Lock()
				defer mu.Unlock()
				if after > 0 {
					left[id] = time.Now()
				} else if err == nil {
					served++
				}
				f.note("%s: left %t, %v", id, after > 0, err)
			})
		}
		clients.Wait()
		return served, sent
	}
	served, sent := send("before", 4*time.Second, false)
	f.record("before: %d of %d served", served, sent)
	served, sent = send("leaving", largeLeaveFor, f.trouble)
	f.record("clients leave, %d of %d: %d others served", len(left), sent, served)
	time.Sleep(goneSlack)
	running, late := 0, 0
	for id, at := range left {
		for _, s := range servers {
			ended, ok := s.ranUntil(id)
			if !ok || !ended.IsZero() && ended.Before(at) {
				continue
			}
			running++
			if ended.IsZero() || ended.Sub(at) > goneSlack {
				late++
			}
			f.note("%s: the client left after %v; backend server %s at work since, ended %t", id, largeLeaveAfter, s.instance, !ended.IsZero())
		}
	}
	served, sent = send("afterwards", 20*time.Second, false)
	f.record("afterwards: %d of %d served", served, sent)
	f.record("at work when the client left: %d; still %v later: %d", running, goneSlack, late)
	if 4*late > running {
		return fmt.Errorf("%w: backend servers are at work on more than a quarter of the abandoned requests", errBroken)
	}
	return nil
}

// readLarge sends one request and reads its answer in steps with pauses. The client leaves
// after the given time, 0 for never.
func (n *node) readLarge(host, id string, leaveAfter time.Duration) error {
	conn, err := net.Dial("tcp", n.addr(portCallers))
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	limit := largeDeadline
	if leaveAfter > 0 {
		limit = leaveAfter
	}
	_ = conn.SetDeadline(time.Now().Add(limit))
	if _, err := fmt.Fprintf(conn, "GET /charts/1 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", host, id, largeDeadline.Milliseconds()); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodGet})
	if err != nil {
		return err
	}
	read := int64(0)
	for err == nil {
		var k int64
		k, err = io.CopyN(io.Discard, resp.Body, largeStep)
		read += k
		time.Sleep(largePause)
	}
	if err != io.EOF || resp.StatusCode != http.StatusOK || read != largeAnswer {
		return fmt.Errorf("status %d, %d bytes: %w", resp.StatusCode, read, err)
	}
	return nil
}
