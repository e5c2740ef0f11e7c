package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	drillCopyAge  = time.Second            // between the copy and the leave
	drillAway     = 500 * time.Millisecond // how long the store is away in the drill
	drillRestart  = time.Second            // between the end of the drill and the start of the node
	drillLateness = 6 * time.Second        // how late the check-in arrives
)

// act makes the stand-in of the store keep a copy of its data, or come back from that copy.
func act(store, action string) error {
	resp, err := http.Post("http://"+store+"/v1/actions", "application/json", strings.NewReader(`{"`+action+`":true}`))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("store: %s: status %d", action, resp.StatusCode)
	}
	return nil
}

// drillLeave lets a backend server leave, and restarts the node that has acknowledged it.
// Meanwhile the store comes back from a copy that is some seconds old. Then a check-in
// arrives that the backend server sent before it left.
func drillLeave(l *lab, trouble bool) (bool, error) {
	d, err := l.startLeaveDeployment()
	if err != nil {
		return false, err
	}
	if err := act(d.link.target, "backup"); err != nil {
		return false, err
	}
	l.note("store: copy taken")
	time.Sleep(drillCopyAge)
	late := d.leaver.nextCheckin("ready")
	d.leaver.silence()
	lateSince := time.Now()
	l.note("vm-a: check-in %d is sent, and held up on its way", late.Status.Seq)
	if !d.leaver.leave() {
		return false, errors.New("the leave was not acknowledged")
	}
	acknowledged := time.Now()
	time.AfterFunc(serveAfterLeave, d.leaver.exit)
	l.note("vm-a: SIGTERM to the node")
	l.note("vm-a: node ended after %v", d.host.proc.stop())
	if trouble {
		d.link.setShut(true)
		l.note("store: away")
	}
	time.Sleep(drillAway)
	if trouble {
		if err := act(d.link.target, "restore"); err != nil {
			return false, err
		}
		d.link.setShut(false)
		l.note("store: back from a copy that is %v old", time.Since(acknowledged.Add(-drillCopyAge)).Round(time.Millisecond))
	}
	stable := time.Now()
	time.Sleep(drillRestart)
	if err := d.host.startNode(); err != nil {
		return false, err
	}
	if err := d.host.awaitReady(); err != nil {
		return false, err
	}
	restarted := time.Now()
	time.Sleep(time.Until(lateSince.Add(drillLateness)))
	l.note("vm-a: check-in %d arrives", late.Status.Seq)
	d.leaver.sendCheckin(late)

	// The rule counts requests that are sent on by machines in touch.
	from := acknowledged.Add(drainBound)
	for _, disturbed := range []time.Time{restarted, stable} {
		if inTouch := disturbed.Add(stableWindow); inTouch.After(from) {
			from = inTouch
		}
	}
	return d.countAfter(from, acknowledged) > 0, nil
}
