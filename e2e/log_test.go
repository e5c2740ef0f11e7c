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

// metric returns the value of a metric of the node.
func (n *node) metric(name string) int {
	n.fleet.t.Helper()
	req, _ := http.NewRequest(http.MethodGet, "http://"+n.admin+"/metrics", nil)
	req.Header.Set("Authorization", "Bearer secret")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		n.fleet.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		n.fleet.t.Fatal(err)
	}
	match := regexp.MustCompile(`(?m)^` + name + ` (\d+)`).FindSubmatch(text)
	if match == nil {
		n.fleet.t.Fatalf("metric %s is missing from the answer with status %d:\n%.300s", name, resp.StatusCode, text)
	}
	value, err := strconv.Atoi(string(match[1]))
	if err != nil {
		n.fleet.t.Fatal(err)
	}
	return value
}

// TestUnreadLogOutput runs a node under load whose standard output is a pipe that
// nobody reads. A full pipe must not block calls or the shutdown of the node, and the
// dropped lines must be counted.
func TestUnreadLogOutput(t *testing.T) {
	f := newFleet(t)
	pipeReader, pipeWriter, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer pipeReader.Close()
	entry := f.startNode("entry", nodeOptions{output: pipeWriter, extra: "[log]\nbuffer = 64\n"})
	member := f.startNode("member", nodeOptions{})
	f.startBackend(member, "rates", "--service-time", "1ms")
	f.publish(testProfile, "rates")
	waitFor(t, "a successful call", func() bool {
		return succeeded(entry.call("rates", callOptions{path: "/lookup/warmup", id: "warmup"}))
	})
	const calls = 600 // log enough to fill the pipe (64 KiB) several times
	var first, last time.Duration
	for i := range calls {
		r := entry.call("rates", callOptions{path: "/lookup/x", id: fmt.Sprintf("look%d", i)})
		if !succeeded(r) {
			t.Fatalf("call %d: %v", i, r)
		}
		if i < calls/6 {
			first += r.took
		} else if i >= calls-calls/6 {
			last += r.took
		}
	}
	lost := entry.metric("dogwoodhatch_log_dropped")
	t.Logf("%d lines lost; a call took %v on average at first and %v at the end", lost, first/(calls/6), last/(calls/6))
	if lost == 0 {
		t.Error("no lost line was counted")
	}
	entry.Signal(sigterm)
	if code := entry.WaitExit(t, 10*time.Second); code != 0 {
		t.Errorf("exit status %d, want 0", code)
	}
}
