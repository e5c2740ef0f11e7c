package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodhatch/dogwoodhatch/e2e/process"
	"github.com/dogwoodhatch/dogwoodhatch/standin/relay"
)

// pair is an entry node without a backend server and two nodes with one each.
type pair struct {
	*fleet
	entry  *node
	member [2]*node
}

// newPair starts a store, the three nodes and two backend servers of service
// "rates", and publishes the test profile.
func newPair(t *testing.T, program string, backendArgs ...string) *pair {
	f := newFleet(t)
	f.program = program
	f.startStore()
	p := &pair{fleet: f}
	p.entry = f.startNode("entry", nodeOptions{})
	for i := range p.member {
		p.member[i] = f.startNode(fmt.Sprintf("m%d", i), nodeOptions{})
		f.startBackend(p.member[i], "rates", backendArgs...)
	}
	f.publish(testProfile, "rates")
	p.entry.awaitProfile("rates")
	waitFor(t, "both members", func() bool {
		p.entry.call("rates", callOptions{path: "/lookup/warmup", id: "warmup"})
		return p.entry.logged("event=route ", "candidates=2")
	})
	return p
}

// executions adds up the executions at both backend servers.
func (p *pair) executions() map[string]int {
	sum := map[string]int{}
	for _, m := range p.member {
		for id, n := range m.backend.executions(p.t) {
			sum[id] += n
		}
	}
	return sum
}

// load sends calls at a steady pace until stop is closed, and returns the results.
func (n *node) load(stop <-chan struct{}, every time.Duration, o callOptions) map[string]result {
	var mu sync.Mutex
	var wg sync.WaitGroup
	results := map[string]result{}
	for i := 0; ; i++ {
		select {
		case <-stop:
			wg.Wait()
			return results
		case <-time.After(every):
		}
		wg.Go(func() {
			c := o
			c.id = fmt.Sprintf("%s%d", o.id, i)
			r := n.call("rates", c)
			mu.Lock()
			defer mu.Unlock()
			results[c.id] = r
		})
	}
}

// checkPromises fails the test for a purchase that ran twice, a refusal that
// ran, or a whole answer that is another request's.
func (p *pair) checkPromises(results map[string]result, executed map[string]int, purchase bool) {
	p.t.Helper()
	for id, r := range results {
		switch {
		case purchase && executed[id] > 1:
			p.t.Errorf("%s ran %d times (%v)", id, executed[id], r)
		case r.outcome == "refused" && executed[id] > 0:
			p.t.Errorf("%s was refused as not run and ran %d times (%v)", id, executed[id], r)
		case r.status == http.StatusOK && !strings.Contains(r.body, "id="+id+"\n"):
			p.t.Errorf("%s got the answer of another request", id)
		case r.outcome == "" && !r.broken:
			p.t.Errorf("%s ended without an outcome (%v)", id, r)
		}
	}
}

func count(results map[string]result, ok func(result) bool) int {
	n := 0
	for _, r := range results {
		if ok(r) {
			n++
		}
	}
	return n
}

func whole(r result) bool { return r.status == http.StatusOK }

// during runs f while a load of purchases and one of lookups runs, and checks
// the promises. It returns the results of both.
func (p *pair) during(f func()) (purchases, lookups map[string]result) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		purchases = p.entry.load(stop, 10*time.Millisecond, callOptions{method: http.MethodPost, path: "/buy/x", id: "buy"})
	})
	wg.Go(func() { lookups = p.entry.load(stop, 10*time.Millisecond, callOptions{path: "/lookup/x", id: "look"}) })
	f()
	close(stop)
	wg.Wait()
	return purchases, lookups
}

func TestKilledNodeLosesNoPromise(t *testing.T) {
	p := newPair(t, nodeProgram, "--service-time", "30ms")
	purchases, lookups := p.during(func() {
		time.Sleep(500 * time.Millisecond)
		p.member[0].Kill()
		time.Sleep(2 * time.Second)
	})
	executed := p.executions()
	p.checkPromises(purchases, executed, true)
	p.checkPromises(lookups, executed, false)
	if n := count(lookups, whole); n < len(lookups)-2 {
		t.Errorf("%d of %d lookups were answered, want all but 2", n, len(lookups))
	}
	t.Logf("purchases whole %d of %d, lookups whole %d of %d", count(purchases, whole), len(purchases), count(lookups, whole), len(lookups))
}

func TestFrozenNodeDelaysNobodyPastTheDeadline(t *testing.T) {
	p := newPair(t, nodeProgram, "--service-time", "30ms")
	purchases, lookups := p.during(func() {
		time.Sleep(500 * time.Millisecond)
		p.member[0].Signal(syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		p.member[0].Signal(syscall.SIGCONT)
		time.Sleep(time.Second)
	})
	executed := p.executions()
	p.checkPromises(purchases, executed, true)
	p.checkPromises(lookups, executed, false)
	if n := count(lookups, whole); n < len(lookups)-2 {
		t.Errorf("%d of %d lookups were answered, want all but 2", n, len(lookups))
	}
	late := count(lookups, func(r result) bool { return r.took > 3*time.Second })
	if late > 0 {
		t.Errorf("%d lookups took longer than their deadline", late)
	}
	t.Logf("purchases whole %d of %d, lookups whole %d of %d", count(purchases, whole), len(purchases), count(lookups, whole), len(lookups))
}

// TestSilentPeerConnection lets open connections between two nodes go silent
// while new ones work. A purchase cannot be sent again unless the target
// promises that it never ran, so it shows whether the silence is found.
func TestSilentPeerConnection(t *testing.T) {
	withoutProbes := process.Variant(t, nodeProgram, "without-probes", process.Edit{
		File: "plugin/peer/pool.go", Old: "if s.probing.CompareAndSwap(false, true) {", New: "if false {",
	})
	for _, c := range []struct {
		name, program string
		direction     relay.Direction
		found         bool
	}{
		{"both directions", nodeProgram, relay.Both, true},
		{"requests lost", nodeProgram, relay.ToTarget, true},
		{"answers lost", nodeProgram, relay.ToDialer, true},
		{"without probes", withoutProbes, relay.Both, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t)
			f.program = c.program
			f.startStore()
			entry := f.startNode("entry", nodeOptions{})
			var link *relay.Relay
			target := f.startNode("target", nodeOptions{advertise: func(peer string) string {
				var err error
				if link, err = relay.New(peer); err != nil {
					t.Fatal(err)
				}
				return link.Addr()
			}})
			f.startBackend(target, "rates", "--service-time", "5ms")
			f.publish(testProfile, "rates")
			entry.awaitProfile("rates")
			entry.awaitService("rates")
			link.Silence(c.direction)
			r := entry.call("rates", callOptions{method: http.MethodPost, path: "/buy/x", id: "buy"})
			executed := target.backend.executions(t)["buy"]
			t.Logf("%v, executed %d times", r, executed)
			if executed > 1 || r.outcome == "refused" && executed > 0 {
				t.Fatalf("%v after %d executions", r, executed)
			}
			// A found silence ends the call within a second; a call whose request
			// was lost is then withdrawn and sent again.
			found := r.took < 2*time.Second
			if found != c.found {
				t.Fatalf("%v, want the silence found: %v", r, c.found)
			}
			if c.found && c.direction&relay.ToTarget != 0 && r.status != http.StatusOK {
				t.Errorf("%v, want the withdrawn purchase sent again", r)
			}
			if next := entry.call("rates", callOptions{path: "/lookup/x", id: "next"}); c.found && next.status != http.StatusOK {
				t.Errorf("call after the silence: %v", next)
			}
		})
	}
}

func TestGracefulShutdownOfANode(t *testing.T) {
	p := newPair(t, nodeProgram, "--service-time", "50ms")
	purchases, lookups := p.during(func() {
		time.Sleep(500 * time.Millisecond)
		p.member[0].Signal(syscall.SIGTERM)
		if code := p.member[0].WaitExit(t, 10*time.Second); code != 0 {
			t.Errorf("exit status %d", code)
		}
		time.Sleep(200 * time.Millisecond)
	})
	executed := p.executions()
	p.checkPromises(purchases, executed, true)
	p.checkPromises(lookups, executed, false)
	for id, r := range purchases {
		if !whole(r) {
			t.Errorf("%s was cut: %v", id, r)
		}
	}
	for id, r := range lookups {
		if !whole(r) {
			t.Errorf("%s was cut: %v", id, r)
		}
	}
}

// TestEntryNodeFinishesWhatItCarries stops the node that a caller is connected to.
func TestEntryNodeFinishesWhatItCarries(t *testing.T) {
	p := newPair(t, nodeProgram, "--service-time", "800ms")
	done := make(chan result)
	go func() { done <- p.entry.call("rates", callOptions{method: http.MethodPost, path: "/buy/x", id: "buy"}) }()
	time.Sleep(200 * time.Millisecond)
	p.entry.Signal(syscall.SIGTERM)
	if r := <-done; !whole(r) {
		t.Errorf("request in flight was cut: %v", r)
	}
	if code := p.entry.WaitExit(t, 10*time.Second); code != 0 {
		t.Errorf("exit status %d", code)
	}
}

func TestDrainOfABackendServer(t *testing.T) {
	p := newPair(t, nodeProgram, "--service-time", "50ms")
	purchases, lookups := p.during(func() {
		time.Sleep(500 * time.Millisecond)
		p.member[0].backend.Signal(syscall.SIGTERM)
		if code := p.member[0].backend.WaitExit(t, 10*time.Second); code != 0 {
			t.Errorf("exit status %d", code)
		}
	})
	for id, r := range purchases {
		if !whole(r) {
			t.Errorf("%s was cut: %v", id, r)
		}
	}
	if n := count(lookups, whole); n != len(lookups) {
		t.Errorf("%d of %d lookups were answered", n, len(lookups))
	}
}

// TestBackendServerThatFailsFast checks that quick errors do not make a backend
// server look idle.
func TestBackendServerThatFailsFast(t *testing.T) {
	p := newPair(t, nodeProgram, "--service-time", "30ms")
	p.member[0].backend.control(t, `{"fail_fast":true}`)
	_, lookups := p.during(func() { time.Sleep(3 * time.Second) })
	failed := count(lookups, func(r result) bool { return r.status == http.StatusInternalServerError })
	t.Logf("%d of %d lookups failed", failed, len(lookups))
	if failed > len(lookups)/5 {
		t.Errorf("%d of %d lookups went to the failing backend server", failed, len(lookups))
	}
}

// TestResentPurchase sends a purchase again under the same idempotency key.
func TestResentPurchase(t *testing.T) {
	withoutClaims := process.Variant(t, nodeProgram, "without-claims", process.Edit{
		File: "plugin/caller/claim.go", Old: `if r.IdempotencyKey == "" || r.Chain.Idempotent {`, New: "if true {",
	})
	for _, c := range []struct {
		name, program string
		runs          int
	}{
		{"with claims", nodeProgram, 1},
		{"without claims", withoutClaims, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newPair(t, c.program, "--service-time", "5ms")
			// A key is granted once it was minted after the holders started.
			time.Sleep(6 * time.Second)
			key, err := uuid.NewV7()
			if err != nil {
				t.Fatal(err)
			}
			buy := callOptions{method: http.MethodPost, path: "/buy/x", id: "buy", headers: map[string]string{"Idempotency-Key": key.String()}}
			if r := p.entry.call("rates", buy); !whole(r) {
				t.Fatalf("first submission: %v", r)
			}
			second := p.member[1].call("rates", buy)
			t.Logf("second submission through another node: %v", second)
			if n := p.executions()["buy"]; n != c.runs {
				t.Errorf("ran %d times, want %d", n, c.runs)
			}
			if c.runs == 1 && (second.outcome != "unknown" || second.status != http.StatusConflict) {
				t.Errorf("second submission ended as %v", second)
			}
		})
	}
}

// TestMalformedRequests shows that bad input ends with a clear status and
// harms nothing else.
func TestMalformedRequests(t *testing.T) {
	f := newFleet(t)
	n := f.startNode("n", nodeOptions{extra: "[limits]\nmax_request_bytes = 10\n"})
	f.startBackend(n, "rates", "--service-time", "1ms")
	n.awaitService("rates")
	if r := n.call("127.0.0.1", callOptions{path: "/"}); r.status != http.StatusBadRequest || r.outcome != "refused" {
		t.Errorf("no service: %v", r)
	}
	if r := n.call("absent", callOptions{path: "/"}); r.status != http.StatusServiceUnavailable || r.outcome != "refused" {
		t.Errorf("unknown service: %v", r)
	}
	resp, err := http.Post("http://"+n.local+"/dogwoodhatch/v1/backend", "application/json", strings.NewReader("{"))
	if err == nil {
		resp.Body.Close()
	}
	if r := n.call("rates", callOptions{path: "/", id: "after", headers: map[string]string{"Dogwoodhatch-Outcome": "refused", "Baggage": "dogwoodhatch=forged"}}); !whole(r) {
		t.Errorf("after malformed input: %v", r)
	}
}

// TestBrokenAnswerNeverLooksWhole kills the target while it sends an answer
// that is too large to be held until it is whole.
func TestBrokenAnswerNeverLooksWhole(t *testing.T) {
	f := newFleet(t)
	entry := f.startNode("entry", nodeOptions{})
	target := f.startNode("target", nodeOptions{})
	f.startBackend(target, "rates", "--service-time", "1ms")
	entry.awaitService("rates")
	if r := entry.call("rates", callOptions{path: "/big?size=8000000", id: "ok"}); !whole(r) || len(r.body) < 8000000 || r.broken {
		t.Fatalf("large answer of %d bytes: %v", len(r.body), r)
	}
	conn, err := net.Dial("tcp", entry.outside)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "GET /big?size=64000000 HTTP/1.1\r\nHost: rates\r\nX-Request-Id: cut\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	target.Kill()
	n, err := io.Copy(io.Discard, resp.Body)
	if err == nil {
		t.Errorf("an answer cut after %d of 64000000 bytes looked whole", n)
	}
	t.Logf("%d bytes, then %v", n, err)
}

// TestRetriesAreBoundedAcrossTheChain calls a service whose own calls time out.
// In a chain without fan-out each retry anywhere adds at most one attempt at
// the last service.
func TestRetriesAreBoundedAcrossTheChain(t *testing.T) {
	const retries = 4 // of class lookup
	f := newFleet(t)
	f.startStore()
	entry := f.startNode("entry", nodeOptions{})
	first := f.startNode("first", nodeOptions{})
	last := f.startNode("last", nodeOptions{})
	f.startBackend(first, "front", "--service-time", "1ms", "--calls", "deep:/lookup/y")
	f.startBackend(last, "deep", "--service-time", "1ms")
	f.publish(testProfile, "front", "deep")
	entry.awaitProfile("front")
	first.awaitProfile("deep")
	entry.awaitService("front")
	last.backend.Signal(syscall.SIGSTOP)
	r := entry.call("front", callOptions{path: "/lookup/x", id: "chain"})
	time.Sleep(time.Second) // the attempts of a request given up on end
	n := last.logCount("event=attempt ", "service=deep", "class=lookup")
	t.Logf("%v, %d attempts at the last service", r, n)
	if n < 2 || n > retries+1 {
		t.Errorf("%d attempts at the last service, want 2 to %d", n, retries+1)
	}
}

// TestResentPurchaseAfterItsHoldersWereReplaced sends a purchase again after
// every member that knew of it has left and others have taken their place.
func TestResentPurchaseAfterItsHoldersWereReplaced(t *testing.T) {
	p := newPair(t, nodeProgram, "--service-time", "5ms")
	time.Sleep(6 * time.Second)
	key, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	buy := callOptions{method: http.MethodPost, path: "/buy/x", id: "buy", headers: map[string]string{"Idempotency-Key": key.String()}}
	if r := p.entry.call("rates", buy); !whole(r) {
		t.Fatalf("first submission: %v", r)
	}
	executed := p.executions()["buy"]
	var next [2]*node
	for i := range next {
		next[i] = p.startNode(fmt.Sprintf("next%d", i), nodeOptions{})
		p.startBackend(next[i], "rates", "--service-time", "5ms")
	}
	for _, m := range p.member {
		m.backend.Signal(syscall.SIGTERM)
		m.backend.WaitExit(t, waitLimit)
	}
	time.Sleep(time.Second)
	r := p.entry.call("rates", buy)
	for _, m := range next {
		executed += m.backend.executions(t)["buy"]
	}
	t.Logf("second submission: %v, executed %d times", r, executed)
	if executed != 1 || r.outcome != "unknown" {
		t.Errorf("second submission: %v, executed %d times", r, executed)
	}
}

// TestPurchasesGoOnAfterAHolderDied kills one of the two nodes that hold every
// key. The other one proves that a key is new, and still knows the old one.
func TestPurchasesGoOnAfterAHolderDied(t *testing.T) {
	p := newPair(t, nodeProgram, "--service-time", "5ms")
	time.Sleep(6 * time.Second)
	buy := func(id string, key uuid.UUID) result {
		headers := map[string]string{"Idempotency-Key": key.String()}
		return p.entry.call("rates", callOptions{method: http.MethodPost, path: "/buy/x", id: id, headers: headers})
	}
	before := uuid.Must(uuid.NewV7())
	if r := buy("before", before); !whole(r) {
		t.Fatalf("before the death: %v", r)
	}
	p.member[0].Kill()
	for i := range 20 {
		if r := buy(fmt.Sprintf("after%d", i), uuid.Must(uuid.NewV7())); !whole(r) {
			t.Errorf("purchase %d after the death: %v", i, r)
		}
	}
	if r := buy("before", before); r.outcome != "unknown" {
		t.Errorf("resend: %v", r)
	}
	for id, n := range p.executions() {
		if strings.HasPrefix(id, "after") && n != 1 || id == "before" && n != 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
}
