package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Programs, relative to the root of the project.
const (
	nodeProgram  = "target/dogwoodhatch-node" // as in deploy/system.toml
	nodeTemplate = "deploy/node.ini.tmpl"
	storeProgram = "target/review/dogwoodhatch-store"
)

// Bounds of the site files bbl-ratedesk and esmalte-red.
const (
	drainBound   = 2500 * time.Millisecond
	stableWindow = 3 * time.Second
	grace        = 6 * time.Second
	heartbeat    = 1500 * time.Millisecond
)

// lab is one run of a case: its record, its processes and its temporary folder.
type lab struct {
	began time.Time
	dir   string

	mu        sync.Mutex
	record    *os.File
	closed    bool
	processes []*process
}

func newLab(recordPath string) (*lab, error) {
	for _, program := range []string{nodeProgram, storeProgram, nodeTemplate} {
		if _, err := os.Stat(program); err != nil {
			return nil, fmt.Errorf("run the build of the deploy file and review/build.sh, and start from the root of the project: %w", err)
		}
	}
	dir, err := os.MkdirTemp("", "dogwoodhatch-review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	return &lab{began: time.Now(), dir: dir, record: record}, nil
}

// note writes one line to the record.
func (l *lab) note(format string, args ...any) { l.noteAt(time.Now(), format, args...) }

func (l *lab) noteAt(at time.Time, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%7.3f  %s\n", at.Sub(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the temporary folder.
func (l *lab) close() {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	processes := l.processes
	l.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(l.dir)
	} else {
		fmt.Fprintln(os.Stderr, l.dir)
	}
}

// process is a program that the lab has started.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

func (l *lab) start(name string, env []string, program string, args ...string) (*process, error) {
	out, err := os.OpenFile(filepath.Join(l.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	p := &process{cmd: exec.Command(program, args...), exited: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, fmt.Errorf("the run has ended")
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	l.processes = append(l.processes, p)
	go func() {
		_ = p.cmd.Wait() // the exit status of a killed process says nothing
		close(p.exited)
	}()
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process, also a stopped one, and waits until it has ended.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop sends SIGTERM, and SIGKILL after the grace period like the platform. It reports
// how long the process took.
func (p *process) stop() time.Duration {
	began := time.Now()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(grace):
		p.kill()
	}
	return time.Since(began)
}

// Ports for the processes lie below the ephemeral ports (from 32768 on Linux): the kernel
// could give one of those to an outgoing connection before the process listens on it.
const (
	firstPort = 12000
	portCount = 16000
)

var (
	portOffset = rand.IntN(portCount)
	portMu     sync.Mutex
)

// freeAddr returns a loopback address that nothing listens on, and that it has not returned
// before.
func freeAddr() (string, error) {
	portMu.Lock()
	defer portMu.Unlock()
	for range portCount {
		portOffset = (portOffset + 1) % portCount
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+portOffset)
		if ln, err := net.Listen("tcp", addr); err == nil {
			ln.Close()
			return addr, nil
		}
	}
	return "", fmt.Errorf("no free port from %d on", firstPort)
}

func freeAddrs(n int) ([]string, error) {
	var addrs []string
	for range n {
		addr, err := freeAddr()
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, addr)
	}
	return addrs, nil
}

// startStore starts the stand-in of the platform's store and returns its address.
func (l *lab) startStore() (string, error) {
	addr, err := freeAddr()
	if err != nil {
		return "", err
	}
	if _, err := l.start("store", nil, storeProgram, "--listen", addr); err != nil {
		return "", err
	}
	return addr, await(5*time.Second, func() bool {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err == nil {
			c.Close()
		}
		return err == nil
	})
}

// putDesiredState writes the desired state as the operator does.
func (l *lab) putDesiredState(store, state string) error {
	req, err := http.NewRequest(http.MethodPut, "http://"+store+"/v1/operator?key="+url.QueryEscape("op/config"), bytes.NewReader([]byte(state)))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	l.note("operator: desired state written, status %d: %s", resp.StatusCode, state)
	return nil
}

// await polls until done reports true.
func await(limit time.Duration, done func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			return nil
		}
	}
	return fmt.Errorf("not reached within %v", limit)
}

// machine is one machine of the deployment: a node beside the address of a backend server.
type machine struct {
	l                                    *lab
	name, zone, service, store           string
	peer, admin, callers, ready, control string
	app                                  string // address of the backend server
	proc                                 *process
	left                                 atomic.Bool // the platform directs clients elsewhere
}

// newMachine chooses the addresses of a machine; startNode starts its node.
func (l *lab) newMachine(name, zone, service, store string) (*machine, error) {
	a, err := freeAddrs(6)
	if err != nil {
		return nil, err
	}
	return &machine{l: l, name: name, zone: zone, service: service, store: store, peer: a[0], admin: a[1], callers: a[2], ready: a[3], control: a[4], app: a[5]}, nil
}

// settings fills in the template of the deploy file.
func (m *machine) settings() (string, error) {
	template, err := os.ReadFile(nodeTemplate)
	if err != nil {
		return "", err
	}
	text := string(template)
	for name, value := range map[string]string{
		"{{ip}}:{{internal_ports.0}}": m.peer, "{{ip}}:7630": m.admin, // one loopback address has to serve all machines
		"{{node_name}}": m.name, "{{region}}": "r1", "{{zone}}": m.zone, "{{service}}": m.service,
		"{{listen.outbound}}": m.callers, "{{listen.ready}}": m.ready, "{{listen.control}}": m.control,
		"{{bounds.grace}}": "6s", "{{bounds.retry_budget_ratio}}": "0.2", "{{bounds.budget_slack}}": "50", "{{bounds.budget_window}}": "10s",
		"{{bounds.revoke}}": "", "{{bounds.revoke_fail_closed}}": "", "{{bounds.quota_window}}": "", "{{bounds.quota_over}}": "", "{{bounds.quota_slack}}": "",
		"{{platform.address}}": m.store,
	} {
		text = strings.ReplaceAll(text, name, value)
	}
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("%s has a placeholder that the lab does not know", nodeTemplate)
	}
	return text, nil
}

// startNode starts the node with the command of the deploy file.
func (m *machine) startNode() error {
	text, err := m.settings()
	if err != nil {
		return err
	}
	path := filepath.Join(m.l.dir, m.name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	m.proc, err = m.l.start(m.name, []string{"DOGWOODHATCH_NODE_FILE=" + path}, nodeProgram)
	m.l.note("%s: node started", m.name)
	return err
}

// isReady asks as the platform does.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + m.ready + "/v1/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (m *machine) awaitReady() error {
	if await(10*time.Second, m.isReady) != nil {
		return fmt.Errorf("%s: %w", m.name, errNotReady)
	}
	m.l.note("%s: node ready", m.name)
	return nil
}
