package main

import (
	"bufio"
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/platform/kv"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/publish"
)

// startStore builds and starts the store process and returns it with its address.
func startStore(t *testing.T) (*exec.Cmd, string) {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "store")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	cmd := exec.Command(bin, "--listen", "127.0.0.1:0")
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	line, err := bufio.NewReader(stdout).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	return cmd, strings.TrimSpace(line[strings.Index(line, "addr=")+len("addr="):])
}

// suspend sends SIGSTOP to a process and waits until all its threads have stopped.
func suspend(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	if err := cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	var status syscall.WaitStatus
	if _, err := syscall.Wait4(cmd.Process.Pid, &status, syscall.WUNTRACED, nil); err != nil || !status.Stopped() {
		t.Fatalf("process is not suspended: %v, %v", status, err)
	}
}

// A write that is sent to a suspended store may be applied after the store resumes.
// The test guards against a verdict on such a write that contradicts the history.
func TestWriteToSuspendedStoreIsNotKnownUntilItResumes(t *testing.T) {
	cmd, addr := startStore(t)
	opts := kv.DefaultOptions()
	opts.Timeout = time.Second
	client := kv.NewClient("http://"+addr, opts)
	p := publish.New(client, publish.Config{Attempts: 1, HistoryLength: 8}, time.Now)
	ctx := context.Background()
	put := func(name string, base uint64) (publish.Outcome, error) {
		req := publish.Request{ID: uuid.New(), Author: "ann", Name: name, Base: base, Create: base == 0}
		return p.PutProfile(ctx, req, []byte("[default]\nretries = 1\n"))
	}
	if out, err := put("calm", 0); err != nil || out.Verdict != publish.Accepted {
		t.Fatalf("%+v, %v", out, err)
	}
	record, err := p.Get(ctx, profile.KindProfile, "calm")
	if err != nil {
		t.Fatal(err)
	}
	lateRecord := *record.Record
	lateRecord.Change = profile.Change{ID: uuid.New(), Author: "ann", Base: record.Revision}
	lateRecord.History = append(lateRecord.History, lateRecord.Change)
	value, err := lateRecord.Encode()
	if err != nil {
		t.Fatal(err)
	}
	ref := publish.ChangeRef{ID: lateRecord.Change.ID, Key: profile.KindProfile.Key("calm"), Base: record.Revision}
	suspend(t, cmd)
	if _, err := client.CompareAndSwap(ctx, ref.Key, value, ref.Base, ""); errs.KindOf(err) != errs.Unknown {
		t.Fatalf("write to a suspended store: %v", err)
	}
	if _, err := p.Resolve(ctx, ref, "ann", true); errs.KindOf(err) != errs.Unavailable {
		t.Fatalf("resolve while the store is suspended: %v", err)
	}
	if err := cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	out, err := p.Resolve(ctx, ref, "ann", true)
	if err != nil || out.Verdict == publish.NotKnown {
		t.Fatalf("resolve after the store has resumed: %+v, %v", out, err)
	}
	now, err := p.Get(ctx, profile.KindProfile, "calm")
	if err != nil {
		t.Fatal(err)
	}
	applied := false
	for _, c := range now.Record.History {
		applied = applied || c.ID == ref.ID
	}
	if applied != (out.Verdict == publish.Accepted) {
		t.Fatalf("resolved as %s, in the history: %t", out.Verdict, applied)
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	if _, err := put("storm", 0); errs.KindOf(err) != errs.Unavailable {
		t.Fatalf("write to a killed store: %v", err)
	}
}
