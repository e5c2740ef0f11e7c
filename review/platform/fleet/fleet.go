package main

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/platform/kv/standin"
)

// Files of the project, from its root.
const (
	nodeProgram  = "target/dogwoodhatch-node"
	nodeTemplate = "deploy/node.ini.tmpl"
)

// fleet is the stand-in store, the nodes that use it and the record of the case.
type fleet struct {
	trouble bool // whether the disruption happens
	dir     string
	store   *standin.Server
	net     int // third number of the addresses of the nodes
	base    int // first port of every node
	started time.Time
	closing sync.Once

	firstRevision uint64 // added to the revisions of the store

	mu      sync.Mutex
	log     *os.File
	nodes   []*node
	closers []func()
}

func newFleet(recordPath string, trouble bool) (*fleet, error) {
	log, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{trouble: trouble, dir: dir, store: standin.New(standin.DefaultConfig()), started: time.Now(), log: log}
	return f, f.chooseAddresses()
}

// adminPort is the fixed port in the template of the settings.
const adminPort = 7630

// chooseAddresses chooses a network of loopback addresses and the first port for the nodes.
// Several fleets may run at the same time. The ports lie below the ephemeral ones.
func (f *fleet) chooseAddresses() error {
	const first, last = 13000, 28000
	for range 100 {
		f.net, f.base = 10+rand.IntN(200), first+rand.IntN(last-first)
		ports := []int{adminPort}
		for port := range portCount {
			ports = append(ports, f.base+port)
		}
		if !slices.ContainsFunc(ports, func(port int) bool { return inUse(fmt.Sprintf("127.0.%d.1:%d", f.net, port)) }) {
			return nil
		}
	}
	return errors.New("no free ports")
}

func inUse(addr string) bool {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return true
	}
	ln.Close()
	return false
}

// record writes a line to the record of the case.
func (f *fleet) record(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
	fmt.Println(line)
	fmt.Fprintln(f.log, line)
}

// note writes a line to the record only, for what happens often.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.log, "%8.3f %s\n", time.Since(f.started).Seconds(), fmt.Sprintf(format, args...))
}

// atEnd registers a function that close calls.
func (f *fleet) atEnd(stop func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closers = append(f.closers, stop)
}

// close ends every process of the fleet.
func (f *fleet) close() {
	f.closing.Do(f.end)
}

func (f *fleet) end() {
	for _, n := range f.nodes {
		n.kill()
	}
	for _, stop := range f.closers {
		stop()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs:", f.dir)
	}
	f.log.Close()
}

// publish writes a desired state as the operator.
func (f *fleet) publish(state string) error {
	w := httptest.NewRecorder()
	f.store.NewEndpoint().ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/v1/operator?key=op%2Fconfig", strings.NewReader(state)))
	if w.Code != http.StatusOK {
		return fmt.Errorf("the store answered %d to the operator", w.Code)
	}
	return nil
}

// node is a node process with the addresses that the platform assigns to it.
type node struct {
	fleet    *fleet
	name, ip string
	service  string
	zone     string
	region   string
	config   string
	store    *standin.Endpoint // the store as this node reaches it
	storeURL string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// Ports of a node after the first of the fleet.
const (
	portCallers = iota
	portReady
	portControl
	portPeer
	portBackend
	portCount
)

func (n *node) addr(port int) string { return fmt.Sprintf("%s:%d", n.ip, n.fleet.base+port) }

// newNode configures a node, with its settings made from the template of the deploy file.
func (f *fleet) newNode(service, zone, region string) (*node, error) {
	i := len(f.nodes) + 1
	n := &node{fleet: f, name: fmt.Sprintf("sidecar-%d", i), ip: fmt.Sprintf("127.0.%d.%d", f.net, i), service: service, zone: zone, region: region, store: f.store.NewEndpoint()}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: n.store}
	if f.firstRevision > 0 {
		server.Handler = &laterCounter{store: n.store, first: f.firstRevision}
	}
	go server.Serve(ln)
	f.atEnd(func() { server.Close() })
	n.storeURL = ln.Addr().String()
	if err := n.writeConfig(); err != nil {
		return nil, err
	}
	f.nodes = append(f.nodes, n)
	return n, nil
}

// writeConfig fills in the template as the platform does for the placeholders that it has.
func (n *node) writeConfig() error {
	template, err := os.ReadFile(nodeTemplate)
	if err != nil {
		return err
	}
	values := map[string]string{
		"node_name": n.name, "region": n.region, "zone": n.zone, "service": n.service, "ip": n.ip,
		"internal_ports.0": fmt.Sprint(n.fleet.base + portPeer),
		"listen.outbound":  n.addr(portCallers), "listen.ready": n.addr(portReady), "listen.control": n.addr(portControl),
		"bounds.grace": "6s", "bounds.retry_budget_ratio": "0.2", "bounds.budget_slack": "50", "bounds.budget_window": "10s",
		"platform.address": n.storeURL,
	}
	text := string(template)
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	for { // the others have no value
		from := strings.Index(text, "{{")
		if from < 0 {
			break
		}
		text = text[:from] + text[from+strings.Index(text[from:], "}}")+2:]
	}
	n.config = filepath.Join(n.fleet.dir, n.name+".ini")
	return os.WriteFile(n.config, []byte(text), 0o600)
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	out, err := os.OpenFile(filepath.Join(n.fleet.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(nodeProgram)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DOGWOODHATCH_NODE_FILE=" + n.config}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		out.Close()
		close(exited)
	}()
	return nil
}

// kill ends the process.
func (n *node) kill() {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	<-n.exited
}

// restartAll kills every node and starts it again.
func (f *fleet) restartAll() error {
	for _, n := range f.nodes {
		n.kill()
	}
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return awaitReady(f.nodes)
}

// logged returns how often the log of the node contains a text.
func (n *node) logged(text string) int {
	log, err := os.ReadFile(filepath.Join(n.fleet.dir, n.name+".log"))
	if err != nil {
		return 0
	}
	return bytes.Count(log, []byte(text))
}

// await waits until a condition holds.
func await(what string, limit time.Duration, ok func() bool) error {
	for end := time.Now().Add(limit); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("%s: not within %v", what, limit)
		}
	}
	return nil
}

// awaitReady waits until the nodes answer 200 to the status check of the platform.
func awaitReady(nodes []*node) error {
	client := &http.Client{Timeout: time.Second}
	for _, n := range nodes {
		if err := await(n.name, 10*time.Second, func() bool {
			resp, err := client.Get("http://" + n.addr(portReady) + "/v1/ready")
			if err != nil {
				return false
			}
			resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		}); err != nil {
			return err
		}
	}
	return nil
}

// route is one entry of rules in a desired state.
func route(name, kind, prefix, service, timeout string, attempts int) string {
	return fmt.Sprintf(`{"name":%q,"kind":%q,"target_latency":"500ms","priority":1,"match":{"prefix":%q},"action":{"service":%q,"timeout":%q,"max_attempts":%d}}`,
		name, kind, prefix, service, timeout, attempts)
}

// desiredState is a desired state with the rules of one host.
func desiredState(version int, host string, rules ...string) string {
	return fmt.Sprintf(`{"version":"%08x","limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"10s","idle_timeout":"60s"},"listeners":[{"host":%q,"rules":[%s]}],"clusters":[]}`,
		version, host, strings.Join(rules, ","))
}
