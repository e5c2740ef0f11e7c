package edge

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/headbudget"
	"github.com/dogwoodhatch/dogwoodhatch/httphead"
	"github.com/dogwoodhatch/dogwoodhatch/sockopt"
)

const (
	connBufferBytes = 4 << 10
	// lingerTimeout bounds how long the server waits for the caller to close the
	// connection after the last answer. Closing it earlier, while the caller still
	// sends, would reset the connection and could destroy that answer.
	lingerTimeout = 500 * time.Millisecond
	// leaveCheckInterval is the time between two checks whether the caller has left while
	// the connection is not read.
	leaveCheckInterval = 100 * time.Millisecond
)

// serverConn is one connection of a caller. One goroutine reads the requests, and each
// request is served by its own goroutine. Answers are written in the order of the
// requests.
type serverConn struct {
	server        *Server
	netConn       net.Conn
	limitReader   *io.LimitedReader
	br            *bufio.Reader
	ctx           context.Context // of the requests; canceled when the caller disconnects
	cancel        context.CancelFunc
	pipelineSlots chan struct{} // holds a token for each further request that may be served concurrently
	lastWritten   chan struct{} // closed once the answer to the latest request is written

	reading, parsed, readAhead *headbudget.Account
	headDeadline               time.Time // until which the head that is read must have arrived
	readingRoom                int64     // that the buffer of br holds of reading; 0 for one of connBufferBytes

	mu         sync.Mutex
	unanswered int       // requests that have been read but not answered
	receiving  bool      // the next request has begun to arrive
	lastRead   bool      // the latest request asks for the end of the connection
	ending     bool      // no further requests are read
	since      time.Time // when unanswered or receiving last changed
}

func newServerConn(s *Server, nc net.Conn) *serverConn {
	c := &serverConn{server: s, netConn: nc, since: time.Now(), pipelineSlots: make(chan struct{}, s.opts.MaxPipelined), lastWritten: make(chan struct{})}
	heads := s.opts.Heads
	c.reading, c.parsed, c.readAhead = heads.Reading.Account(), heads.Callers.Account(), heads.ReadAhead.Account()
	c.limitReader = &io.LimitedReader{R: nc}
	c.br = bufio.NewReaderSize(c.limitReader, connBufferBytes)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for range s.opts.MaxPipelined {
		c.pipelineSlots <- struct{}{}
	}
	close(c.lastWritten)
	return c
}

// serve reads requests until the caller disconnects or an answer ends the connection.
func (c *serverConn) serve() {
	defer c.server.removeConn(c)
	defer c.returnReadingRoom()
	defer c.netConn.Close()
	defer c.cancel()
	for c.waitForRequest() {
		room, err := c.readHead()
		switch err {
		case nil:
		case errNoHeadRoom:
			c.refuseHead()
			return
		case httphead.ErrMalformedRequest:
			c.reject(http.StatusBadRequest)
			return
		case errHeadTooLarge:
			c.reject(http.StatusRequestHeaderFieldsTooLarge)
			return
		default:
			return
		}
		req, status := c.readRequest()
		if req == nil {
			c.returnHeadRoom(room)
			if status != 0 {
				c.reject(status)
			}
			return
		}
		unread, ok := c.dispatch(req, room)
		if !ok || unread != nil && !c.awaitBody(unread) {
			return
		}
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

// waitForRequest waits until a request begins to arrive. It returns false if the
// connection is idle too long, fails or is ending.
func (c *serverConn) waitForRequest() bool {
	c.shrinkBuffer()
	c.limitReader.N = c.server.opts.MaxHeaderBytes()
	c.netConn.SetReadDeadline(time.Now().Add(c.server.opts.IdleTimeout()))
	for {
		_, err := c.br.Peek(1)
		if err == nil {
			break
		}
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() && c.inFlight() > 0 && !c.isEnding() {
			c.netConn.SetReadDeadline(time.Now().Add(c.server.opts.IdleTimeout()))
			continue // not idle: the caller is waiting for answers
		}
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = c.ending || c.lastRead // what arrives behind the last request is not read
	c.receiving = !c.ending
	c.since = time.Now()
	return c.receiving
}

func (c *serverConn) inFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered
}

// readHead reads the head of a request into the buffer and takes room for it.
func (c *serverConn) readHead() (headRoom, error) {
	c.headDeadline = time.Now().Add(c.server.opts.HeaderTimeout())
	c.netConn.SetReadDeadline(c.headDeadline)
	cost, err := c.bufferHead()
	if err != nil {
		return headRoom{}, err
	}
	return c.takeHeadRoom(cost)
}

// readRequest reads one request, whose head is in the buffer, with its body. If it returns
// no request, the status is that of the answer to send, or 0 for none.
func (c *serverConn) readRequest() (*http.Request, int) {
	req, err := http.ReadRequest(c.br)
	if err != nil {
		return nil, http.StatusBadRequest
	}
	c.netConn.SetReadDeadline(time.Now().Add(c.server.opts.BodyTimeout))
	limit := c.server.opts.MaxBodyBytes()
	c.limitReader.N = limit + connBufferBytes + c.server.opts.MaxHeaderBytes()
	if req.ContentLength > limit {
		return nil, http.StatusRequestEntityTooLarge
	}
	req.RemoteAddr = c.netConn.RemoteAddr().String()
	expectContinue := strings.EqualFold(req.Header.Get("Expect"), "100-continue") && req.ContentLength != 0
	if expectContinue || req.ContentLength < 0 || req.ContentLength > eagerBodyBytes || !c.server.opts.Bodies.TryAcquire(req.ContentLength) {
		req.Body = &streamedBody{conn: c, req: req, src: req.Body, length: req.ContentLength, limit: limit, expectContinue: expectContinue, settled: make(chan struct{})}
		return req, 0
	}
	body, err := readBody(req.Body, req.ContentLength)
	if err != nil {
		c.server.opts.Bodies.Release(req.ContentLength)
		return nil, 0 // truncated or malformed, so no further request can be read
	}
	req.Body = newBufferedBody(body)
	return req, 0
}

// awaitBody waits until the handler has read the body of its request or is done without
// it, and then reads the rest. It returns false if no further request can be read.
func (c *serverConn) awaitBody(b *streamedBody) bool {
	if !c.await(b.settled) {
		return false
	}
	if !c.isEnding() && b.drain() {
		return true
	}
	c.mu.Lock()
	c.ending = true
	c.mu.Unlock()
	c.linger()
	return false
}

// await receives from ready while the connection is not read, and returns false if the caller
// closes the connection before. Reading would not show that until all bytes that have
// arrived before it are read.
func (c *serverConn) await(ready <-chan struct{}) bool {
	select {
	case <-ready:
		return true
	default:
	}
	ticker := time.NewTicker(leaveCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ready:
			return true
		case <-ticker.C:
			if c.callerLeft() {
				return false
			}
		}
	}
}

// callerLeft reports whether the caller has closed the connection, which is not read.
func (c *serverConn) callerLeft() bool { return sockopt.PeerClosed(c.netConn) }

// dispatch starts a goroutine that serves a request, and returns its body if that is yet
// to be read. It blocks while all pipelineSlots are in use, and returns false if the caller
// closes the connection meanwhile.
func (c *serverConn) dispatch(req *http.Request, room headRoom) (*streamedBody, bool) {
	if !c.await(c.pipelineSlots) {
		c.returnHeadRoom(room)
		if _, ok := req.Body.(*streamedBody); !ok {
			c.server.opts.Bodies.Release(max(req.ContentLength, 0))
		}
		return nil, false
	}
	done := make(chan struct{})
	w := &response{conn: c, req: req, header: http.Header{}, previousWritten: c.lastWritten, room: room}
	c.lastWritten = done
	c.mu.Lock()
	c.unanswered++
	c.receiving = false
	c.lastRead = endsConnection(req)
	c.mu.Unlock()
	if body, ok := req.Body.(*streamedBody); ok {
		body.previousWritten = w.previousWritten
		w.body = body
	}
	body := w.body // the answer may be written before dispatch returns
	go c.handle(w, done)
	return body, true
}

// endsConnection reports whether a request asks for the end of the connection after its
// answer, as RFC 9112, section 9.6 defines.
func endsConnection(req *http.Request) bool { return req.Close || isHTTP10(req) }

// isHTTP10 reports whether the end of the connection marks the end of an answer without a
// declared length.
func isHTTP10(req *http.Request) bool { return req.ProtoMajor == 1 && req.ProtoMinor == 0 }

// handle runs the handler and finishes the answer. If the handler panics, the
// connection is closed without a complete answer.
func (c *serverConn) handle(w *response, done chan struct{}) {
	complete := false
	defer func() {
		if p := recover(); p != nil && p != http.ErrAbortHandler {
			c.server.log.Error("handler_panic", zap.Any("panic", p), zap.Stack("stack"))
		}
		c.finishAnswer(w, complete)
		c.releaseBody(w)
		c.returnHeadRoom(w.room)
		close(done)
		c.pipelineSlots <- struct{}{}
	}()
	if !c.waitToStart(w) {
		return // the caller has disconnected
	}
	c.server.handler.ServeHTTP(w, w.req.WithContext(c.ctx))
	complete = w.finish() == nil
}

// releaseBody returns the room of the body of a request that has been answered.
func (c *serverConn) releaseBody(w *response) {
	if w.body == nil {
		c.server.opts.Bodies.Release(max(w.req.ContentLength, 0))
		return
	}
	w.body.data = nil
	w.body.returnRoom(w.body.room)
	w.body.settle()
}

// waitToStart waits until a request may run, and returns false if its caller has
// disconnected. GET and HEAD requests run concurrently with preceding ones. All others
// wait for the preceding answers, because a caller may conclude from an incomplete
// answer that none of the requests after it was run.
func (c *serverConn) waitToStart(w *response) bool {
	if w.req.Method != http.MethodGet && w.req.Method != http.MethodHead {
		select {
		case <-w.previousWritten:
		case <-c.ctx.Done():
		}
	}
	return c.ctx.Err() == nil
}

// finishAnswer marks a request as answered, and ends the connection after the last
// answer or an incomplete one.
func (c *serverConn) finishAnswer(w *response, complete bool) {
	<-w.previousWritten
	c.mu.Lock()
	c.unanswered--
	c.since = time.Now()
	c.mu.Unlock()
	switch {
	case !complete:
		c.cancel()
		c.netConn.Close()
	case w.closeAfter:
		c.closeWrite()
	}
}

// markLast reports whether the answer about to be written ends the connection. It does
// if that is requested and no later request has been read or has begun to arrive; no
// further requests are then read. A request that is arriving will be run, so its answer
// must have a connection.
func (c *serverConn) markLast(requested bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !requested || c.unanswered > 1 || c.receiving {
		return false
	}
	c.ending = true
	return true
}

// closeWrite closes the sending side. The reading goroutine then waits for the caller
// to close the connection.
func (c *serverConn) closeWrite() {
	if tcp, ok := c.netConn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	c.netConn.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// linger waits until the last answer is written and the caller has closed the
// connection.
func (c *serverConn) linger() {
	if !c.await(c.lastWritten) {
		return
	}
	c.closeWrite()
	// Data that still arrives is discarded; only the end of the connection matters. A
	// caller that sends more than drainBytes is held back until the deadline, because
	// closing at once would reset the connection and could destroy the answer.
	if n, _ := io.Copy(io.Discard, io.LimitReader(c.netConn, drainBytes)); n == drainBytes {
		time.Sleep(lingerTimeout)
	}
}

// closeIfIdle closes the connection if no request is in flight or arriving.
func (c *serverConn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unanswered == 0 && !c.receiving && !c.ending {
		c.ending = true
		c.netConn.Close()
	}
}

// waitState tells what a connection without a request in flight waits for.
type waitState struct {
	receiving bool // the rest of a head, and not a request
	since     time.Time
}

// isWorse reports whether a connection is closed rather than another one.
func (w waitState) isWorse(other waitState) bool {
	if w.receiving != other.receiving {
		return w.receiving
	}
	return w.since.Before(other.since)
}

// waitState reports false if a request is in flight or the connection is ending.
func (c *serverConn) waitState() (waitState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return waitState{c.receiving, c.since}, c.unanswered == 0 && !c.ending
}

// closeIfWaiting closes the connection if no request is in flight, and reports whether it did.
func (c *serverConn) closeIfWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unanswered > 0 || c.ending {
		return false
	}
	c.ending = true
	c.netConn.Close()
	return true
}

// reject answers an unreadable request with an error status and ends the connection.
func (c *serverConn) reject(status int) {
	c.discardBuffer()
	if !c.await(c.lastWritten) {
		return
	}
	w := c.newFinalResponse()
	http.Error(w, http.StatusText(status), status)
	// A write error does not matter, because the connection ends in any case.
	_ = w.finish()
	c.linger()
}

// newFinalResponse returns the answer to a request that cannot be read. It ends the connection.
func (c *serverConn) newFinalResponse() *response {
	return &response{conn: c, req: &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1}, header: http.Header{}, previousWritten: c.lastWritten, closeAfter: true}
}
