package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/platform/standin"
)

// The service is like receipt-vault on the sheet of bthf-mesh: 24 backend servers with 63 slots in
// 6 zones, 5 in the first one, and 246 requests a second of 400 ms each, 120 of them on the first
// route. The backend servers of that zone crash for 4.5 s. One machine in each zone has clients.
const (
	crashZones    = 6
	crashServers  = 24
	crashed       = 5
	crashSlots    = 63
	crashQueue    = 108
	crashFor      = 4500 * time.Millisecond
	crashWork     = 400 * time.Millisecond
	firstInterval = 50 * time.Millisecond    // between two requests of a machine on the first route
	addedInterval = 47600 * time.Microsecond // and on the added one
)

// crashZone returns the zone of a backend server: 5, 4, 4, 4, 4 and 3 of them are in one.
func crashZone(i int) int { return max(i-1, 0) / 4 }

// tally counts the requests of a kind and those that were served.
type tally struct {
	mu           sync.Mutex
	sent, served int
	statuses     map[int]int
}

func (t *tally) add(a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if a.whole {
		t.served++
	}
	if t.statuses == nil {
		t.statuses = map[int]int{}
	}
	t.statuses[a.status]++
}

func (t *tally) String() string {
	return fmt.Sprintf("%d of %d served, by status %v", t.served, t.sent, t.statuses)
}

func (t *tally) share() float64 { return float64(t.served) / float64(max(t.sent, 1)) }

// runQuarantine crashes the backend servers of a service in one zone at the same moment while clients
// read the same page on a route that was added later. Long after they are back, the requests
// for that page must be served like those on the first route.
func runQuarantine(f *fleet) error {
	const host = "shop.example"
	var fronts, targets []*node
	for i := range crashZones + crashServers {
		service, zone := "front", fmt.Sprint("zone-", i)
		if i >= crashZones {
			service, zone = "catalog", fmt.Sprint("zone-", crashZone(i-crashZones))
		}
		n, err := f.newNode(service, zone, "r")
		if err != nil {
			return err
		}
		if i < crashZones {
			fronts = append(fronts, n)
		} else {
			targets = append(targets, n)
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	first := route("items", "idempotent", "/items/", "catalog", "2s", 3)
	added := route("list", "idempotent", "/list/", "catalog", "2s", 3)
	if err := f.publish(desiredState(1, host, first)); err != nil {
		return err
	}
	var servers []*standin.Backend
	startServer := func(i, boot int) error {
		n := targets[i]
		b, err := standin.Start(n.addr(portBackend), standin.Options{
			Instance: fmt.Sprintf("i-%d-%d", i, boot), Service: "catalog", Zone: n.zone, Born: time.Now().UnixMilli(), Slots: crashSlots, QueueLimit: crashQueue,
			WorkTime: crashWork, Control: n.addr(portControl),
		})
		if err != nil {
			return err
		}
		if boot == 1 {
			servers = append(servers, b)
		} else {
			servers[i] = b
		}
		return nil
	}
	for i := range targets {
		if err := startServer(i, 1); err != nil {
			return err
		}
	}
	defer func() {
		for _, b := range servers {
			b.Stop()
		}
	}()
	if err := awaitReady(f.nodes); err != nil {
		return err
	}
	for _, n := range fronts {
		c := newClient(n)
		if err := await("service", 10*time.Second, func() bool {
			return n.logged("event=member_joined") >= crashServers && c.send(http.MethodGet, host, "/items/warm", "warm", 2*time.Second, nil).whole
		}); err != nil {
			return err
		}
	}
	if err := f.publish(desiredState(2, host, first, added)); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	f.record("%d nodes with clients, %d with backend servers of one service; the route of /list/ was added", crashZones, crashServers)

	var wg sync.WaitGroup
	send := func(phase string, d time.Duration) (onFirst, onAdded *tally) {
		onFirst, onAdded = &tally{}, &tally{}
		for ci, n := range fronts {
			c := newClient(n)
			for k := range 2 {
				t := onFirst
				if k == 1 {
					t = onAdded
				}
				wg.Go(func() {
					var inner sync.WaitGroup
					interval := firstInterval
					if k == 1 {
						interval = addedInterval
					}
					for end, i := time.Now().Add(d), 0; time.Now().Before(end); i++ {
						id := fmt.Sprintf("%s-%d-%d-%d", phase, ci, k, i)
						path := "/list/all"
						if k == 0 {
							path = "/items/" + id
						}
						inner.Go(func() {
							a := c.send(http.MethodGet, host, path, id, 2*time.Second, nil)
							t.add(a)
							f.note("%s %s: %d %s %s", id, path, a.status, a.stamp, a.retryAfter)
						})
						time.Sleep(interval)
					}
					inner.Wait()
				})
			}
		}
		return onFirst, onAdded
	}
	before1, before2 := send("before", 4*time.Second)
	if f.trouble {
		time.Sleep(3 * time.Second)
		f.record("the backend servers of one zone crash, %d of %d", crashed, crashServers)
		back := time.Now().Add(crashFor)
		for i := range crashed {
			servers[i].Crash()
		}
		time.Sleep(time.Until(back))
		for i := range crashed {
			if err := startServer(i, 2); err != nil {
				return err
			}
		}
		f.record("they are back")
	}
	wg.Wait()
	f.record("before and during the crash: first route %v; added route %v", before1, before2)
	time.Sleep(10 * time.Second) // beyond stable_window and the cold time of a backend server
	after1, after2 := send("after", 10*time.Second)
	wg.Wait()
	f.record("10 s later: first route %v", after1)
	f.record("10 s later: added route %v", after2)
	for _, n := range targets {
		if k := n.logged("event=request_quarantined"); k > 0 {
			f.record("%s has quarantined %d requests", n.name, k)
		}
	}
	if f.trouble {
		if err := f.restartAll(); err != nil {
			return err
		}
		time.Sleep(5 * time.Second)
		again1, again2 := send("restarted", 3*time.Second)
		wg.Wait()
		f.record("after a restart of every node: first route %v; added route %v", again1, again2)
	}
	if after2.sent >= 20 && after2.share() < after1.share()/4 {
		return fmt.Errorf("%w: the added route is served less than a quarter as often as the first", errBroken)
	}
	return nil
}
