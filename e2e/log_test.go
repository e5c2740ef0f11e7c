package e2e

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"testing"
	"time"
)

// metric returns a figure of the node's metrics.
func (n *node) metric(name string) int {
	n.f.t.Helper()
	req, _ := http.NewRequest(http.MethodGet, "http://"+n.admin+"/metrics", nil)
	req.Header.Set("Authorization", "Bearer secret")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		n.f.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		n.f.t.Fatal(err)
	}
	found := regexp.MustCompile(`(?m)^` + name + ` (\d+)`).FindSubmatch(text)
	if found == nil {
		n.f.t.Fatalf("no metric %s in status %d:\n%.300s", name, resp.StatusCode, text)
	}
	value, err := strconv.Atoi(string(found[1]))
	if err != nil {
		n.f.t.Fatal(err)
	}
	return value
}

// TestOutputThatIsNotRead lets nobody read the log of a node under load. Calls must
// be answered as before, the lost lines be counted, and the node must stop in time.
func TestOutputThatIsNotRead(t *testing.T) {
	f := newFleet(t)
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer read.Close()
	entry := f.startNode("entry", nodeOptions{out: write, extra: "[log]\nbuffer = 64\n"})
	member := f.startNode("member", nodeOptions{})
	f.startBackend(member, "rates", "--service-time", "1ms")
	f.publish(testProfile, "rates")
	waitFor(t, "a served call", func() bool {
		return whole(entry.call("rates", callOptions{path: "/lookup/warmup", id: "warmup"}))
	})
	const calls = 600 // their lines fill the pipe (64 KiB) several times
	var first, last time.Duration
	for i := range calls {
		r := entry.call("rates", callOptions{path: "/lookup/x", id: fmt.Sprintf("look%d", i)})
		if !whole(r) {
			t.Fatalf("call %d: %v", i, r)
		}
		if i < calls/6 {
			first += r.took
		} else if i >= calls-calls/6 {
			last += r.took
		}
	}
	lost := entry.metric("dogwoodhatch_log_dropped")
	t.Logf("%d lines lost; a call took %v at first and %v at the end", lost, first/(calls/6), last/(calls/6))
	if lost == 0 {
		t.Error("no lost line was counted")
	}
	entry.Signal(sigterm)
	if code := entry.WaitExit(t, 10*time.Second); code != 0 {
		t.Errorf("exit status %d", code)
	}
}
