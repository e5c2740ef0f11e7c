package edge

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/bodybudget"
)

const (
	// eagerBodyBytes is the largest body that is read before the handler runs. Larger
	// ones, those of unknown length and those announced by Expect are read once the
	// handler asks for them.
	eagerBodyBytes = 4 << 10

	// firstChunkedRoom is the room taken at first for a body of unknown length.
	firstChunkedRoom = 16 << 10

	// bodyReadStep is the number of bytes that must arrive within BodyStallTimeout.
	bodyReadStep = 16 << 10

	// drainBytes and drainTimeout bound what is read of a body that the handler did not
	// want, so that the connection can be used for further requests.
	drainBytes   = 256 << 10
	drainTimeout = time.Second
)

// ErrBodyTooLarge is the error for a body above MaxBodyBytes.
var ErrBodyTooLarge = errors.New("the body exceeds the limit")

// bufferedBody is a request body that Server has read into memory.
type bufferedBody struct {
	bytes.Reader
	data []byte
}

func newBufferedBody(data []byte) *bufferedBody {
	b := &bufferedBody{data: data}
	b.Reset(data)
	return b
}

// Close implements io.Closer.
func (*bufferedBody) Close() error { return nil }

// Body returns the body of a request, and reads it if Server has not done so. The result
// must not be modified. ctx bounds the wait for room in the budget of the server. Errors
// are ErrBodyTooLarge, those of bodybudget, and failures of the connection.
func Body(ctx context.Context, r *http.Request) ([]byte, error) {
	switch b := r.Body.(type) {
	case *bufferedBody:
		return b.data, nil
	case *streamedBody:
		return b.load(ctx)
	}
	return io.ReadAll(r.Body)
}

// BodyPending reports whether the body of a request has yet to be read from the caller.
func BodyPending(r *http.Request) bool {
	b, ok := r.Body.(*streamedBody)
	return ok && !b.loaded
}

// WriteBodyError answers a request whose body could not be read, and returns false if the
// connection can carry no answer.
func WriteBodyError(w http.ResponseWriter, err error) bool {
	switch {
	case errors.Is(err, ErrBodyTooLarge):
		http.Error(w, http.StatusText(http.StatusRequestEntityTooLarge), http.StatusRequestEntityTooLarge)
	case errors.Is(err, bodybudget.ErrTooLarge), errors.Is(err, bodybudget.ErrNoRoom):
		w.Header().Set("Retry-After", strconv.Itoa(1))
		http.Error(w, "not run: "+err.Error(), http.StatusServiceUnavailable)
	default:
		return false
	}
	return true
}

// streamedBody is a request body that is read from the connection once the handler asks
// for it. While it is unread, no further request of the connection is read, so that flow
// control holds the caller back. Only the goroutine of the request uses it until settled
// is closed.
type streamedBody struct {
	conn            *serverConn
	req             *http.Request
	src             io.Reader
	length          int64 // -1 if unknown
	limit           int64
	expectContinue  bool
	previousWritten <-chan struct{}

	began  bool // bytes of the body may have been read
	loaded bool // data and err are set
	data   []byte
	err    error
	reader bytes.Reader
	room   int64 // taken from the budget

	settleOnce sync.Once
	settled    chan struct{} // closed once the connection is not read by the handler any more
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	if !b.loaded {
		ctx, cancel := context.WithTimeout(b.conn.ctx, b.conn.server.opts.RoomTimeout)
		defer cancel()
		if _, err := b.load(ctx); err != nil {
			return 0, err
		}
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.reader.Read(p)
}

// Close implements io.Closer.
func (*streamedBody) Close() error { return nil }

// whole reports whether the body was read to its end.
func (b *streamedBody) whole() bool { return b.loaded && b.err == nil }

// settle lets the connection read on.
func (b *streamedBody) settle() { b.settleOnce.Do(func() { close(b.settled) }) }

// load reads the body to its end.
func (b *streamedBody) load(ctx context.Context) ([]byte, error) {
	if b.loaded {
		return b.data, b.err
	}
	b.loaded = true
	b.data, b.err = b.readAll(ctx)
	b.req.Trailer = nil // not forwarded, and it takes memory while the request is in flight
	if b.err != nil {
		b.data = nil
		return nil, b.err
	}
	b.reader.Reset(b.data)
	b.settle()
	return b.data, nil
}

func (b *streamedBody) readAll(ctx context.Context) ([]byte, error) {
	first := b.length
	if b.length < 0 {
		first = min(firstChunkedRoom, b.limit+1)
	}
	if err := b.takeRoom(ctx, first); err != nil {
		return nil, err
	}
	b.began = true
	if b.expectContinue {
		<-b.previousWritten
		// If the write fails, the next read fails too.
		_, _ = io.WriteString(b.conn.netConn, "HTTP/1.1 100 Continue\r\n\r\n")
	}
	deadline := time.Now().Add(b.conn.server.opts.BodyTimeout)
	buf := make([]byte, 0, first)
	for {
		if len(buf) == cap(buf) && b.length < 0 {
			var err error
			if buf, err = b.grow(ctx, buf); err != nil {
				return nil, err
			}
		}
		n, err := b.readStep(buf[len(buf):min(cap(buf), len(buf)+bodyReadStep)], deadline)
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > b.limit:
			return nil, ErrBodyTooLarge
		case err == io.EOF || err == nil && int64(len(buf)) == b.length:
			return buf, nil
		case err != nil:
			return nil, err
		}
	}
}

// readStep reads some bytes, which must arrive within BodyStallTimeout.
func (b *streamedBody) readStep(p []byte, deadline time.Time) (int, error) {
	stall := time.Now().Add(b.conn.server.opts.BodyStallTimeout)
	if deadline.Before(stall) {
		stall = deadline
	}
	b.conn.netConn.SetReadDeadline(stall)
	return b.src.Read(p)
}

// grow doubles a full buffer. Both buffers are counted while one is copied.
func (b *streamedBody) grow(ctx context.Context, buf []byte) ([]byte, error) {
	size := min(2*int64(cap(buf)), b.limit+1)
	size = b.conn.server.opts.Bodies.Ceiling(size, b.limit+1)
	if err := b.takeRoom(ctx, size); err != nil {
		return nil, err
	}
	larger := append(make([]byte, 0, size), buf...)
	b.returnRoom(int64(cap(buf)))
	return larger, nil
}

func (b *streamedBody) takeRoom(ctx context.Context, bytes int64) error {
	if err := b.conn.server.opts.Bodies.Acquire(ctx, bytes); err != nil {
		return err
	}
	b.room += bytes
	return nil
}

func (b *streamedBody) returnRoom(bytes int64) {
	b.conn.server.opts.Bodies.Release(bytes)
	b.room -= bytes
}

// closesConnection reports whether the connection must end after the answer because the
// body is unread: a caller that waits for 100 Continue may or may not send it after the
// answer, and the rest of a large one costs more than a new connection.
func (b *streamedBody) closesConnection() bool {
	if b.whole() {
		return false
	}
	return b.expectContinue && !b.began || b.length > drainBytes
}

// drain reads the rest of an unwanted body within bounds, and reports whether that was
// all of it.
func (b *streamedBody) drain() bool {
	if b.whole() {
		return true
	}
	b.conn.netConn.SetReadDeadline(time.Now().Add(drainTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(b.src, drainBytes+1))
	return err == nil && n <= drainBytes
}

// readBody reads a body of a known length that fits eagerBodyBytes. For a request without
// a body, the common case, it allocates nothing.
func readBody(body io.Reader, length int64) ([]byte, error) {
	if body == http.NoBody || length == 0 {
		return nil, nil
	}
	data := make([]byte, length)
	_, err := io.ReadFull(body, data)
	return data, err
}
