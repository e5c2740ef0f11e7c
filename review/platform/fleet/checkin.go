package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/platform/standin"
)

// startServers starts a node for each backend server of a service, and the backend servers.
func (f *fleet) startServers(service string, count int, work time.Duration) ([]*node, []*standin.Backend, error) {
	var nodes []*node
	var servers []*standin.Backend
	for i := range count {
		n, err := f.newNode(service, fmt.Sprint("zone-", i%2), "r")
		if err != nil {
			return nil, nil, err
		}
		if err := n.start(); err != nil {
			return nil, nil, err
		}
		b, err := standin.Start(n.addr(portBackend), standin.Options{
			Instance: fmt.Sprintf("i-%s-%d", service, i), Service: service, Zone: n.zone, Born: time.Now().UnixMilli(), Slots: 30, QueueLimit: 90,
			WorkTime: work, Control: n.addr(portControl),
		})
		if err != nil {
			return nil, nil, err
		}
		f.atEnd(b.Stop)
		nodes, servers = append(nodes, n), append(servers, b)
	}
	return nodes, servers, nil
}

// sendSteadily sends requests with paths of their own for some time, one after each interval.
func (c *client) sendSteadily(method, host, prefix, phase string, interval, duration time.Duration) *tally {
	t := &tally{}
	done := make(chan struct{})
	pending := 0
	for end, i := time.Now().Add(duration), 0; time.Now().Before(end); i++ {
		id := fmt.Sprintf("%s-%d", phase, i)
		pending++
		go func() {
			a := c.send(method, host, prefix+id, id, 2*time.Second, nil)
			t.add(a)
			c.node.fleet.note("%s %s%s: %d %s %s", id, prefix, id, a.status, a.stamp, a.retryAfter)
			done <- struct{}{}
		}()
		time.Sleep(interval)
		for collected := true; collected; {
			select {
			case <-done:
				pending--
			default:
				collected = false
			}
		}
	}
	for ; pending > 0; pending-- {
		<-done
	}
	return t
}

// runCheckIn sends one check-in of another writer to each node of a service: for a service that
// no desired state names. The backend servers of these nodes are sound and must be used as before.
func runCheckIn(f *fleet) error {
	const host = "shop.example"
	_, _, err := f.startServers("catalog", 2, 20*time.Millisecond)
	if err != nil {
		return err
	}
	nodes, servers, err := f.startServers("stock", 2, 20*time.Millisecond)
	if err != nil {
		return err
	}
	if err := awaitReady(f.nodes); err != nil {
		return err
	}
	first := route("items", "idempotent", "/items/", "catalog", "2s", 2)
	added := route("stock", "idempotent", "/stock/", "stock", "2s", 2)
	if err := f.publish(desiredState(1, host, first)); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	if err := f.publish(desiredState(2, host, first, added)); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	c := newClient(f.nodes[0])
	before1 := c.sendSteadily(http.MethodGet, host, "/items/", "before-1", 20*time.Millisecond, 2*time.Second)
	before2 := c.sendSteadily(http.MethodGet, host, "/stock/", "before-2", 20*time.Millisecond, 2*time.Second)
	f.record("before: first route %v; added route %v", before1, before2)
	if before1.share() < 0.9 || before2.share() < 0.9 {
		return fmt.Errorf("the routes are not served before the disruption")
	}
	if f.trouble {
		for _, n := range nodes {
			message := fmt.Sprintf(`{"address":"%s:9","born":%d,"info":{"service":"unnamed","version":"v1","zone":"elsewhere","slots":8},"status":{"state":"ready","seq":1,"cold_remaining":"0ms"}}`, n.ip, time.Now().UnixMilli())
			resp, err := http.Post("http://"+n.addr(portControl)+"/v1/Instances.Heartbeat/i-of-another-writer", "application/json", strings.NewReader(message))
			if err != nil {
				return err
			}
			resp.Body.Close()
			f.record("%s: check-in of another writer, answered %d: %s", n.name, resp.StatusCode, message)
		}
	}
	time.Sleep(10 * time.Second)
	runs := len(servers[0].Executions()) + len(servers[1].Executions())
	after1 := c.sendSteadily(http.MethodGet, host, "/items/", "after-1", 20*time.Millisecond, 4*time.Second)
	after2 := c.sendSteadily(http.MethodGet, host, "/stock/", "after-2", 20*time.Millisecond, 4*time.Second)
	f.record("10 s later: first route %v", after1)
	f.record("10 s later: added route %v; runs at its backend servers: %d", after2, len(servers[0].Executions())+len(servers[1].Executions())-runs)
	if after2.sent >= 20 && after2.share() < after1.share()/4 {
		return fmt.Errorf("%w: the added route is served less than a quarter as often as the first", errBroken)
	}
	return nil
}
