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
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

const (
	// maxForeign is the number of answers to other requests that are skipped
	// before the one that is waited for.
	maxForeign = 2
	// syncWriteBytes is the largest request that is written before its answer is
	// read. The answer to a longer one may come before all of it was sent.
	syncWriteBytes = 16 << 10
)

// backend sends requests over connections of its own. net/http's transport does
// not fit: it cannot skip the late answer to an earlier request, nor give up a
// connection on which one came.
type backend struct {
	dialect kernel.BackendDialect
	log     *zap.Logger
	pool    *pool
}

func newBackend(d kernel.BackendDialect, log *zap.Logger) *backend {
	return &backend{dialect: d, log: log, pool: newPool()}
}

// Do implements kernel.Backend. A request counts as sent from its first byte on.
func (b *backend) Do(ctx context.Context, addr string, req *kernel.BackendRequest) (*kernel.BackendResponse, bool, error) {
	c, err := b.pool.get(ctx, addr, req.Idempotent, req.NewConnection)
	if err != nil {
		return nil, false, errs.Wrap(err, errs.Unavailable, "check the backend server", "no connection to backend server %s", addr)
	}
	x := &exchange{b: b, c: c, req: req}
	x.stop = context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	sent, err := x.send()
	if err != nil {
		x.lost(ctx, err)
		return nil, sent, errs.Wrap(err, errs.Unavailable, "check the backend server", "request to backend server %s", addr)
	}
	resp, err := x.receive()
	if err != nil {
		x.lost(ctx, err)
		return nil, true, errs.Wrap(err, errs.Unavailable, "check the backend server", "backend server %s did not answer", addr)
	}
	return resp, true, nil
}

// exchange is one request on one connection.
type exchange struct {
	b       *backend
	c       *conn
	req     *kernel.BackendRequest
	stop    func() bool // ends the watch of the context
	written chan error  // of a request that is written in the background
	tainted bool        // an answer to another request came
}

// send writes the request and reports whether any byte may have left.
func (x *exchange) send() (bool, error) {
	scratch := bufpool.Get()
	defer bufpool.Put(scratch)
	head := x.head((*scratch)[:0])
	if len(x.req.Body) <= syncWriteBytes {
		n, err := x.c.Write(append(head, x.req.Body...))
		return n > 0, err
	}
	n, err := x.c.Write(head)
	if err != nil {
		return n > 0, err
	}
	x.written = make(chan error, 1)
	go func() {
		_, err := x.c.Write(x.req.Body)
		x.written <- err
	}()
	return true, nil
}

// head appends the request line and the headers to room.
func (x *exchange) head(room []byte) []byte {
	req := x.req
	h := req.Header
	x.b.dialect.Encode(h, req)
	h.Del("Host")
	h.Del("Content-Length")
	buf := bytes.NewBuffer(room)
	buf.WriteString(req.Method)
	buf.WriteByte(' ')
	buf.WriteString(req.Target)
	buf.WriteString(" HTTP/1.1\r\nHost: ")
	buf.WriteString(req.Host)
	buf.WriteString("\r\n")
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead {
		writeLength(buf, len(req.Body))
	}
	// Writing to a buffer does not fail; names and values were read by net/http.
	_ = h.Write(buf)
	buf.WriteString("\r\n")
	return buf.Bytes()
}

// receive reads the head of the answer, past late answers to other requests.
func (x *exchange) receive() (*kernel.BackendResponse, error) {
	for foreign := 0; ; {
		resp, err := http.ReadResponse(x.c.br, &http.Request{Method: x.req.Method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue // an interim answer
		}
		report := x.b.dialect.Decode(resp.StatusCode, resp.Header, x.req)
		if !report.OtherRequest {
			return x.response(resp, report), nil
		}
		x.tainted = true
		foreign++
		x.b.log.Warn("foreign_answer", zap.String("addr", x.c.addr), zap.String("request", x.req.RequestID), zap.Int("status", resp.StatusCode))
		if _, err := bufpool.Copy(io.Discard, resp.Body); err != nil || foreign > maxForeign {
			return nil, errs.Wrap(err, errs.Unavailable, "check the backend server", "answers to other requests")
		}
	}
}

func (x *exchange) response(resp *http.Response, report kernel.BackendReport) *kernel.BackendResponse {
	body := &answerBody{x: x, rc: resp.Body, reusable: !resp.Close && !x.tainted && framed(resp)}
	x.c.keep = keepAlive(resp.Header)
	return &kernel.BackendResponse{BackendReport: report, Status: resp.StatusCode, Header: resp.Header, Body: body}
}

// framed reports whether the end of the answer is known without the connection's
// end.
func framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// lost gives the connection up; what runs at the backend server is cancelled by
// that. An idle connection that ends as it is used again was gone before.
func (x *exchange) lost(ctx context.Context, err error) {
	x.stop()
	x.c.Close()
	if x.c.wasIdle > 0 && ctx.Err() == nil && ended(err) {
		x.b.pool.forgotten(x.c)
		x.b.log.Info("connection_was_gone", zap.String("addr", x.c.addr), zap.String("request", x.req.RequestID), zap.Duration("idle", x.c.wasIdle))
	}
}

// ended reports whether the other side has ended the connection.
func ended(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// answerBody reads an answer and returns the connection after its whole end.
type answerBody struct {
	x        *exchange
	rc       io.ReadCloser
	reusable bool
	whole    bool
	closed   bool
}

// Read implements io.Reader.
func (a *answerBody) Read(p []byte) (int, error) {
	n, err := a.rc.Read(p)
	if err == io.EOF {
		a.whole = true
	}
	return n, err
}

// Close implements io.Closer. Unasked bytes behind the answer, and a request that
// is still being written, end the use of the connection.
func (a *answerBody) Close() error {
	if a.closed {
		return nil
	}
	a.closed = true
	live := a.x.stop()
	if live && a.whole && a.reusable && a.x.finished() && a.x.c.br.Buffered() == 0 {
		a.x.b.pool.put(a.x.c)
		return nil
	}
	return a.x.c.Close()
}

// finished reports whether the whole request was written.
func (x *exchange) finished() bool {
	if x.written == nil {
		return true
	}
	select {
	case err := <-x.written:
		return err == nil
	default:
		return false
	}
}

// reader returns a buffered reader of a new connection.
func reader(r io.Reader) *bufio.Reader { return bufio.NewReaderSize(r, readBufferBytes) }

// readBufferBytes holds the head and a small body of an answer.
const readBufferBytes = 4 << 10
