package backend

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/sockopt"
)

const (
	// dialTimeout bounds opening a connection to the backend server on this VM.
	dialTimeout = 500 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged. The backend
	// server is on the same VM, so a longer time is not caused by network latency.
	unackedTimeout = 600 * time.Millisecond
	// defaultMaxIdle is how long an idle connection is kept unless the backend server
	// specifies a shorter time.
	defaultMaxIdle = 5 * time.Second
	// maxIdleAtMostOnce is the longest idle time of a connection used for a request
	// that must run at most once. If the backend server closes the connection as the
	// request is sent, the outcome is unknown, whereas a new connection only costs a
	// round trip on this VM.
	maxIdleAtMostOnce = 200 * time.Millisecond
	// learnedIdleFraction sets the idle limit of an address after one of its
	// connections was found closed, as a fraction of the idle time of that connection.
	learnedIdleFraction = 0.5
	// minLearnedIdle is the minimum of that limit, so that connections in steady use
	// are kept.
	minLearnedIdle = 50 * time.Millisecond
	// learnedIdleTTL is how long that limit applies before longer idle times are
	// tried again.
	learnedIdleTTL = 10 * time.Second
	// keepAliveFraction is the fraction of the timeout in a Keep-Alive header during
	// which a connection is used.
	keepAliveFraction = 0.6
	// maxIdleConns is the maximum number of idle connections to one address.
	maxIdleConns = 256
)

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	addr     string
	br       *bufio.Reader
	maxIdle  time.Duration // how long it may stay idle
	lastUsed time.Time     // when its last response ended

	idleTime time.Duration // how long it was idle before the present request; 0 for a new connection
	named    bool          // responses on it name their requests
	refused  bool          // the backend server has refused a request as not run; a faulty one may repeat that

	readLimited bool // Read fails once readLeft bytes were read
	readLeft    int

	raw      syscall.RawConn // nil if the connection has no file descriptor
	peekFunc func(fd uintptr) bool
	peekBuf  [1]byte
	peekErr  error // result of the last peekFunc call
}

func newConn(nc net.Conn, addr string) (*conn, error) {
	c := &conn{Conn: nc, addr: addr}
	c.br = newReader(c)
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return c, nil
	}
	var err error
	c.raw, err = sc.SyscallConn()
	c.peekFunc = func(fd uintptr) bool {
		_, _, c.peekErr = syscall.Recvfrom(int(fd), c.peekBuf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}
	return c, err
}

// errHeadTooLong reports a response whose head exceeds maxHeadBytes.
var errHeadTooLong = errs.New(errs.Unavailable, "check the backend server", "the head of a response exceeds %d bytes", maxHeadBytes)

// limitRead makes Read fail with errHeadTooLong after n more bytes, until unlimitRead
// is called.
func (c *conn) limitRead(n int) { c.readLimited, c.readLeft = true, n }

func (c *conn) unlimitRead() { c.readLimited = false }

// Read implements io.Reader.
func (c *conn) Read(p []byte) (int, error) {
	if !c.readLimited {
		return c.Conn.Read(p)
	}
	if c.readLeft <= 0 {
		return 0, errHeadTooLong
	}
	n, err := c.Conn.Read(p[:min(len(p), c.readLeft)])
	c.readLeft -= n
	return n, err
}

// pool holds idle connections. The most recently used one is reused first.
type pool struct {
	dialer  *net.Dialer
	mu      sync.Mutex
	idle    map[string][]*conn     // by address, least recently used first
	learned map[string]learnedIdle // by address
	closed  bool
}

// learnedIdle is the idle limit learned from a connection that the backend server had
// closed.
type learnedIdle struct {
	limit time.Duration
	since time.Time
}

func newPool() *pool {
	return &pool{dialer: sockopt.Dialer(dialTimeout, unackedTimeout), idle: map[string][]*conn{}, learned: map[string]learnedIdle{}}
}

// get returns an idle connection that appears usable, or a new one. With forceNew it
// always opens a new one.
func (p *pool) get(ctx context.Context, addr string, idempotent, forceNew bool) (*conn, error) {
	for !forceNew {
		c := p.take(addr, idempotent, time.Now())
		if c == nil {
			break
		}
		if c.usable() {
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

// maxIdleFor returns how long a connection to addr may have been idle before a request.
// The caller holds mu.
func (p *pool) maxIdleFor(addr string, idempotent bool, now time.Time) time.Duration {
	limit := defaultMaxIdle
	if !idempotent {
		limit = maxIdleAtMostOnce
	}
	learned, ok := p.learned[addr]
	if !ok {
		return limit
	}
	if now.Sub(learned.since) > learnedIdleTTL {
		delete(p.learned, addr)
		return limit
	}
	return min(limit, learned.limit)
}

// learnIdle sets the idle limit of an address after c was found closed on reuse.
func (p *pool) learnIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learned[c.addr] = learnedIdle{limit: max(minLearnedIdle, time.Duration(learnedIdleFraction*float64(c.idleTime))), since: time.Now()}
}

// take removes and returns the most recently used idle connection that suits the request, or
// returns nil if that has been idle too long. It then stays in the pool for other requests
// until put closes it. A connection on which a request was refused does not suit one that must
// run at most once: the refusal, written once more, would prove that it did not run.
func (p *pool) take(addr string, idempotent bool, now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	at := len(list) - 1
	for at >= 0 && !idempotent && list[at].refused {
		at--
	}
	if at < 0 {
		return nil
	}
	c := list[at]
	c.idleTime = now.Sub(c.lastUsed)
	if c.idleTime >= min(c.maxIdle, p.maxIdleFor(addr, idempotent, now)) {
		return nil
	}
	p.idle[addr] = slices.Delete(list, at, at+1)
	return c
}

// put returns a connection to the pool, and closes connections that have been idle
// too long or exceed maxIdleConns.
func (p *pool) put(c *conn) {
	c.lastUsed = time.Now()
	p.mu.Lock()
	list := append(p.idle[c.addr], c)
	dropCount := 0
	for dropCount < len(list) && (c.lastUsed.Sub(list[dropCount].lastUsed) > list[dropCount].maxIdle || len(list)-dropCount > maxIdleConns) {
		dropCount++
	}
	dropped := list[:dropCount:dropCount]
	p.idle[c.addr] = list[dropCount:]
	if p.closed {
		dropped = append(dropped, p.idle[c.addr]...)
		delete(p.idle, c.addr)
	}
	p.mu.Unlock()
	for _, o := range dropped {
		o.Close()
	}
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			c.Close()
		}
	}
}

// usable reports whether an idle connection is open and has no unread bytes. Such
// bytes would belong to no request, and a request on a closed connection would be
// lost.
func (c *conn) usable() bool {
	if c.raw == nil {
		return true
	}
	if err := c.raw.Read(c.peekFunc); err != nil {
		return false
	}
	return c.peekErr == syscall.EAGAIN || c.peekErr == syscall.EWOULDBLOCK
}

// keepAliveTime returns how long a connection may stay idle after a response with
// header h.
func keepAliveTime(h http.Header) time.Duration {
	header := h.Get("Keep-Alive")
	if header == "" {
		return defaultMaxIdle
	}
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if seconds, err := strconv.Atoi(value); strings.EqualFold(name, "timeout") && err == nil && seconds >= 0 {
			return min(defaultMaxIdle, time.Duration(float64(seconds)*keepAliveFraction*float64(time.Second)))
		}
	}
	return defaultMaxIdle
}

func writeLength(buf *bytes.Buffer, n int) {
	buf.WriteString("Content-Length: ")
	buf.WriteString(strconv.Itoa(n))
	buf.WriteString("\r\n")
}
