package edge

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	connBufferBytes = 4 << 10
	// lingerTime is how long the end of a connection waits for the caller to
	// close, so that bytes it still sends do not reset the last answer.
	lingerTime = 500 * time.Millisecond
)

// serverConn is one connection of a caller. One goroutine reads requests, each
// request is served by one of its own, and answers wait for their turn.
type serverConn struct {
	s      *Server
	nc     net.Conn
	limit  *io.LimitedReader
	br     *bufio.Reader
	ctx    context.Context
	cancel context.CancelFunc
	slots  chan struct{} // bounds the requests served at once
	last   chan struct{} // closed when the answer to the latest request is written

	mu     sync.Mutex
	busy   int  // requests that were read and are not answered
	begun  bool // the next request has begun to arrive
	ending bool // no further request is read
}

func newServerConn(s *Server, nc net.Conn) *serverConn {
	c := &serverConn{s: s, nc: nc, slots: make(chan struct{}, s.opts.MaxPipelined), last: make(chan struct{})}
	c.limit = &io.LimitedReader{R: nc}
	c.br = bufio.NewReaderSize(c.limit, connBufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	close(c.last)
	return c
}

// serve reads requests until the caller leaves or an answer ends the connection.
func (c *serverConn) serve() {
	defer c.s.forget(c)
	defer c.nc.Close()
	defer c.cancel()
	for c.await() {
		req, status := c.read()
		if req == nil {
			if status != 0 {
				c.reject(status)
			}
			return
		}
		c.dispatch(req)
	}
	if c.isEnding() {
		c.linger()
	}
}

func (c *serverConn) isEnding() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ending
}

// await returns true when a request begins to arrive and may be read.
func (c *serverConn) await() bool {
	c.limit.N = c.s.opts.MaxHeaderBytes
	c.nc.SetReadDeadline(time.Now().Add(c.s.opts.IdleTimeout))
	for {
		_, err := c.br.Peek(1)
		if err == nil {
			break
		}
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() && c.inFlight() > 0 && !c.isEnding() {
			c.nc.SetReadDeadline(time.Now().Add(c.s.opts.IdleTimeout))
			continue // the caller waits for its answers
		}
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = true
	return !c.ending
}

func (c *serverConn) inFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy
}

// read reads one request with its body. Without a request, a status other than 0
// is the answer to give.
func (c *serverConn) read() (*http.Request, int) {
	c.nc.SetReadDeadline(time.Now().Add(c.s.opts.HeaderTimeout))
	req, err := http.ReadRequest(c.br)
	switch {
	case err == nil:
	case c.limit.N <= 0:
		return nil, http.StatusRequestHeaderFieldsTooLarge
	case isNetError(err):
		return nil, 0
	default:
		return nil, http.StatusBadRequest
	}
	c.nc.SetReadDeadline(time.Now().Add(c.s.opts.BodyTimeout))
	limit := c.s.opts.MaxBodyBytes()
	c.limit.N = limit + connBufferBytes + c.s.opts.MaxHeaderBytes
	if req.ContentLength > limit {
		return nil, http.StatusRequestEntityTooLarge
	}
	if req.Header.Get("Expect") == "100-continue" {
		c.expectContinue()
	}
	body, err := readBody(req.Body, limit+1)
	if err != nil {
		return nil, 0 // it broke off, or is malformed: nothing after it can be read
	}
	if int64(len(body)) > limit {
		return nil, http.StatusRequestEntityTooLarge
	}
	req.Body = newWholeBody(body)
	req.ContentLength = int64(len(body))
	req.RemoteAddr = c.nc.RemoteAddr().String()
	return req, 0
}

func isNetError(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// expectContinue asks for the body once all answers before it are written.
func (c *serverConn) expectContinue() {
	<-c.last
	// A failed write shows at the next read.
	_, _ = io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n")
}

// dispatch lets a goroutine serve a request.
func (c *serverConn) dispatch(req *http.Request) {
	c.slots <- struct{}{}
	done := make(chan struct{})
	w := &response{c: c, req: req, header: http.Header{}, turn: c.last}
	c.last = done
	c.mu.Lock()
	c.busy++
	c.begun = false
	c.mu.Unlock()
	go c.handle(w, done)
}

// handle runs the handler and ends the answer. A handler that aborts ends the
// connection without a whole answer.
func (c *serverConn) handle(w *response, done chan struct{}) {
	whole := false
	defer func() {
		if p := recover(); p != nil && p != http.ErrAbortHandler {
			c.s.log.Error("handler_panic", zap.Any("panic", p), zap.Stack("stack"))
		}
		c.ended(w, whole)
		close(done)
		<-c.slots
	}()
	if !c.mayStart(w) {
		return // the caller has left
	}
	c.s.handler.ServeHTTP(w, w.req.WithContext(c.ctx))
	whole = w.finish() == nil
}

// mayStart returns when a request may run, false if its caller has left. One
// without side effects runs beside those before it; any other waits for their
// answers, since one that breaks off says that nothing behind it was run.
func (c *serverConn) mayStart(w *response) bool {
	if w.req.Method != http.MethodGet && w.req.Method != http.MethodHead {
		select {
		case <-w.turn:
		case <-c.ctx.Done():
		}
	}
	return c.ctx.Err() == nil
}

// ended counts a request out, and ends the connection after the last answer or
// one that broke off.
func (c *serverConn) ended(w *response, whole bool) {
	<-w.turn
	c.mu.Lock()
	c.busy--
	c.mu.Unlock()
	switch {
	case !whole:
		c.cancel()
		c.nc.Close()
	case w.last:
		c.closeWrite()
	}
}

// claimLast decides whether the answer that is written now ends the connection:
// only if nothing behind it was read.
func (c *serverConn) claimLast(wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !wanted || c.busy > 1 {
		return false
	}
	c.ending = true
	return true
}

// closeWrite ends the sending side; the reader of the connection waits for the
// caller to close.
func (c *serverConn) closeWrite() {
	if tcp, ok := c.nc.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	c.nc.SetReadDeadline(time.Now().Add(lingerTime))
}

// linger waits until the last answer is written and the caller has closed.
func (c *serverConn) linger() {
	<-c.last
	c.closeWrite()
	// What still arrives was not read as a request; the end is what is waited for.
	_, _ = io.Copy(io.Discard, c.nc)
}

// closeIfIdle closes a connection without a request.
func (c *serverConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy == 0 && !c.begun && !c.ending {
		c.ending = true
		c.nc.Close()
	}
}

// reject answers what cannot be read as a request and ends the connection.
func (c *serverConn) reject(status int) {
	<-c.last
	w := &response{c: c, req: &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1}, header: http.Header{}, turn: c.last, last: true}
	http.Error(w, http.StatusText(status), status)
	// The caller may not read; the connection ends in any case.
	_ = w.finish()
	c.linger()
}
