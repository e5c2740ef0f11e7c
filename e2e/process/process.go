// Package process builds programs of this repository and runs them as child
// processes of a test.
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

// modulePath is the path of this module, with a trailing slash.
const modulePath = "github.com/dogwoodhatch/dogwoodhatch/"

// binDir holds the programs built by Main.
var binDir string

// Main builds the named programs from apps/, runs the tests and returns the exit
// status. Call it from TestMain.
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
		args = append(args, modulePath+"apps/"+name)
	}
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// Edit replaces Old by New in one source file. File is relative to the root of the
// repository; Old must occur in it exactly once.
type Edit struct{ File, Old, New string }

// BuildVariant builds a program with one edit to its source and returns the name of
// the binary. A test uses it to show what happens without a certain mechanism. The
// test must run one directory below the root of the repository.
func BuildVariant(t *testing.T, program, name string, e Edit) string {
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
		t.Fatalf("%s contains %q %d times, want once; adapt the edit of variant %q to the source", e.File, e.Old, n, name)
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
	build := exec.Command("go", "build", "-overlay", overlayFile, "-o", filepath.Join(binDir, variant), modulePath+"apps/"+program)
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build variant %q: %v\n%s", name, err, out)
	}
	return variant
}

// Process is a child process of a test. It is killed when the test ends.
type Process struct {
	cmd      *exec.Cmd
	exited   chan struct{}
	exitCode int
}

// Start runs a program and appends its standard output and error to dir/name.log.
func Start(t *testing.T, dir, name, program string, args ...string) *Process {
	t.Helper()
	out, err := openLog(dir, name)
	if err != nil {
		t.Fatal(err)
	}
	return StartWithOutput(t, out, program, args...)
}

// StartWithDescriptors is Start for a process that may have limit open descriptors.
func StartWithDescriptors(t *testing.T, dir, name string, limit int, program string, args ...string) *Process {
	t.Helper()
	out, err := openLog(dir, name)
	if err != nil {
		t.Fatal(err)
	}
	script := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, limit)
	return startCommand(t, out, exec.Command("/bin/sh", append([]string{"-c", script, filepath.Join(binDir, program)}, args...)...))
}

func openLog(dir, name string) (*os.File, error) {
	return os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
}

// StartWithOutput runs a program with out as its standard output and error. It closes
// out when the program exits.
func StartWithOutput(t *testing.T, out *os.File, program string, args ...string) *Process {
	t.Helper()
	return startCommand(t, out, exec.Command(filepath.Join(binDir, program), args...))
}

func startCommand(t *testing.T, out *os.File, cmd *exec.Cmd) *Process {
	t.Helper()
	p := &Process{cmd: cmd, exited: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.cmd.Wait()
		out.Close()
		p.exitCode = p.cmd.ProcessState.ExitCode()
		close(p.exited)
	}()
	t.Cleanup(p.Kill)
	return p
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// Kill kills the process with SIGKILL and waits until it has exited.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// WaitExit waits until the process exits and returns its exit status. It fails the
// test after timeout.
func (p *Process) WaitExit(t *testing.T, timeout time.Duration) int {
	t.Helper()
	select {
	case <-p.exited:
		return p.exitCode
	case <-time.After(timeout):
		t.Fatalf("process %s has not ended after %v", p.cmd.Path, timeout)
		return 0
	}
}

// logTailBytes is the length of the part of each log that a failed test prints.
const logTailBytes = 4000

// DumpOnFailure prints the last logTailBytes of each log in dir if the test failed.
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
		t.Logf("%s:\n%s", filepath.Base(path), text[max(0, len(text)-logTailBytes):])
	}
}

// Test ports lie below the ephemeral ports (from 32768 on Linux): the kernel could
// give one of those to an outgoing connection between its choice and its use.
const (
	firstPort = 12000
	portCount = 16000
)

// portOffset is the offset of the last port tried. It starts at random, because tests
// of other packages choose ports at the same time.
var portOffset atomic.Uint32

func init() { portOffset.Store(rand.Uint32N(portCount)) }

// FreePort returns a loopback address with a port on which nothing listens. It does
// not reserve the port.
func FreePort(t *testing.T) string {
	t.Helper()
	for range portCount {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+portOffset.Add(1)%portCount))
		if err != nil {
			continue // in use
		}
		defer ln.Close()
		return ln.Addr().String()
	}
	t.Fatalf("no free port from %d to %d", firstPort, firstPort+portCount-1)
	return ""
}
