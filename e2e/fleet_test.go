// Package e2e tests failures with real processes: nodes, backend servers and the
// stand-in for the store are killed, frozen and disconnected from each other.
package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/e2e/process"
)

const nodeProgram = "dogwoodhatch-node"

func TestMain(m *testing.M) {
	os.Exit(process.Main(m, nodeProgram, "dogwoodhatch-backend", "dogwoodhatch-store"))
}

// fleet is the set of processes of one test. They are killed when the test ends.
type fleet struct {
	t        *testing.T
	dir      string
	storeURL string
	store    *process.Process
	nodes    []*node
	program  string // name of the node binary
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, dir: t.TempDir(), program: nodeProgram}
	t.Cleanup(func() { process.DumpOnFailure(t, f.dir) })
	return f
}

func (f *fleet) start(name string, args ...string) *process.Process {
	f.t.Helper()
	return process.Start(f.t, f.dir, name, args[0], args[1:]...)
}

func (f *fleet) startStore() {
	addr := process.FreePort(f.t)
	f.storeURL = "http://" + addr
	f.store = f.start("store", "dogwoodhatch-store", "--listen", addr)
	waitFor(f.t, "store", func() bool { return getStatus(f.storeURL+"/v1/counts") == http.StatusOK })
}

// setStoreFaults replaces the faults that the store injects; faults is a JSON object.
func (f *fleet) setStoreFaults(faults string) {
	f.t.Helper()
	req, _ := http.NewRequest(http.MethodPut, f.storeURL+"/v1/faults", strings.NewReader(faults))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	resp.Body.Close()
}

// node is a node process with its addresses and settings file.
type node struct {
	*process.Process
	fleet      *fleet
	name       string
	configPath string
	outside    string
	local      string
	peer       string
	admin      string
	output     *os.File // see nodeOptions.output
	backend    *backend
}

// nodeOptions are the settings of one node that differ from the defaults.
type nodeOptions struct {
	region    string
	advertise func(peer string) string // returns the address to advertise instead of peer
	extra     string                   // lines appended to the settings file
	output    *os.File                 // standard output and error; nil for name.log in the directory of the test
}

func (f *fleet) startNode(name string, o nodeOptions) *node {
	if o.region == "" {
		o.region = "tx-central"
	}
	n := &node{fleet: f, name: name, output: o.output, outside: process.FreePort(f.t), local: process.FreePort(f.t), peer: process.FreePort(f.t), admin: process.FreePort(f.t)}
	n.configPath = filepath.Join(f.dir, name+".ini")
	text := fmt.Sprintf("[node]\nid = %s\nregion = %s\nfailure_domain = %s-a\n[listen]\noutside = %s\nlocal = %s\npeer = %s\nadmin = %s\n",
		name, o.region, o.region, n.outside, n.local, n.peer, n.admin)
	if o.advertise != nil {
		text += "advertise_peer = " + o.advertise(n.peer) + "\n"
	}
	if f.storeURL == "" {
		f.startStore() // nodes discover each other through the store
	}
	text += "[store]\nurl = " + f.storeURL + "\n[admin]\ncredentials = operator:secret\n" + o.extra
	if err := os.WriteFile(n.configPath, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.nodes = append(f.nodes, n)
	n.run()
	return n
}

// run starts the process of the node, for the first time or after it has exited.
func (n *node) run() {
	if n.output != nil {
		n.Process = process.StartWithOutput(n.fleet.t, n.output, n.fleet.program, "--config", n.configPath)
	} else {
		n.Process = n.fleet.start(n.name, n.fleet.program, "--config", n.configPath)
	}
	waitFor(n.fleet.t, n.name, func() bool { return reachable(n.outside) })
}

// backend is a backend server process beside a node.
type backend struct {
	*process.Process
	service string
	url     string
}

func (f *fleet) startBackend(n *node, service string, args ...string) *backend {
	addr := process.FreePort(f.t)
	b := &backend{service: service, url: "http://" + addr}
	all := append([]string{"dogwoodhatch-backend", "--listen", addr, "--service", service, "--node", "http://" + n.local,
		"--distribution", "fixed"}, args...)
	b.Process = f.start(n.name+"-"+service, all...)
	n.backend = b
	waitFor(f.t, service, func() bool { return getStatus(b.url+"/health") == http.StatusOK })
	return b
}

// setBehaviour changes the behaviour of the backend server; behaviour is a JSON
// object.
func (b *backend) setBehaviour(t *testing.T, behaviour string) {
	t.Helper()
	req, _ := http.NewRequest(http.MethodPut, b.url+"/control", strings.NewReader(behaviour))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}

// sigterm requests a graceful shutdown of a process.
const sigterm = syscall.SIGTERM

// lastStartAfterDrain returns the time from the drain of the backend server to the
// start of its last execution, in milliseconds.
func (b *backend) lastStartAfterDrain(t *testing.T) int {
	t.Helper()
	resp, err := http.Get(b.url + "/executions")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var record struct {
		Last int `json:"last_start_after_drain_ms"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&record); err != nil {
		t.Fatal(err)
	}
	return record.Last
}

// executionCounts returns the number of executions by request ID.
func (b *backend) executionCounts(t *testing.T) map[string]int {
	t.Helper()
	resp, err := http.Get(b.url + "/executions")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var record struct {
		Executions []struct{ ID string }
	}
	if err := json.NewDecoder(resp.Body).Decode(&record); err != nil {
		t.Fatal(err)
	}
	counts := map[string]int{}
	for _, e := range record.Executions {
		counts[e.ID]++
	}
	return counts
}

// result is the answer to a call as the caller sees it.
type result struct {
	status  int
	outcome string
	reason  string
	body    string
	broken  bool // the call failed or the connection closed before the end of the answer
	took    time.Duration
}

func (r result) String() string {
	return fmt.Sprintf("status=%d outcome=%s reason=%s broken=%v took=%v", r.status, r.outcome, r.reason, r.broken, r.took)
}

// callOptions are the parameters of one call. The method is GET by default.
type callOptions struct {
	method  string
	path    string
	id      string
	headers map[string]string
}

func (n *node) call(service string, o callOptions) result {
	start := time.Now()
	if o.method == "" {
		o.method = http.MethodGet
	}
	req, err := http.NewRequest(o.method, "http://"+n.outside+o.path, nil)
	if err != nil {
		n.fleet.t.Error(err)
		return result{}
	}
	req.Host = service
	req.Header.Set("X-Request-Id", o.id)
	for k, v := range o.headers {
		req.Header.Set(k, v)
	}
	client := &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return result{broken: true, took: time.Since(start)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return result{
		status: resp.StatusCode, outcome: resp.Header.Get("Dogwoodhatch-Outcome"), reason: resp.Header.Get("Dogwoodhatch-Reason"),
		body: string(body), broken: err != nil, took: time.Since(start),
	}
}

// awaitService waits until calls through n to the service succeed.
func (n *node) awaitService(service string) {
	n.fleet.t.Helper()
	waitFor(n.fleet.t, "service "+service, func() bool {
		return n.call(service, callOptions{path: "/warmup", id: "warmup"}).status == http.StatusOK
	})
}

// hasLogLine reports whether a line in the log of the node contains all substrings.
func (n *node) hasLogLine(substrings ...string) bool { return n.countLogLines(substrings...) > 0 }

// countLogLines counts the lines in the log of the node that contain all substrings.
func (n *node) countLogLines(substrings ...string) int {
	text, _ := os.ReadFile(filepath.Join(n.fleet.dir, n.name+".log"))
	lines := 0
	for _, line := range bytes.Split(text, []byte("\n")) {
		if containsAll(string(line), substrings) {
			lines++
		}
	}
	return lines
}

func containsAll(line string, substrings []string) bool {
	for _, w := range substrings {
		if !strings.Contains(line, w) {
			return false
		}
	}
	return true
}

const (
	waitTimeout  = 15 * time.Second
	pollInterval = 50 * time.Millisecond
)

// waitFor polls ok until it returns true and fails the test after waitTimeout.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not ready after %v", what, waitTimeout)
		}
		time.Sleep(pollInterval)
	}
}

// reachable reports whether addr accepts TCP connections.
func reachable(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	c.Close()
	return true
}

// getStatus returns the HTTP status of a GET request, 0 if it failed.
func getStatus(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
