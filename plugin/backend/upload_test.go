package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

const uploadBytes = 16 << 20 // more than the kernel buffers on loopback

func upload() *kernel.BackendRequest {
	return &kernel.BackendRequest{Method: http.MethodPost, Target: "/", Host: "files", Header: http.Header{}, Body: make([]byte, uploadBytes)}
}

// Guards against a connection that is used again although a part of the last body is yet
// to be written: the server answers before it reads the body.
func TestEarlyAnswerToAnUpload(t *testing.T) {
	var connections atomic.Int64
	release := make(chan struct{})
	defer close(release)
	addr := startServer(t, func(conn *net.TCPConn) {
		defer conn.Close()
		connections.Add(1)
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		io.WriteString(conn, "HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\n\r\n")
		<-release
	})
	b := newBackend(builtinDialect{}, zap.NewNop(), nil)
	defer b.pool.close()
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		resp, _, err := b.Do(ctx, addr, upload())
		if err != nil {
			t.Fatal(err)
		}
		if resp.Status != http.StatusRequestEntityTooLarge {
			t.Errorf("status %d", resp.Status)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if n := connections.Load(); n != 2 {
		t.Errorf("%d connections for two uploads of which neither was read, want 2", n)
	}
}

// Guards against an upload to a server that reads nothing holding its goroutine and its
// connection beyond its deadline.
func TestServerThatReadsNothing(t *testing.T) {
	var closed atomic.Bool
	release := make(chan struct{})
	addr := startServer(t, func(conn *net.TCPConn) {
		defer conn.Close()
		<-release
		io.Copy(io.Discard, conn)
		closed.Store(true)
	})
	b := newBackend(builtinDialect{}, zap.NewNop(), nil)
	defer b.pool.close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if _, sent, err := b.Do(ctx, addr, upload()); err == nil || !sent {
		t.Errorf("sent %t, error %v; want a failure after the head was sent", sent, err)
	}
	close(release)
	waitUntil(t, "the connection is closed", closed.Load)
}

// Guards against an upload that is given up as lost because the server begins to read it
// late: while it does not, sent bytes stay unacknowledged.
func TestServerThatReadsLate(t *testing.T) {
	addr := startServer(t, func(conn *net.TCPConn) {
		defer conn.Close()
		time.Sleep(2 * unackedTimeout)
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		if n, _ := io.Copy(io.Discard, req.Body); n == uploadBytes {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	b := newBackend(builtinDialect{}, zap.NewNop(), nil)
	defer b.pool.close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	resp, _, err := b.Do(ctx, addr, upload())
	if err != nil {
		t.Fatal(err)
	}
	if resp.Status != http.StatusOK {
		t.Errorf("status %d", resp.Status)
	}
	resp.Body.Close()
}

// Guards against connections that, after an upload, no longer notice a broken link.
func TestConnectionIsGuardedAfterAnUpload(t *testing.T) {
	addr := startServer(t, func(conn *net.TCPConn) {
		defer conn.Close()
		for br := bufio.NewReader(conn); ; {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	b := newBackend(builtinDialect{}, zap.NewNop(), nil)
	defer b.pool.close()
	req := upload()
	req.Body = req.Body[:4*maxSyncWriteBytes]
	waitUntil(t, "the connection is reused", func() bool {
		resp, _, err := b.Do(context.Background(), addr, req)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		return len(b.pool.idle[addr]) > 0
	})
	raw, err := b.pool.idle[addr][0].Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) {
		if ms, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); err != nil || int64(ms) != unackedTimeout.Milliseconds() {
			t.Errorf("bytes may stay unacknowledged for %d ms (%v), want %v", ms, err, unackedTimeout)
		}
	})
}
