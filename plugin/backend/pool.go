package backend

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/sockopt"
)

const (
	// dialTimeout bounds opening a connection on the own VM.
	dialTimeout = 500 * time.Millisecond
	// silenceTimeout is how long sent bytes may stay unacknowledged. The backend
	// server is on the same VM, so a longer silence is no delay of the network.
	silenceTimeout = 600 * time.Millisecond
	// maxIdle is how long an unused connection is kept if the backend server does
	// not tell.
	maxIdle = 5 * time.Second
	// onceMaxIdle is the same for a request that must run at most once: a
	// connection that the backend server closes meanwhile leaves its outcome
	// unknown, and a new one costs a round trip on the own VM.
	onceMaxIdle = 200 * time.Millisecond
	// idlePart is the part of the time after which a connection turned out to be
	// gone that others to the same address may stay unused.
	idlePart = 0.5
	// minIdle is the least such time, so that connections in steady use stay.
	minIdle = 50 * time.Millisecond
	// idleMemory is how long it holds before longer times are tried again.
	idleMemory = 10 * time.Second
	// keepPart is the part of the told keep-alive time that is used.
	keepPart = 0.6
	// maxIdleConns bounds the unused connections to one address.
	maxIdleConns = 256
)

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	addr string
	br   *bufio.Reader
	keep time.Duration // how long it may stay unused
	used time.Time     // when its last answer ended

	wasIdle time.Duration // unused before the present request; 0 of a new connection

	raw  syscall.RawConn // nil if the connection has no descriptor
	peek func(fd uintptr) bool
	seen [1]byte
	err  error // of the last look at unread bytes
}

func newConn(nc net.Conn, addr string) (*conn, error) {
	c := &conn{Conn: nc, addr: addr, br: reader(nc)}
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return c, nil
	}
	var err error
	c.raw, err = sc.SyscallConn()
	c.peek = func(fd uintptr) bool {
		_, _, c.err = syscall.Recvfrom(int(fd), c.seen[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}
	return c, err
}

// pool keeps unused connections, the one used last first.
type pool struct {
	dialer *net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn   // by address, oldest first
	bounds map[string]idleBound // by address
	closed bool
}

// idleBound is how long connections may stay unused, learned from one that the
// backend server had given up without a notice.
type idleBound struct {
	bound time.Duration
	since time.Time
}

func newPool() *pool {
	return &pool{dialer: sockopt.Dialer(dialTimeout, silenceTimeout), idle: map[string][]*conn{}, bounds: map[string]idleBound{}}
}

// get returns an unused connection that is thought to live, or a new one.
func (p *pool) get(ctx context.Context, addr string, idempotent, fresh bool) (*conn, error) {
	for !fresh {
		c := p.take(addr, idempotent, time.Now())
		if c == nil {
			break
		}
		if c.quiet() {
			return c, nil
		}
		c.Close()
	}
	nc, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c, err := newConn(nc, addr)
	if err != nil {
		nc.Close()
		return nil, err
	}
	return c, nil
}

// maxIdleTo returns how long a connection to addr may have been unused. The caller
// holds mu.
func (p *pool) maxIdleTo(addr string, idempotent bool, now time.Time) time.Duration {
	most := maxIdle
	if !idempotent {
		most = onceMaxIdle
	}
	learned, ok := p.bounds[addr]
	if !ok {
		return most
	}
	if now.Sub(learned.since) > idleMemory {
		delete(p.bounds, addr)
		return most
	}
	return min(most, learned.bound)
}

// forgotten notes that a connection was gone when it was used again.
func (p *pool) forgotten(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bounds[c.addr] = idleBound{bound: max(minIdle, time.Duration(idlePart*float64(c.wasIdle))), since: time.Now()}
}

// take returns the connection that was used last, or nil if that is too long ago for
// the request. It then stays for another request, or until put gives it up.
func (p *pool) take(addr string, idempotent bool, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	c.wasIdle = now.Sub(c.used)
	if c.wasIdle >= min(c.keep, p.maxIdleTo(addr, idempotent, now)) {
		return nil
	}
	p.idle[addr] = list[:len(list)-1]
	return c
}

// put keeps a connection for later, and gives up those that are too old.
func (p *pool) put(c *conn) {
	c.used = time.Now()
	p.mu.Lock()
	list := append(p.idle[c.addr], c)
	drop := 0
	for drop < len(list) && (c.used.Sub(list[drop].used) > list[drop].keep || len(list)-drop > maxIdleConns) {
		drop++
	}
	old := list[:drop:drop]
	p.idle[c.addr] = list[drop:]
	if p.closed {
		old = append(old, p.idle[c.addr]...)
		delete(p.idle, c.addr)
	}
	p.mu.Unlock()
	for _, o := range old {
		o.Close()
	}
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	all := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, list := range all {
		for _, c := range list {
			c.Close()
		}
	}
}

// quiet reports whether nothing waits to be read on an unused connection: bytes
// would belong to no request, and its end would lose the next one.
func (c *conn) quiet() bool {
	if c.raw == nil {
		return true
	}
	if err := c.raw.Read(c.peek); err != nil {
		return false
	}
	return c.err == syscall.EAGAIN || c.err == syscall.EWOULDBLOCK
}

// keepAlive returns how long a connection may stay unused after an answer.
func keepAlive(h http.Header) time.Duration {
	told := h.Get("Keep-Alive")
	if told == "" {
		return maxIdle
	}
	for field := range strings.SplitSeq(told, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			return min(maxIdle, time.Duration(float64(seconds)*keepPart*float64(time.Second)))
		}
	}
	return maxIdle
}

func writeLength(buf *bytes.Buffer, n int) {
	buf.WriteString("Content-Length: ")
	buf.WriteString(strconv.Itoa(n))
	buf.WriteString("\r\n")
}
