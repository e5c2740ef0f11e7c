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

// twoMemberFleet has an entry node without a backend server and two member nodes
// with one backend server each.
type twoMemberFleet struct {
	*fleet
	entry   *node
	members [2]*node
}

// newTwoMemberFleet starts a store, the three nodes and the two backend servers of
// service "rates", publishes the test profile and waits until the entry node has both
// members as candidates.
func newTwoMemberFleet(t *testing.T, program string, backendArgs ...string) *twoMemberFleet {
	f := newFleet(t)
	f.program = program
	f.startStore()
	p := &twoMemberFleet{fleet: f}
	p.entry = f.startNode("entry", nodeOptions{})
	for i := range p.members {
		p.members[i] = f.startNode(fmt.Sprintf("m%d", i), nodeOptions{})
		f.startBackend(p.members[i], "rates", backendArgs...)
	}
	f.publish(testProfile, "rates")
	p.entry.awaitProfile("rates")
	waitFor(t, "routing to both members", func() bool {
		p.entry.call("rates", callOptions{path: "/lookup/warmup", id: "warmup"})
		return p.entry.hasLogLine("event=route ", "candidates=2")
	})
	return p
}

// executionCounts returns the number of executions at both backend servers by
// request ID.
func (p *twoMemberFleet) executionCounts() map[string]int {
	counts := map[string]int{}
	for _, m := range p.members {
		for id, n := range m.backend.executionCounts(p.t) {
			counts[id] += n
		}
	}
	return counts
}

// sendLoad starts a call every interval until stop is closed, waits for all of them,
// and returns the results by request ID.
func (n *node) sendLoad(stop <-chan struct{}, interval time.Duration, o callOptions) map[string]result {
	var mu sync.Mutex
	var wg sync.WaitGroup
	results := map[string]result{}
	for i := 0; ; i++ {
		select {
		case <-stop:
			wg.Wait()
			return results
		case <-time.After(interval):
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

// checkGuarantees fails the test if a purchase ran more than once, a refused request
// ran, a request got the answer of another, or an answer has no outcome.
func (p *twoMemberFleet) checkGuarantees(results map[string]result, executed map[string]int, purchase bool) {
	p.t.Helper()
	for id, r := range results {
		switch {
		case purchase && executed[id] > 1:
			p.t.Errorf("%s ran %d times (%v)", id, executed[id], r)
		case r.outcome == "refused" && executed[id] > 0:
			p.t.Errorf("%s was refused as not run but ran %d times (%v)", id, executed[id], r)
		case r.status == http.StatusOK && !strings.Contains(r.body, "id="+id+"\n"):
			p.t.Errorf("%s got the answer of another request", id)
		case r.outcome == "" && !r.broken:
			p.t.Errorf("%s ended without an outcome (%v)", id, r)
		}
	}
}

func countResults(results map[string]result, match func(result) bool) int {
	n := 0
	for _, r := range results {
		if match(r) {
			n++
		}
	}
	return n
}

// succeeded reports whether a request was answered with status 200.
func succeeded(r result) bool { return r.status == http.StatusOK }

// runUnderLoad runs f under a load of purchases and lookups, and returns the results
// of both.
func (p *twoMemberFleet) runUnderLoad(f func()) (purchases, lookups map[string]result) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		purchases = p.entry.sendLoad(stop, 10*time.Millisecond, callOptions{method: http.MethodPost, path: "/buy/x", id: "buy"})
	})
	wg.Go(func() {
		lookups = p.entry.sendLoad(stop, 10*time.Millisecond, callOptions{path: "/lookup/x", id: "look"})
	})
	f()
	close(stop)
	wg.Wait()
	return purchases, lookups
}

// TestKilledNodeBreaksNoGuarantee kills one of two members under load. Lookups are
// retried, so at most 2 may fail; no purchase may run twice.
func TestKilledNodeBreaksNoGuarantee(t *testing.T) {
	p := newTwoMemberFleet(t, nodeProgram, "--service-time", "30ms")
	purchases, lookups := p.runUnderLoad(func() {
		time.Sleep(500 * time.Millisecond)
		p.members[0].Kill()
		time.Sleep(2 * time.Second)
	})
	executed := p.executionCounts()
	p.checkGuarantees(purchases, executed, true)
	p.checkGuarantees(lookups, executed, false)
	if n := countResults(lookups, succeeded); n < len(lookups)-2 {
		t.Errorf("%d of %d lookups were answered, want all but at most 2", n, len(lookups))
	}
	t.Logf("purchases answered whole %d of %d, lookups answered whole %d of %d", countResults(purchases, succeeded), len(purchases), countResults(lookups, succeeded), len(lookups))
}

// TestFrozenNodeDelaysNoCallPastItsDeadline stops one of two members with SIGSTOP
// for 3 s. Its connections stay open, so calls to it can fail only by timeouts.
func TestFrozenNodeDelaysNoCallPastItsDeadline(t *testing.T) {
	p := newTwoMemberFleet(t, nodeProgram, "--service-time", "30ms")
	purchases, lookups := p.runUnderLoad(func() {
		time.Sleep(500 * time.Millisecond)
		p.members[0].Signal(syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		p.members[0].Signal(syscall.SIGCONT)
		time.Sleep(time.Second)
	})
	executed := p.executionCounts()
	p.checkGuarantees(purchases, executed, true)
	p.checkGuarantees(lookups, executed, false)
	if n := countResults(lookups, succeeded); n < len(lookups)-2 {
		t.Errorf("%d of %d lookups were answered, want all but at most 2", n, len(lookups))
	}
	late := countResults(lookups, func(r result) bool { return r.took > 3*time.Second })
	if late > 0 {
		t.Errorf("%d lookups took longer than their deadline of 3s", late)
	}
	t.Logf("purchases answered whole %d of %d, lookups answered whole %d of %d", countResults(purchases, succeeded), len(purchases), countResults(lookups, succeeded), len(lookups))
}

// TestUnresponsivePeerConnection drops all bytes on the open connections between two
// nodes, in one or both directions, while new connections work. A purchase is retried
// only after the target has confirmed that it never ran, so the time it takes shows
// whether the node detects the dead connection.
func TestUnresponsivePeerConnection(t *testing.T) {
	withoutProbes := process.BuildVariant(t, nodeProgram, "without-probes", process.Edit{
		File: "plugin/peer/pool.go", Old: "if s.probing.CompareAndSwap(false, true) {", New: "if false {",
	})
	for _, c := range []struct {
		name, program string
		direction     relay.Direction
		detected      bool
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
			executed := target.backend.executionCounts(t)["buy"]
			t.Logf("%v, executed %d times", r, executed)
			if executed > 1 || r.outcome == "refused" && executed > 0 {
				t.Fatalf("%v after %d executions", r, executed)
			}
			// The attempt ends within a second of the connection going silent if the
			// node detects it. If its request was lost, it is withdrawn and retried.
			detected := r.took < 2*time.Second
			if detected != c.detected {
				t.Fatalf("%v, want the dead connection detected: %v", r, c.detected)
			}
			if c.detected && c.direction&relay.ToTarget != 0 && r.status != http.StatusOK {
				t.Errorf("%v, want the withdrawn purchase sent again", r)
			}
			if next := entry.call("rates", callOptions{path: "/lookup/x", id: "next"}); c.detected && next.status != http.StatusOK {
				t.Errorf("call after the dead connection was detected: %v", next)
			}
		})
	}
}

// TestGracefulShutdownOfANode stops a member under load with SIGTERM. No request may
// fail.
func TestGracefulShutdownOfANode(t *testing.T) {
	p := newTwoMemberFleet(t, nodeProgram, "--service-time", "50ms")
	purchases, lookups := p.runUnderLoad(func() {
		time.Sleep(500 * time.Millisecond)
		p.members[0].Signal(syscall.SIGTERM)
		if code := p.members[0].WaitExit(t, 10*time.Second); code != 0 {
			t.Errorf("exit status %d, want 0", code)
		}
		time.Sleep(200 * time.Millisecond)
	})
	executed := p.executionCounts()
	p.checkGuarantees(purchases, executed, true)
	p.checkGuarantees(lookups, executed, false)
	for id, r := range purchases {
		if !succeeded(r) {
			t.Errorf("%s failed: %v", id, r)
		}
	}
	for id, r := range lookups {
		if !succeeded(r) {
			t.Errorf("%s failed: %v", id, r)
		}
	}
}

// TestEntryNodeShutdownFinishesRequestsInFlight stops the node that a caller is
// connected to. The node must deliver the answer before it exits.
func TestEntryNodeShutdownFinishesRequestsInFlight(t *testing.T) {
	p := newTwoMemberFleet(t, nodeProgram, "--service-time", "800ms")
	done := make(chan result)
	go func() { done <- p.entry.call("rates", callOptions{method: http.MethodPost, path: "/buy/x", id: "buy"}) }()
	time.Sleep(200 * time.Millisecond)
	p.entry.Signal(syscall.SIGTERM)
	if r := <-done; !succeeded(r) {
		t.Errorf("request in flight failed: %v", r)
	}
	if code := p.entry.WaitExit(t, 10*time.Second); code != 0 {
		t.Errorf("exit status %d, want 0", code)
	}
}

// TestDrainOfABackendServer stops a backend server under load with SIGTERM. No request
// may fail.
func TestDrainOfABackendServer(t *testing.T) {
	p := newTwoMemberFleet(t, nodeProgram, "--service-time", "50ms")
	purchases, lookups := p.runUnderLoad(func() {
		time.Sleep(500 * time.Millisecond)
		p.members[0].backend.Signal(syscall.SIGTERM)
		if code := p.members[0].backend.WaitExit(t, 10*time.Second); code != 0 {
			t.Errorf("exit status %d, want 0", code)
		}
	})
	for id, r := range purchases {
		if !succeeded(r) {
			t.Errorf("%s failed: %v", id, r)
		}
	}
	if n := countResults(lookups, succeeded); n != len(lookups) {
		t.Errorf("%d of %d lookups were answered, want all", n, len(lookups))
	}
}

// TestFailingBackendServerDoesNotAttractCalls guards against routing by load alone: a
// backend server that fails at once looks idle and would get most of the calls.
func TestFailingBackendServerDoesNotAttractCalls(t *testing.T) {
	p := newTwoMemberFleet(t, nodeProgram, "--service-time", "30ms")
	p.members[0].backend.setBehaviour(t, `{"fail_fast":true}`)
	_, lookups := p.runUnderLoad(func() { time.Sleep(3 * time.Second) })
	failed := countResults(lookups, func(r result) bool { return r.status == http.StatusInternalServerError })
	t.Logf("%d of %d lookups failed", failed, len(lookups))
	if failed > len(lookups)/5 {
		t.Errorf("%d of %d lookups failed at the failing backend server, want at most a fifth", failed, len(lookups))
	}
}

// TestResentPurchase submits a purchase twice with the same idempotency key, through
// different nodes. It must run once. The variant without claims runs it twice, which
// shows that the test detects a missing claim.
func TestResentPurchase(t *testing.T) {
	withoutClaims := process.BuildVariant(t, nodeProgram, "without-claims", process.Edit{
		File: "plugin/caller/claim.go", Old: `if r.IdempotencyKey == "" || r.Chain.Idempotent {`, New: "if true {",
	})
	for _, c := range []struct {
		name, program  string
		wantExecutions int
	}{
		{"with claims", nodeProgram, 1},
		{"without claims", withoutClaims, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newTwoMemberFleet(t, c.program, "--service-time", "5ms")
			// Holders grant only keys minted more than 5 s (the allowed clock skew) after
			// they started.
			time.Sleep(6 * time.Second)
			key, err := uuid.NewV7()
			if err != nil {
				t.Fatal(err)
			}
			buy := callOptions{method: http.MethodPost, path: "/buy/x", id: "buy", headers: map[string]string{"Idempotency-Key": key.String()}}
			if r := p.entry.call("rates", buy); !succeeded(r) {
				t.Fatalf("first submission: %v", r)
			}
			second := p.members[1].call("rates", buy)
			t.Logf("second submission through another node: %v", second)
			if n := p.executionCounts()["buy"]; n != c.wantExecutions {
				t.Errorf("ran %d times, want %d", n, c.wantExecutions)
			}
			if c.wantExecutions == 1 && (second.outcome != "unknown" || second.status != http.StatusConflict) {
				t.Errorf("second submission ended as %v, want outcome unknown and status 409", second)
			}
		})
	}
}

// TestMalformedRequests checks the status of bad requests, and that a good request
// after them succeeds.
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
	if r := n.call("rates", callOptions{path: "/", id: "after", headers: map[string]string{"Dogwoodhatch-Outcome": "refused", "Baggage": "dogwoodhatch=forged"}}); !succeeded(r) {
		t.Errorf("after malformed input: %v", r)
	}
}

// TestBrokenAnswerNeverLooksComplete kills the target node while it sends an answer
// that is too large to be buffered. The caller must see a transport error, not a
// shorter body.
func TestBrokenAnswerNeverLooksComplete(t *testing.T) {
	f := newFleet(t)
	entry := f.startNode("entry", nodeOptions{})
	target := f.startNode("target", nodeOptions{})
	f.startBackend(target, "rates", "--service-time", "1ms")
	entry.awaitService("rates")
	if r := entry.call("rates", callOptions{path: "/big?size=8000000", id: "ok"}); !succeeded(r) || len(r.body) < 8000000 || r.broken {
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
// Without a bound for the whole chain, retries at each hop would multiply. In a chain
// without fan-out, each retry at any hop adds at most one attempt at the last service.
func TestRetriesAreBoundedAcrossTheChain(t *testing.T) {
	const retries = 4 // of class lookup in testProfile
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
	time.Sleep(time.Second) // lets attempts end that outlive the request
	n := last.countLogLines("event=attempt ", "service=deep", "class=lookup")
	t.Logf("%v, %d attempts at the last service", r, n)
	if n < 2 || n > retries+1 {
		t.Errorf("%d attempts at the last service, want 2 to %d", n, retries+1)
	}
}

// TestResentPurchaseAfterItsHoldersWereReplaced submits a purchase again after all
// holders of its idempotency key have left and other members have replaced them. The
// new holders do not know the claim and must not grant the key.
func TestResentPurchaseAfterItsHoldersWereReplaced(t *testing.T) {
	p := newTwoMemberFleet(t, nodeProgram, "--service-time", "5ms")
	time.Sleep(6 * time.Second) // see TestResentPurchase
	key, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	buy := callOptions{method: http.MethodPost, path: "/buy/x", id: "buy", headers: map[string]string{"Idempotency-Key": key.String()}}
	if r := p.entry.call("rates", buy); !succeeded(r) {
		t.Fatalf("first submission: %v", r)
	}
	executed := p.executionCounts()["buy"]
	var replacements [2]*node
	for i := range replacements {
		replacements[i] = p.startNode(fmt.Sprintf("next%d", i), nodeOptions{})
		p.startBackend(replacements[i], "rates", "--service-time", "5ms")
	}
	for _, m := range p.members {
		m.backend.Signal(syscall.SIGTERM)
		m.backend.WaitExit(t, waitTimeout)
	}
	time.Sleep(time.Second)
	r := p.entry.call("rates", buy)
	for _, m := range replacements {
		executed += m.backend.executionCounts(t)["buy"]
	}
	t.Logf("second submission: %v, executed %d times", r, executed)
	if executed != 1 || r.outcome != "unknown" {
		t.Errorf("second submission: %v, executed %d times; want outcome unknown and 1 execution", r, executed)
	}
}

// TestPurchasesContinueAfterAHolderIsKilled kills one of the two nodes that hold each
// idempotency key. The other must still prove new keys unclaimed, and deny the key
// claimed before.
func TestPurchasesContinueAfterAHolderIsKilled(t *testing.T) {
	p := newTwoMemberFleet(t, nodeProgram, "--service-time", "5ms")
	time.Sleep(6 * time.Second) // see TestResentPurchase
	buy := func(id string, key uuid.UUID) result {
		headers := map[string]string{"Idempotency-Key": key.String()}
		return p.entry.call("rates", callOptions{method: http.MethodPost, path: "/buy/x", id: id, headers: headers})
	}
	before := uuid.Must(uuid.NewV7())
	if r := buy("before", before); !succeeded(r) {
		t.Fatalf("before the kill: %v", r)
	}
	p.members[0].Kill()
	for i := range 20 {
		if r := buy(fmt.Sprintf("after%d", i), uuid.Must(uuid.NewV7())); !succeeded(r) {
			t.Errorf("purchase %d after the kill: %v", i, r)
		}
	}
	if r := buy("before", before); r.outcome != "unknown" {
		t.Errorf("second submission: %v, want outcome unknown", r)
	}
	for id, n := range p.executionCounts() {
		if strings.HasPrefix(id, "after") && n != 1 || id == "before" && n != 1 {
			t.Errorf("%s ran %d times, want 1", id, n)
		}
	}
}
