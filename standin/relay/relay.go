// Package relay implements a TCP relay for failure tests. It forwards
// connections to a target and can close them, delay their traffic or drop it
// without closing them.
package relay

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is a bit set of the two directions of a relayed connection.
type Direction uint8

// Directions. They can be combined with a bitwise or.
const (
	ToTarget Direction = 1 << iota // from the dialling side to the target
	ToDialer                       // from the target to the dialling side

	Both = ToTarget | ToDialer
)

const (
	copyBufferBytes = 32 << 10
	dialTimeout     = 5 * time.Second
)

// Relay forwards TCP connections to a target. All methods are safe for
// concurrent use.
type Relay struct {
	listener net.Listener
	target   string
	delay    atomic.Int64 // nanoseconds to wait before each chunk is forwarded
	refuse   atomic.Bool

	mu     sync.Mutex
	pairs  map[*connPair]struct{}
	closed bool
	wg     sync.WaitGroup
}

// New starts a relay to target that listens on a free loopback port.
func New(target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: listener, target: target, pairs: make(map[*connPair]struct{})}
	r.wg.Add(1)
	go r.acceptLoop()
	return r, nil
}

// Addr returns the address to dial instead of the target.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// SetDelay delays each chunk by d in both directions, on existing and new
// connections.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// Refuse sets whether new connections are closed as soon as they are accepted.
// Existing connections are not affected.
func (r *Relay) Refuse(on bool) { r.refuse.Store(on) }

// Silence makes all existing connections drop data in the given directions and
// hide from the receiver that the sender has closed. These connections stay open
// and never recover. New connections are not affected.
func (r *Relay) Silence(d Direction) {
	r.forEach(func(p *connPair) { p.silence(d) })
}

// Cut closes all existing connections, to the dialling side and to the target.
func (r *Relay) Cut() {
	r.forEach(func(p *connPair) { p.close() })
}

// Connections returns the number of open connections through the relay.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pairs)
}

// Close stops listening, closes all connections and waits until their goroutines
// have ended.
func (r *Relay) Close() error {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	err := r.listener.Close()
	r.Cut()
	r.wg.Wait()
	return err
}

func (r *Relay) forEach(f func(*connPair)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		f(p)
	}
}

func (r *Relay) acceptLoop() {
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
	p := &connPair{dialer: dialer, target: target, done: make(chan struct{})}
	if !r.add(p) {
		p.close()
		return
	}
	defer r.remove(p)
	var copies sync.WaitGroup
	copies.Go(func() { r.forward(p, dialer, target, ToTarget) })
	copies.Go(func() { r.forward(p, target, dialer, ToDialer) })
	copies.Wait()
}

func (r *Relay) add(p *connPair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return false
	}
	r.pairs[p] = struct{}{}
	return true
}

func (r *Relay) remove(p *connPair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
}

// forward copies data in one direction until the connection ends. In a silenced
// direction it reads and drops the data, so that the sender sees no error.
func (r *Relay) forward(p *connPair, from, to net.Conn, d Direction) {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buf)
		r.waitDelay(p)
		if p.isSilenced(d) {
			if err != nil {
				p.propagateClose(d)
				return
			}
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				p.propagateClose(Both &^ d) // to has ended, so the close travels back to from
				return
			}
		}
		if err != nil {
			p.propagateClose(d)
			return
		}
	}
}

// waitDelay waits for the current delay, or until the connection is closed.
func (r *Relay) waitDelay(p *connPair) {
	d := time.Duration(r.delay.Load())
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-p.done:
	}
}

// connPair is a relayed connection: the accepted connection and the one to the
// target.
type connPair struct {
	dialer, target net.Conn
	silenced       atomic.Uint32 // Direction bits
	closeOnce      sync.Once
	done           chan struct{} // closed by close
}

func (p *connPair) silence(d Direction)         { p.silenced.Or(uint32(d)) }
func (p *connPair) isSilenced(d Direction) bool { return p.silenced.Load()&uint32(d) != 0 }

// propagateClose closes both connections after one of them has ended. The close
// travels in direction d. If d is silenced, the receiver must not notice, so
// propagateClose waits until the pair is closed for another reason.
func (p *connPair) propagateClose(d Direction) {
	if p.isSilenced(d) {
		<-p.done
		return
	}
	p.close()
}

func (p *connPair) close() {
	p.closeOnce.Do(func() {
		close(p.done)
		p.dialer.Close()
		p.target.Close()
	})
}
