package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// adminRequest sends a request to the administration interface of the node and
// returns the HTTP status and the entity tag of the response. headers alternate
// names and values.
func (n *node) adminRequest(method, path, body string, headers ...string) (int, string) {
	n.fleet.t.Helper()
	req, err := http.NewRequest(method, "http://"+n.admin+path, strings.NewReader(body))
	if err != nil {
		n.fleet.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer secret")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		n.fleet.t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("ETag")
}

// adminPut puts a resource over the administration interface and returns its new
// entity tag. tag is the entity tag of the version to replace, "" to create the
// resource.
func (n *node) adminPut(path, body, tag string) string {
	n.fleet.t.Helper()
	condition := []string{"If-Match", tag}
	if tag == "" {
		condition = []string{"If-None-Match", "*"}
	}
	status, next := n.adminRequest(http.MethodPut, path, body, condition...)
	if status/100 != 2 {
		n.fleet.t.Fatalf("PUT %s at %s: status %d", path, n.name, status)
	}
	return next
}

// profileInForce reports whether the revision of the profile named by the entity tag
// has been in force for the service at the node.
func (n *node) profileInForce(service, tag string) bool {
	return n.hasLogLine("event=profile_in_force ", "service="+service+" ", "revision="+strings.Trim(tag, `"`)+" ")
}

// checkRevisionsIncrease fails the test if the revision of a key or of a profile in
// force goes down in the log of a node. The check starts over when the node restarts.
func (f *fleet) checkRevisionsIncrease() {
	f.t.Helper()
	revisionLine := regexp.MustCompile(`event=(record key|profile_in_force service)=(\S+) .*?revision=(\d+)`)
	for _, n := range f.nodes {
		text, err := os.ReadFile(filepath.Join(f.dir, n.name+".log"))
		if err != nil {
			f.t.Fatal(err)
		}
		highest := map[string]int{}
		lines := bufio.NewScanner(bytes.NewReader(text))
		for lines.Scan() {
			if strings.Contains(lines.Text(), "event=node_started ") {
				clear(highest)
			}
			m := revisionLine.FindStringSubmatch(lines.Text())
			if m == nil {
				continue
			}
			revision, _ := strconv.Atoi(m[3])
			if revision < highest[m[1]+m[2]] {
				f.t.Errorf("%s: revision of %s went down from %d to %d", n.name, m[2], highest[m[1]+m[2]], revision)
			}
			highest[m[1]+m[2]] = revision
		}
	}
}

// startControlFleet starts count nodes without backend servers, in three regions.
func (f *fleet) startControlFleet(count int) {
	for i := range count {
		region := []string{"tx-central", "tx-north", "tx-gulf"}[i%3]
		f.startNode(fmt.Sprintf("n%d", i), nodeOptions{region: region})
	}
	waitFor(f.t, "membership", func() bool {
		for _, n := range f.nodes {
			if n.countLogLines("event=member_joined ") < count-1 {
				return false
			}
		}
		return true
	})
}

// TestProfileChangeWithAllWatchersKilled kills every node that watches the store
// right before a profile change. The node that accepted the change must replicate
// it to the others itself, since no watch reports it.
func TestProfileChangeWithAllWatchersKilled(t *testing.T) {
	f := newFleet(t)
	f.startStore()
	f.startControlFleet(9)
	first := f.nodes[0]
	tag := first.adminPut("/v1/profiles/test", testProfile, "")
	first.adminPut("/v1/services/rates", `{"profile":"test"}`, "")
	for _, n := range f.nodes {
		n.awaitProfile("rates")
	}
	var alive []*node
	for _, n := range f.nodes {
		if n.countLogLines("action=start_watch") > n.countLogLines("action=stop_watch") {
			n.Kill()
			continue
		}
		alive = append(alive, n)
	}
	if len(alive) == 0 || len(alive) == len(f.nodes) {
		t.Fatalf("%d of %d nodes watch the store, want some but not all", len(f.nodes)-len(alive), len(f.nodes))
	}
	start := time.Now()
	next := alive[0].adminPut("/v1/profiles/test", strings.ReplaceAll(testProfile, "class lookup", "class search"), tag)
	for _, n := range alive {
		waitFor(t, "change at "+n.name, func() bool { return n.profileInForce("rates", next) })
	}
	took := time.Since(start)
	t.Logf("%d watchers killed, change in force on the other %d nodes after %v", len(f.nodes)-len(alive), len(alive), took)
	if took > 5*time.Second {
		t.Errorf("change in force after %v, want at most 5s", took)
	}
	f.checkRevisionsIncrease()
}

// TestStoreOutagesAndRestarts changes a profile between outages of the store and
// restarts a node during each outage. A node that starts without the store must get
// the current revisions from the other nodes.
func TestStoreOutagesAndRestarts(t *testing.T) {
	f := newFleet(t)
	f.startStore()
	f.startControlFleet(6)
	tag := f.nodes[0].adminPut("/v1/profiles/test", testProfile, "")
	f.nodes[0].adminPut("/v1/services/rates", `{"profile":"test"}`, "")
	for round := range 3 {
		for _, n := range f.nodes {
			waitFor(t, fmt.Sprintf("round %d at %s", round, n.name), func() bool { return n.profileInForce("rates", tag) })
		}
		f.setStoreFaults(`{"down":true}`)
		restarted := f.nodes[round+1]
		restarted.Kill()
		os.Rename(filepath.Join(f.dir, restarted.name+".log"), filepath.Join(f.dir, fmt.Sprintf("%s-%d.old", restarted.name, round)))
		restarted.run()
		waitFor(t, "profile at the node restarted during the store outage", func() bool { return restarted.profileInForce("rates", tag) })
		if status, _ := f.nodes[0].adminRequest(http.MethodPut, "/v1/profiles/test", testProfile, "If-Match", tag); status/100 == 2 {
			t.Errorf("a change during the outage was accepted with status %d", status)
		}
		f.setStoreFaults(`{"lose_answers":1}`)
		tag = f.nodes[0].adminPut("/v1/profiles/test", strings.ReplaceAll(testProfile, "class lookup", fmt.Sprintf("class search%d", round)), tag)
	}
	f.checkRevisionsIncrease()
}

// plannedStops returns the number of planned stops in TestDrainsUnderLoad, 4 unless
// the environment variable E2E_DRAINS sets another.
func plannedStops() int {
	if n, err := strconv.Atoi(os.Getenv("E2E_DRAINS")); err == nil {
		return n
	}
	return 4
}

// TestDrainsUnderLoad drains backend servers and restarts nodes in turn under a load
// of purchases and lookups. Planned stops must not fail any request.
func TestDrainsUnderLoad(t *testing.T) {
	const drainWait = 2200 * time.Millisecond // longer than the 2 s after which a drained backend server gets no new calls
	p := newTwoMemberFleet(t, nodeProgram, "--service-time", "20ms")
	lastStartMS := 0
	purchases, lookups := p.runUnderLoad(func() {
		for i := range plannedStops() {
			m := p.members[i%2]
			if i%4 < 2 {
				lastStartMS = max(lastStartMS, m.drainBackend(drainWait))
			} else {
				m.restartGracefully()
			}
			routedBefore := p.entry.routedCalls(m)
			waitFor(t, "new calls to "+m.name, func() bool { return p.entry.routedCalls(m) > routedBefore })
		}
	})
	t.Logf("%d planned stops, %d purchases, %d lookups, last execution started %d ms after a drain", plannedStops(), len(purchases), len(lookups), lastStartMS)
	if lastStartMS > 2000 {
		t.Errorf("a leaving backend server started an execution %d ms after its drain, want at most 2000 ms", lastStartMS)
	}
	for _, results := range []map[string]result{purchases, lookups} {
		for id, r := range results {
			if !succeeded(r) {
				t.Errorf("%s failed: %v", id, r)
			}
		}
	}
}

// drainBackend drains the backend server, replaces it after wait, and returns the
// time from the drain to the last start of an execution at the drained one, in
// milliseconds.
func (n *node) drainBackend(wait time.Duration) int {
	resp, err := http.Post(n.backend.url+"/drain", "", nil)
	if err != nil {
		n.fleet.t.Fatal(err)
	}
	resp.Body.Close()
	time.Sleep(wait)
	last := n.backend.lastStartAfterDrain(n.fleet.t)
	n.backend.Kill()
	n.fleet.startBackend(n, n.backend.service, "--service-time", "20ms")
	return last
}

// restartGracefully shuts the node down with SIGTERM, kills its backend server and
// starts both again.
func (n *node) restartGracefully() {
	n.Signal(sigterm)
	if code := n.WaitExit(n.fleet.t, waitTimeout); code != 0 {
		n.fleet.t.Errorf("%s ended with status %d, want 0", n.name, code)
	}
	n.backend.Kill()
	n.run()
	n.fleet.startBackend(n, n.backend.service, "--service-time", "20ms")
}

// routedCalls counts the calls that n sent to the current process of m.
func (n *node) routedCalls(m *node) int { return n.countLogLines("event=route ", "member="+m.nodeID()) }

// nodeID returns the ID of the current process of the node, "" if it has not
// logged its start yet.
func (n *node) nodeID() string {
	text, _ := os.ReadFile(filepath.Join(n.fleet.dir, n.name+".log"))
	matches := regexp.MustCompile(`event=node_started node=(\S+)`).FindAllSubmatch(text, -1)
	if len(matches) == 0 {
		return ""
	}
	return string(matches[len(matches)-1][1])
}
