package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	kvstandin "github.com/dogwoodhatch/dogwoodhatch/platform/kv/standin"
)

// Bounds and doses of the small sites.
const (
	drainBound    = 2500 * time.Millisecond
	stableWindow  = 3 * time.Second
	storeDownFor  = 4400 * time.Millisecond
	rollGap       = time.Second             // between two machines that are stopped
	restartAfter  = 800 * time.Millisecond  // a process is started again so long after its end
	lastStart     = 8700 * time.Millisecond // the last one, so long after the first was stopped
	leftServesFor = 16 * time.Second        // how long the backend server serves after it has left
)

// runLapse lets a backend server leave. Then the store is down, and the time of leases goes on meanwhile.
// Without and with that, the machines are stopped and started in turn, last the one beside the backend
// server, and a check-in that this had sent before it left arrives late. No request may reach it any more.
func runLapse(f *fleet) error {
	const host = "shop.example"
	nodes, servers, err := f.startServers("catalog", 3, 20*time.Millisecond)
	if err != nil {
		return err
	}
	if err := awaitReady(f.nodes); err != nil {
		return err
	}
	if err := f.publish(desiredState(1, host, route("items", "idempotent", "/items/", "catalog", "2s", 2))); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	client := newClient(nodes[len(nodes)-1])
	before := client.sendSteadily(http.MethodGet, host, "/items/", "before", 20*time.Millisecond, 2*time.Second)
	left, victim := nodes[0], servers[0]
	f.record("before: %v; the backend server that will leave ran %d", before, len(victim.Executions()))

	late := victim.NextHeartbeat()
	victim.StopHeartbeats()
	sent := time.Now()
	rolled := make(chan error, 1)
	go func() { rolled <- f.roll([]*node{nodes[1], nodes[2], left}, sent.Add(lastStart)) }()
	time.Sleep(300 * time.Millisecond)
	victim.Leave()
	acknowledged := victim.EndAcknowledgedAt()
	if acknowledged.IsZero() {
		return fmt.Errorf("the leave was not acknowledged")
	}
	f.record("the backend server at %s leaves, acknowledged; it goes on serving", left.name)
	if f.trouble {
		f.setStore(kvstandin.Faults{Reset: true})
		f.record("the store is down; the time of leases goes on")
	}
	back := time.AfterFunc(storeDownFor, func() {
		f.setStore(kvstandin.Faults{})
		f.record("the store answers")
	})
	defer back.Stop()
	if err := <-rolled; err != nil {
		return err
	}
	if err := awaitReady(f.nodes); err != nil {
		return err
	}
	calm := time.Now()
	f.record("all nodes are ready again")
	time.Sleep(300 * time.Millisecond)
	victim.SendHeartbeatBody(late)
	f.record("a check-in that it had sent before it left arrives, %.1f s late", time.Since(sent).Seconds())
	time.Sleep(time.Until(calm.Add(stableWindow)))

	began := time.Now()
	var wg sync.WaitGroup
	for i, n := range f.nodes {
		wg.Go(func() {
			t := newClient(n).sendSteadily(http.MethodGet, host, "/items/", fmt.Sprint("after-", i), 20*time.Millisecond, 2500*time.Millisecond)
			f.note("%s: %v", n.name, t)
		})
	}
	wg.Wait()
	reached := 0
	for _, e := range victim.Executions() {
		if strings.HasPrefix(e.ID, "after-") && e.StartedAt.Before(acknowledged.Add(leftServesFor)) {
			reached++
			f.note("%s reached it %v after the acknowledgement", e.ID, e.StartedAt.Sub(acknowledged))
		}
	}
	f.record("sent from %.1f s after the acknowledgement on, %v after all was calm: %d requests reached it", began.Sub(acknowledged).Seconds(), stableWindow, reached)
	if reached > 0 && began.Sub(acknowledged) > drainBound {
		return fmt.Errorf("%w: %d requests reached a backend server that had left", errBroken, reached)
	}
	return nil
}

// setStore sets the faults of the store for every node.
func (f *fleet) setStore(faults kvstandin.Faults) {
	for _, n := range f.nodes {
		n.store.SetFaults(faults)
	}
}

// roll stops nodes with SIGTERM in turn, and starts each again after its end, the last one at a time.
func (f *fleet) roll(nodes []*node, lastAt time.Time) error {
	var wg sync.WaitGroup
	failed := make(chan error, len(nodes))
	for i, n := range nodes {
		if i > 0 {
			time.Sleep(rollGap)
		}
		f.record("%s is stopped", n.name)
		if err := n.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		wg.Go(func() {
			<-n.exited
			f.record("%s has ended", n.name)
			time.Sleep(restartAfter)
			if i == len(nodes)-1 {
				time.Sleep(time.Until(lastAt))
			}
			f.record("%s starts again", n.name)
			if err := n.start(); err != nil {
				failed <- err
			}
		})
	}
	wg.Wait()
	close(failed)
	return <-failed
}
