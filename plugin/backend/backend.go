package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/bufpool"
	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/headbudget"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/sockopt"
)

const (
	// maxSkippedResponses is the number of responses to other requests that may
	// precede the expected one.
	maxSkippedResponses = 2
	// maxSkippedBytes bounds the total body bytes of skipped responses. Reading a
	// longer body costs more than a new connection.
	maxSkippedBytes = 256 << 10
	// maxHeadBytes bounds the bytes read before the head of a response is complete,
	// interim responses included. A node holds the heads of many calls at once.
	maxHeadBytes = 64 << 10
	// maxSyncWriteBytes is the largest body that is written before the response is
	// read. A larger body is written in the background, because the response may
	// arrive before the whole body is sent.
	maxSyncWriteBytes = 16 << 10
)

// backend sends requests over connections that it manages itself. http.Transport is
// not suitable: it can neither skip the late response to an earlier request nor
// discard a connection on which such a response arrived.
type backend struct {
	dialect kernel.BackendDialect
	log     *zap.Logger
	pool    *pool
	heads   *headbudget.Budget // parsed heads of answers
}

func newBackend(d kernel.BackendDialect, log *zap.Logger, heads *headbudget.Budget) *backend {
	return &backend{dialect: d, log: log, pool: newPool(), heads: heads}
}

// Do implements kernel.Backend. A request counts as sent once its first byte is
// written.
func (b *backend) Do(ctx context.Context, addr string, req *kernel.BackendRequest) (*kernel.BackendResponse, bool, error) {
	c, err := b.pool.get(ctx, addr, req.Idempotent, req.NewConnection)
	if err != nil {
		return nil, false, errs.Wrap(err, errs.Unavailable, "check the backend server", "no connection to backend server %s", addr)
	}
	x := &exchange{backend: b, conn: c, req: req, ctx: ctx, room: b.heads.Room()}
	x.stopCancel = context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) }) // a deadline in the past ends pending I/O
	sent, err := x.send()
	if err != nil {
		x.abandon(ctx, err)
		return nil, sent, errs.Wrap(err, errs.Unavailable, "check the backend server", "cannot send the request to backend server %s", addr)
	}
	resp, err := x.receive()
	if err != nil {
		x.abandon(ctx, err)
		return nil, true, errs.Wrap(err, errs.Unavailable, "check the backend server", "backend server %s did not answer", addr)
	}
	return resp, true, nil
}

// RefusesConnections implements kernel.Backend.
func (b *backend) RefusesConnections(ctx context.Context, addr string) bool {
	c, err := b.pool.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c.Close()
	return false
}

// exchange is one request on one connection.
type exchange struct {
	backend    *backend
	ctx        context.Context // of the request
	room       headbudget.Room // of the head of the response
	conn       *conn
	req        *kernel.BackendRequest
	stopCancel func() bool // detaches the connection from the context; false if the context ended first
	writeDone  chan error  // receives the result of a background write; nil if there is none
	skippedAny bool        // a response to another request arrived
	ambiguous  bool        // the end of the response can be understood in two ways
}

// send writes the request and reports whether any byte may have been sent.
func (x *exchange) send() (bool, error) {
	scratch := bufpool.Get()
	defer bufpool.Put(scratch)
	head := x.appendHead((*scratch)[:0])
	if len(x.req.Body) <= maxSyncWriteBytes {
		n, err := x.conn.Write(append(head, x.req.Body...))
		return n > 0, err
	}
	// A server that reads the body late leaves sent bytes unacknowledged. It is no sign of
	// a broken connection, and the deadline bounds the request in any case.
	if err := sockopt.SetUserTimeout(x.conn.Conn, 0); err != nil {
		return false, err
	}
	n, err := x.conn.Write(head)
	if err != nil {
		return n > 0, err
	}
	x.writeDone = make(chan error, 1)
	go func() {
		_, err := x.conn.Write(x.req.Body)
		x.writeDone <- err
	}()
	return true, nil
}

// appendHead appends the request line and the headers to dst.
func (x *exchange) appendHead(dst []byte) []byte {
	req := x.req
	h := req.Header
	x.backend.dialect.Encode(h, req)
	h.Del("Host")
	h.Del("Content-Length")
	buf := bytes.NewBuffer(dst)
	buf.WriteString(req.Method)
	buf.WriteByte(' ')
	buf.WriteString(req.Target)
	buf.WriteString(" HTTP/1.1\r\nHost: ")
	buf.WriteString(req.Host)
	buf.WriteString("\r\n")
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		writeLength(buf, len(req.Body))
	}
	// Writing to a buffer cannot fail. The names and values are valid, because
	// net/http has parsed them.
	_ = h.Write(buf)
	buf.WriteString("\r\n")
	return buf.Bytes()
}

// receive reads the head of the response and skips late responses to other requests.
func (x *exchange) receive() (*kernel.BackendResponse, error) {
	skippedBytes := int64(0)
	for skippedResponses := 0; ; {
		resp, err := x.readHead()
		if err != nil {
			return nil, err
		}
		report := x.backend.dialect.Decode(resp.StatusCode, resp.Header, x.req)
		if !report.NamesRequest && x.conn.named {
			return nil, errs.New(errs.Unavailable, "check the backend server", "a response with status %d names no request, unlike earlier ones on the connection", resp.StatusCode)
		}
		if !report.OtherRequest {
			return x.response(resp, report), nil
		}
		x.skippedAny = true
		skippedResponses++
		x.backend.log.Warn("foreign_answer", zap.String("addr", x.conn.addr), zap.String("request", x.req.RequestID), zap.Int("status", resp.StatusCode))
		n, err := bufpool.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes-skippedBytes))
		skippedBytes += n
		if err != nil || skippedResponses > maxSkippedResponses || skippedBytes >= maxSkippedBytes {
			return nil, errs.Wrap(err, errs.Unavailable, "check the backend server", "too many or incomplete responses to other requests, %d bytes", skippedBytes)
		}
	}
}

// readHead reads the head of a final response and skips interim (1xx) ones. It fails
// with errHeadTooLong after maxHeadBytes, so that a server that sends a head without
// end or endless interim responses costs neither memory nor the time of the request.
func (x *exchange) readHead() (*http.Response, error) {
	x.conn.limitRead(maxHeadBytes)
	defer x.conn.unlimitRead()
	for {
		if err := x.bufferHead(); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(x.conn.br, &http.Request{Method: x.req.Method})
		switch {
		case err != nil || resp.StatusCode >= http.StatusOK:
			return resp, err
		case resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errs.New(errs.Unavailable, "check the backend server", "the protocol was switched, which was not asked for")
		}
	}
}

func (x *exchange) response(resp *http.Response, report kernel.BackendReport) *kernel.BackendResponse {
	explicitEnd := hasExplicitEnd(resp)
	body := &responseBody{x: x, rc: resp.Body, explicitEnd: explicitEnd, reusable: !resp.Close && !x.skippedAny && !x.ambiguous && explicitEnd && x.conn.br.Size() == readBufferBytes}
	x.conn.maxIdle = keepAliveTime(resp.Header)
	x.conn.named = report.NamesRequest
	x.conn.refused = x.conn.refused || report.NotRun || report.OtherInstance
	return &kernel.BackendResponse{BackendReport: report, Status: resp.StatusCode, Header: resp.Header, Body: body}
}

// hasExplicitEnd reports whether the end of the body is marked by its length or its
// encoding, rather than by the end of the connection.
func hasExplicitEnd(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// abandon closes the connection, which cancels the execution at the backend server.
// If a reused connection turns out to be closed, the backend server most likely
// closed it while it was idle, and the pool learns from its idle time.
func (x *exchange) abandon(ctx context.Context, err error) {
	x.room.Free()
	x.stopCancel()
	x.conn.Close()
	if x.conn.idleTime > 0 && ctx.Err() == nil && closedByPeer(err) {
		x.backend.pool.learnIdle(x.conn)
		x.backend.log.Info("connection_was_gone", zap.String("addr", x.conn.addr), zap.String("request", x.req.RequestID), zap.Duration("idle", x.conn.idleTime))
	}
}

// closedByPeer reports whether err says that the peer has closed the connection.
func closedByPeer(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// responseBody reads a response body. Close returns the connection to the pool if the
// body was read completely.
type responseBody struct {
	x        *exchange
	rc       io.ReadCloser
	reusable bool
	complete bool
	closed   bool

	explicitEnd bool // the end is marked in the response, rather than by the end of the connection
}

// Read implements io.Reader. The end of a body that ends with its connection is that of the body only
// if the connection was not reset.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.rc.Read(p)
	if err != io.EOF {
		return n, err
	}
	if !b.explicitEnd && sockopt.Reset(b.x.conn.Conn) {
		return n, io.ErrUnexpectedEOF
	}
	b.complete = true
	return n, err
}

// Close implements io.Closer. The connection is closed rather than reused if
// unexpected bytes follow the response or the request is still being written.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	b.x.room.Free()
	active := b.x.stopCancel()
	if active && b.complete && b.reusable && b.x.requestWritten() && b.x.conn.br.Buffered() == 0 && b.x.restoreTimeout() {
		b.x.backend.pool.put(b.x.conn)
		return nil
	}
	return b.x.conn.Close()
}

// restoreTimeout undoes the change that send made for a large body, and reports whether
// the connection can be reused.
func (x *exchange) restoreTimeout() bool {
	return x.writeDone == nil || sockopt.SetUserTimeout(x.conn.Conn, unackedTimeout) == nil
}

// requestWritten reports whether the whole request has been written.
func (x *exchange) requestWritten() bool {
	if x.writeDone == nil {
		return true
	}
	select {
	case err := <-x.writeDone:
		return err == nil
	default:
		return false
	}
}

// newReader returns the buffered reader of a new connection.
func newReader(r io.Reader) *bufio.Reader { return bufio.NewReaderSize(r, readBufferBytes) }

// readBufferBytes is enough for the head and a small body of a response.
const readBufferBytes = 4 << 10
