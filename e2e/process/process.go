// Package process runs programs of this repository as processes of a test.
package process

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// module is the path of this repository's packages.
const module = "github.com/dogwoodhatch/dogwoodhatch/"

// binDir holds the programs built by Main.
var binDir string

// Main builds the programs, runs the tests and returns the exit status. It is
// called by TestMain.
func Main(m *testing.M, programs ...string) int {
	dir, err := os.MkdirTemp("", "dogwoodhatch-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	args := []string{"build", "-o", dir + "/"}
	for _, name := range programs {
		args = append(args, module+"apps/"+name)
	}
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// Edit replaces a piece of one source file, which must hold it once.
type Edit struct{ File, Old, New string }

// Variant builds a program with an edited source, so that a test can show what
// happens without a mechanism, and returns its name. The file is a path in the
// repository.
func Variant(t *testing.T, program, name string, e Edit) string {
	t.Helper()
	root, err := filepath.Abs("..")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(root, e.File)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(string(text), e.Old); n != 1 {
		t.Fatalf("%s holds %q %d times; the variant %q needs it once", e.File, e.Old, n, name)
	}
	edited := filepath.Join(t.TempDir(), "edited.go")
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {path: edited}})
	if err != nil {
		t.Fatal(err)
	}
	overlayFile := filepath.Join(t.TempDir(), "overlay.json")
	for file, content := range map[string]string{edited: strings.Replace(string(text), e.Old, e.New, 1), overlayFile: string(overlay)} {
		if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	variant := program + "-" + name
	build := exec.Command("go", "build", "-overlay", overlayFile, "-o", filepath.Join(binDir, variant), module+"apps/"+program)
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build of the variant %q: %v\n%s", name, err, out)
	}
	return variant
}

// Process is one process of a test. It ends with the test.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
	code int
}

// Start runs a program with its output appended to dir/name.log.
func Start(t *testing.T, dir, name, program string, args ...string) *Process {
	t.Helper()
	out, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	return StartTo(t, out, program, args...)
}

// StartTo runs a program with its output going to out, which it closes at the end.
func StartTo(t *testing.T, out *os.File, program string, args ...string) *Process {
	t.Helper()
	p := &Process{cmd: exec.Command(filepath.Join(binDir, program), args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.cmd.Wait()
		out.Close()
		p.code = p.cmd.ProcessState.ExitCode()
		close(p.done)
	}()
	t.Cleanup(p.Kill)
	return p
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// Kill ends the process and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// WaitExit waits for the process to end by itself and returns its exit status.
func (p *Process) WaitExit(t *testing.T, limit time.Duration) int {
	t.Helper()
	select {
	case <-p.done:
		return p.code
	case <-time.After(limit):
		t.Fatalf("process %s has not ended after %v", p.cmd.Path, limit)
		return 0
	}
}

// logTail is the end of each log that a failed test prints, in bytes.
const logTail = 4000

// DumpOnFailure prints the ends of the logs in dir if the test failed.
func DumpOnFailure(t *testing.T, dir string) {
	if !t.Failed() {
		return
	}
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		t.Log(err)
	}
	for _, path := range logs {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Log(err)
		}
		t.Logf("%s:\n%s", filepath.Base(path), text[max(0, len(text)-logTail):])
	}
}

// Ports of tests lie below those that the system gives to outgoing connections
// (from 32768 on Linux): one of these can be taken between its choice and its use.
const (
	firstPort = 12000
	portCount = 16000
)

// lastPort counts through the ports, from a random one, as the tests of other
// packages run at the same time.
var lastPort atomic.Uint32

func init() { lastPort.Store(rand.Uint32N(portCount)) }

// FreePort returns an address of this machine on which nothing listens.
func FreePort(t *testing.T) string {
	t.Helper()
	for range portCount {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+lastPort.Add(1)%portCount))
		if err != nil {
			continue // in use
		}
		defer ln.Close()
		return ln.Addr().String()
	}
	t.Fatalf("no port from %d to %d is free", firstPort, firstPort+portCount-1)
	return ""
}
