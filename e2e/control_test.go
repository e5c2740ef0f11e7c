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

// request sends a request to the administration interface of the node and
// returns the status and the entity tag.
func (n *node) request(method, path, body string, headers ...string) (int, string) {
	n.f.t.Helper()
	req, err := http.NewRequest(method, "http://"+n.admin+path, strings.NewReader(body))
	if err != nil {
		n.f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer secret")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		n.f.t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("ETag")
}

// put publishes over the administration interface and returns the new tag.
func (n *node) put(path, body, tag string) string {
	n.f.t.Helper()
	condition := []string{"If-Match", tag}
	if tag == "" {
		condition = []string{"If-None-Match", "*"}
	}
	status, next := n.request(http.MethodPut, path, body, condition...)
	if status/100 != 2 {
		n.f.t.Fatalf("PUT %s at %s: status %d", path, n.name, status)
	}
	return next
}

// inForce tells whether the node has the revision of the profile in force for
// the service.
func (n *node) inForce(service, tag string) bool {
	return n.logged("event=profile_in_force ", "service="+service+" ", "revision="+strings.Trim(tag, `"`)+" ")
}

// checkRevisionsRise fails the test if the log of a node shows a revision of a
// key, or of a profile in force, that is lower than one before it. A restart of
// the node begins anew.
func (f *fleet) checkRevisionsRise() {
	f.t.Helper()
	line := regexp.MustCompile(`event=(record key|profile_in_force service)=(\S+) .*?revision=(\d+)`)
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
			m := line.FindStringSubmatch(lines.Text())
			if m == nil {
				continue
			}
			revision, _ := strconv.Atoi(m[3])
			if revision < highest[m[1]+m[2]] {
				f.t.Errorf("%s: revision of %s fell from %d to %d", n.name, m[2], highest[m[1]+m[2]], revision)
			}
			highest[m[1]+m[2]] = revision
		}
	}
}

// startControlFleet starts nodes without backend servers in three regions.
func (f *fleet) startControlFleet(count int) {
	for i := range count {
		region := []string{"tx-central", "tx-north", "tx-gulf"}[i%3]
		f.startNode(fmt.Sprintf("n%d", i), nodeOptions{region: region})
	}
	waitFor(f.t, "membership", func() bool {
		for _, n := range f.nodes {
			if n.logCount("event=member_joined ") < count-1 {
				return false
			}
		}
		return true
	})
}

// TestProfileChangeWithAllWatchersKilled kills every node that watches the
// store right before a change. The node that took the change spreads it itself.
func TestProfileChangeWithAllWatchersKilled(t *testing.T) {
	f := newFleet(t)
	f.startStore()
	f.startControlFleet(9)
	first := f.nodes[0]
	tag := first.put("/v1/profiles/test", testProfile, "")
	first.put("/v1/services/rates", `{"profile":"test"}`, "")
	for _, n := range f.nodes {
		n.awaitProfile("rates")
	}
	var alive []*node
	for _, n := range f.nodes {
		if n.logCount("action=start_watch") > n.logCount("action=stop_watch") {
			n.Kill()
			continue
		}
		alive = append(alive, n)
	}
	if len(alive) == 0 || len(alive) == len(f.nodes) {
		t.Fatalf("%d of %d nodes watch the store", len(f.nodes)-len(alive), len(f.nodes))
	}
	began := time.Now()
	next := alive[0].put("/v1/profiles/test", strings.ReplaceAll(testProfile, "class lookup", "class search"), tag)
	for _, n := range alive {
		waitFor(t, "change at "+n.name, func() bool { return n.inForce("rates", next) })
	}
	took := time.Since(began)
	t.Logf("%d watchers killed, change in force on the other %d nodes after %v", len(f.nodes)-len(alive), len(alive), took)
	if took > 5*time.Second {
		t.Errorf("change in force after %v, want 5s", took)
	}
	f.checkRevisionsRise()
}

// TestStoreOutagesAndRestarts changes profiles between outages of the store,
// while nodes are killed and started again. A node that starts while the store
// is out learns what is in force from the others.
func TestStoreOutagesAndRestarts(t *testing.T) {
	f := newFleet(t)
	f.startStore()
	f.startControlFleet(6)
	tag := f.nodes[0].put("/v1/profiles/test", testProfile, "")
	f.nodes[0].put("/v1/services/rates", `{"profile":"test"}`, "")
	for round := range 3 {
		for _, n := range f.nodes {
			waitFor(t, fmt.Sprintf("round %d at %s", round, n.name), func() bool { return n.inForce("rates", tag) })
		}
		f.storeFaults(`{"down":true}`)
		restarted := f.nodes[round+1]
		restarted.Kill()
		os.Rename(filepath.Join(f.dir, restarted.name+".log"), filepath.Join(f.dir, fmt.Sprintf("%s-%d.old", restarted.name, round)))
		restarted.run()
		waitFor(t, "restart while the store is out", func() bool { return restarted.inForce("rates", tag) })
		if status, _ := f.nodes[0].request(http.MethodPut, "/v1/profiles/test", testProfile, "If-Match", tag); status/100 == 2 {
			t.Errorf("a change during the outage was accepted with status %d", status)
		}
		f.storeFaults(`{"lose_answers":1}`)
		tag = f.nodes[0].put("/v1/profiles/test", strings.ReplaceAll(testProfile, "class lookup", fmt.Sprintf("class search%d", round)), tag)
	}
	f.checkRevisionsRise()
}

// drains is the number of planned stops in TestDrainsUnderLoad; the environment
// variable E2E_DRAINS raises it.
func drains() int {
	if n, err := strconv.Atoi(os.Getenv("E2E_DRAINS")); err == nil {
		return n
	}
	return 4
}

// TestDrainsUnderLoad drains backend servers and stops nodes in turn while
// purchases and lookups go on.
func TestDrainsUnderLoad(t *testing.T) {
	const settle = 2200 * time.Millisecond // a leaving backend server gets no new work after 2 s
	p := newPair(t, nodeProgram, "--service-time", "20ms")
	worst := 0
	purchases, lookups := p.during(func() {
		for i := range drains() {
			m := p.member[i%2]
			if i%4 < 2 {
				worst = max(worst, m.drainBackend(settle))
			} else {
				m.restartGracefully()
			}
			seen := p.entry.routes(m)
			waitFor(t, "calls to "+m.name, func() bool { return p.entry.routes(m) > seen })
		}
	})
	t.Logf("%d planned stops, %d purchases, %d lookups, last new work %d ms after a drain", drains(), len(purchases), len(lookups), worst)
	if worst > 2000 {
		t.Errorf("a leaving backend server got new work after %d ms", worst)
	}
	for _, results := range []map[string]result{purchases, lookups} {
		for id, r := range results {
			if !whole(r) {
				t.Errorf("%s was cut: %v", id, r)
			}
		}
	}
}

// drainBackend drains the backend server, waits, replaces it, and returns how
// long after the drain the last execution started, in milliseconds.
func (n *node) drainBackend(settle time.Duration) int {
	resp, err := http.Post(n.backend.url+"/drain", "", nil)
	if err != nil {
		n.f.t.Fatal(err)
	}
	resp.Body.Close()
	time.Sleep(settle)
	last := n.backend.lastStartAfterDrain(n.f.t)
	n.backend.Kill()
	n.f.startBackend(n, n.backend.service, "--service-time", "20ms")
	return last
}

// restartGracefully stops the node and its backend server and starts both anew.
func (n *node) restartGracefully() {
	n.Signal(sigterm)
	if code := n.WaitExit(n.f.t, waitLimit); code != 0 {
		n.f.t.Errorf("%s ended with status %d", n.name, code)
	}
	n.backend.Kill()
	n.run()
	n.f.startBackend(n, n.backend.service, "--service-time", "20ms")
}

// routes counts the calls sent to the newest process of m.
func (n *node) routes(m *node) int { return n.logCount("event=route ", "member="+m.nodeID()) }

// nodeID returns the identity of the newest process of the node.
func (n *node) nodeID() string {
	text, _ := os.ReadFile(filepath.Join(n.f.dir, n.name+".log"))
	all := regexp.MustCompile(`event=node_started node=(\S+)`).FindAllSubmatch(text, -1)
	if len(all) == 0 {
		return ""
	}
	return string(all[len(all)-1][1])
}
