// Package relay is a small TCP relay for failure tests. It forwards bytes to a
// target and can cut, delay or silence the connections that it carries.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction names one or both ways through a relay.
type Direction uint8

// Directions; they can be combined.
const (
	ToTarget Direction = 1 << iota // from the dialling side to the target
	ToDialer                       // from the target to the dialling side

	Both = ToTarget | ToDialer
)

const (
	copyBufferBytes = 32 << 10
	dialTimeout     = 5 * time.Second
)

// Relay forwards connections to one target. All methods are safe for
// concurrent use.
type Relay struct {
	listener net.Listener
	target   string
	delay    atomic.Int64 // nanoseconds before each chunk is forwarded
	refuse   atomic.Bool

	mu     sync.Mutex
	links  map[*link]struct{}
	closed bool
	wg     sync.WaitGroup
}

// New starts a relay on a free loopback port that forwards to target.
func New(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, links: make(map[*link]struct{})}
	r.wg.Add(1)
	go r.accept()
	return r, nil
}

// Addr returns the address to dial in place of the target.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetDelay holds each chunk back for d, in both directions and on existing
// connections too.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// Refuse sets whether new connections are closed as soon as they open.
// Existing ones go on.
func (r *Relay) Refuse(on bool) { r.refuse.Store(on) }

// Silence drops from now on, on existing connections, all bytes and closings in
// the given directions. The connections stay open and never recover; new ones
// work.
func (r *Relay) Silence(d Direction) {
	r.each(func(l *link) { l.silence(d) })
}

// Cut closes all existing connections at both ends.
func (r *Relay) Cut() {
	r.each(func(l *link) { l.close() })
}

// Connections returns the number of connections that are open.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// Close stops listening, closes all connections and waits for them.
func (r *Relay) Close() error {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	err := r.listener.Close()
	r.Cut()
	r.wg.Wait()
	return err
}

func (r *Relay) each(f func(*link)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		f(l)
	}
}

func (r *Relay) accept() {
	defer r.wg.Done()
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.refuse.Load() {
			conn.Close()
			continue
		}
		r.wg.Add(1)
		go r.serve(conn)
	}
}

func (r *Relay) serve(dialer net.Conn) {
	defer r.wg.Done()
	target, err := net.DialTimeout("tcp", r.target, dialTimeout)
	if err != nil {
		dialer.Close()
		return
	}
	l := &link{dialer: dialer, target: target, done: make(chan struct{})}
	if !r.add(l) {
		l.close()
		return
	}
	defer r.remove(l)
	var copies sync.WaitGroup
	copies.Go(func() { r.forward(l, dialer, target, ToTarget) })
	copies.Go(func() { r.forward(l, target, dialer, ToDialer) })
	copies.Wait()
}

func (r *Relay) add(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.links[l] = struct{}{}
	return true
}

func (r *Relay) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

// forward copies one direction until the connection ends. Bytes of a silent
// direction are read and dropped, so that the sender sees no error.
func (r *Relay) forward(l *link, from, to net.Conn, d Direction) {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buf)
		r.hold(l)
		if l.isSilent(d) {
			if err != nil {
				l.end(d)
				return
			}
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				l.end(Both &^ d)
				return
			}
		}
		if err != nil {
			l.end(d)
			return
		}
	}
}

func (r *Relay) hold(l *link) {
	d := time.Duration(r.delay.Load())
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-l.done:
	}
}

// link is one forwarded connection.
type link struct {
	dialer, target net.Conn
	silent         atomic.Uint32
	once           sync.Once
	done           chan struct{}
}

func (l *link) silence(d Direction)       { l.silent.Or(uint32(d)) }
func (l *link) isSilent(d Direction) bool { return l.silent.Load()&uint32(d) != 0 }

// end closes both ends, unless direction d, in which the news of the closing
// would travel, is silent: then the other end must not learn of it.
func (l *link) end(d Direction) {
	if l.isSilent(d) {
		<-l.done
		return
	}
	l.close()
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.done)
		l.dialer.Close()
		l.target.Close()
	})
}
