package main

import (
	"errors"
	"time"
)

const lateCheckinState = `{"version":"00000001","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},"listeners":[{"host":"rates.example","rules":[{"name":"browse","kind":"idempotent","target_latency":"1500ms","priority":2,"match":{"prefix":"/browse/"},"action":{"service":"rates","timeout":"800ms","max_attempts":2}}]}],"clusters":[{"name":"rates","health_path":"/health","max_connections":1054,"protocol":"h1","tls":false},{"name":"shop","health_path":"/health","max_connections":1054,"protocol":"h1","tls":false}]}`

const (
	// storeOutage is how long the store resets all connections.
	storeOutage = 4500 * time.Millisecond
	// checkinDelay is how late the check-in arrives.
	checkinDelay = 4 * time.Second
	// serveAfterLeave is how long the backend server still serves after its leave was
	// acknowledged.
	serveAfterLeave = 12 * time.Second
)

// lateCheckin lets a backend server leave while the store is down, and restarts the node
// that has acknowledged it. Then a check-in arrives that the backend server sent before it
// left.
func lateCheckin(l *lab, trouble bool) (bool, error) {
	store, err := l.startStore()
	if err != nil {
		return false, err
	}
	link, err := startRelay(store)
	if err != nil {
		return false, err
	}
	if err := l.putDesiredState(store, lateCheckinState); err != nil {
		return false, err
	}
	var machines []*machine
	var backends []*backend
	for _, spec := range [][2]string{{"vm-a", "rates"}, {"vm-b", "shop"}, {"vm-c", "rates"}} {
		m, err := l.newMachine(spec[0], "zone-"+spec[0], spec[1], link.addr())
		if err != nil {
			return false, err
		}
		if err := m.startNode(); err != nil {
			return false, err
		}
		machines = append(machines, m)
	}
	for _, m := range machines {
		if err := m.awaitReady(); err != nil {
			return false, err
		}
		b, err := m.startBackend(backendOptions{id: "i-" + m.name, slots: 30})
		if err != nil {
			return false, err
		}
		backends = append(backends, b)
	}
	a, first := machines[0], machines[1]
	leaver := backends[0]
	if err := await(10*time.Second, func() bool {
		first.do("GET", "rates.example", "/browse/1", "", time.Second)
		return len(leaver.ran()) > 0 && len(backends[2].ran()) > 0
	}); err != nil {
		return false, errors.New("the requests did not reach both backend servers")
	}
	time.Sleep(stableWindow)

	late := leaver.nextCheckin("ready")
	leaver.silence()
	lateSince := time.Now()
	l.note("vm-a: check-in %d is sent, and held up on its way", late.Status.Seq)
	if trouble {
		link.setShut(true)
		time.AfterFunc(storeOutage, func() {
			link.setShut(false)
			l.note("store: back")
		})
		l.note("store: down, resets connections")
	}
	if !leaver.leave() {
		return false, errors.New("the leave was not acknowledged")
	}
	acknowledged := time.Now()
	time.AfterFunc(serveAfterLeave, leaver.exit)
	l.note("vm-a: SIGTERM to the node")
	l.note("vm-a: node ended after %v", a.proc.stop())
	if err := a.startNode(); err != nil {
		return false, err
	}
	if err := a.awaitReady(); err != nil {
		return false, err
	}
	restarted := time.Now()
	time.Sleep(time.Until(lateSince.Add(checkinDelay)))
	l.note("vm-a: check-in %d arrives", late.Status.Seq)
	leaver.sendCheckin(late)

	// The rule counts requests that are sent on by machines in touch.
	from := acknowledged.Add(drainBound)
	for _, disturbed := range []time.Time{restarted, lateSince.Add(storeOutage)} {
		if inTouch := disturbed.Add(stableWindow); inTouch.After(from) {
			from = inTouch
		}
	}
	time.Sleep(time.Until(from))
	for time.Since(acknowledged) < serveAfterLeave {
		first.do("GET", "rates.example", "/browse/2", "", time.Second)
		time.Sleep(100 * time.Millisecond)
	}
	reached := 0
	for _, e := range leaver.ran() {
		if e.at.After(from) {
			reached++
		}
	}
	l.note("%d requests reached the backend server later than %v after its leave was acknowledged, through nodes in touch", reached, drainBound)
	return reached > 0, nil
}
