package main

import (
	"fmt"
	"net/http"
	"time"
)

// runHeader lets the backend servers of a service add a header to their answers. With trouble its
// value has a letter in ISO 8859-1, without it the letter is one of ASCII. The requests on the route
// of that service, which was added later, must be served like those on the first route.
func runHeader(f *fleet) error {
	const host = "shop.example"
	if _, _, err := f.startServers("catalog", 2, 20*time.Millisecond); err != nil {
		return err
	}
	_, servers, err := f.startServers("reports", 2, 20*time.Millisecond)
	if err != nil {
		return err
	}
	if err := awaitReady(f.nodes); err != nil {
		return err
	}
	first := route("items", "idempotent", "/items/", "catalog", "2s", 2)
	added := route("buy", "non_idempotent", "/buy/", "reports", "2s", 2)
	if err := f.publish(desiredState(1, host, first)); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	if err := f.publish(desiredState(2, host, first, added)); err != nil {
		return err
	}
	name := "Se\xf1al"
	if !f.trouble {
		name = "Senal"
	}
	for _, s := range servers {
		s.Announce(fmt.Sprintf("Content-Disposition: attachment; filename=%q", "report.pdf"), "X-Report-Owner: "+name)
	}
	f.record("answers on the added route have the header X-Report-Owner: %q", name)
	time.Sleep(4 * time.Second)
	c := newClient(f.nodes[0])
	after1 := c.sendSteadily(http.MethodGet, host, "/items/", "first", 20*time.Millisecond, 4*time.Second)
	after2 := c.sendSteadily(http.MethodPost, host, "/buy/", "added", 20*time.Millisecond, 4*time.Second)
	ran := 0
	for _, s := range servers {
		ran += len(s.Executions())
	}
	f.record("first route: %v", after1)
	f.record("added route: %v; its backend servers ran %d and answered each with 200 and the whole body", after2, ran)
	if after2.sent >= 20 && after2.share() < after1.share()/4 {
		return fmt.Errorf("%w: the added route is served less than a quarter as often as the first", errBroken)
	}
	return nil
}
