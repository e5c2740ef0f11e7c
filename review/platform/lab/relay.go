package main

import (
	"io"
	"net"
	"sync"
)

// relay is a TCP proxy that can be shut. While it is shut, it resets all connections.
type relay struct {
	ln     net.Listener
	target string

	mu    sync.Mutex
	shut  bool
	conns map[*net.TCPConn]bool
}

func startRelay(target string) (*relay, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &relay{ln: ln, target: target, conns: map[*net.TCPConn]bool{}}
	go r.accept()
	return r, nil
}

func (r *relay) addr() string { return r.ln.Addr().String() }

func (r *relay) accept() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.serve(c.(*net.TCPConn))
	}
}

func (r *relay) serve(in *net.TCPConn) {
	if !r.add(in) {
		return
	}
	defer r.remove(in)
	c, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	out := c.(*net.TCPConn)
	if !r.add(out) {
		return
	}
	defer r.remove(out)
	done := make(chan struct{}, 2)
	for _, pair := range [][2]*net.TCPConn{{in, out}, {out, in}} {
		go func() {
			_, _ = io.Copy(pair[1], pair[0]) // the end of either side ends both
			done <- struct{}{}
		}()
	}
	<-done
}

// add registers a connection, or resets it if the relay is shut.
func (r *relay) add(c *net.TCPConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.shut {
		_ = c.SetLinger(0)
		c.Close()
		return false
	}
	r.conns[c] = true
	return true
}

func (r *relay) remove(c *net.TCPConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
	c.Close()
}

// setShut shuts or opens the relay.
func (r *relay) setShut(shut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shut = shut
	if !shut {
		return
	}
	for c := range r.conns {
		_ = c.SetLinger(0)
		c.Close()
	}
}
