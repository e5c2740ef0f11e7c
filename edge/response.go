package edge

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/bufpool"
)

// response writes one answer after all preceding ones on the connection.
type response struct {
	conn            *serverConn
	bw              *bufio.Writer // nil before the head and after the end of the answer
	req             *http.Request
	body            *streamedBody // of req; nil if it was read before the handler ran
	room            headRoom      // of the head of req
	header          http.Header
	previousWritten <-chan struct{} // closed once the preceding answer is written
	started         bool
	status          int
	closeAfter      bool           // the connection ends after this answer
	chunked         io.WriteCloser // nil if the length is declared or the answer has no body
	noBody          bool           // the answer has no body
	remaining       int64          // bytes of the declared length not yet written
	hasLength       bool           // the answer has a declared length
	writeErr        error
}

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. It waits until the preceding answers are
// written.
func (w *response) WriteHeader(status int) {
	if w.started || status < http.StatusOK {
		return
	}
	w.started = true
	w.status = status
	<-w.previousWritten
	w.bw = bufpool.GetWriter(w.conn.netConn)
	unread := w.body != nil && w.body.closesConnection()
	closeRequested := unread || endsConnection(w.req) || hasToken(w.header, "Connection", "close")
	w.closeAfter = w.closeAfter || w.conn.markLast(closeRequested || w.conn.server.closing())
	w.header.Del("Connection")
	if w.closeAfter {
		w.header.Set("Connection", "close")
	}
	w.setFraming(status, isHTTP10(w.req))
	if w.header.Get("Date") == "" {
		w.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	fmt.Fprintf(w.bw, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	w.writeErr = w.header.Write(w.bw)
	io.WriteString(w.bw, "\r\n")
}

// setFraming decides how the end of the body is marked: by a declared length, by chunked
// encoding or by the end of the connection. It sets the headers accordingly.
func (w *response) setFraming(status int, http10 bool) {
	w.header.Del("Transfer-Encoding")
	w.noBody = w.req.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	length, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64)
	switch {
	case w.noBody:
	case err == nil && length >= 0:
		w.hasLength = true
		w.remaining = length
	case http10:
		w.header.Del("Content-Length") // the end of the connection marks the end of the body
	default:
		w.header.Del("Content-Length")
		w.header.Set("Transfer-Encoding", "chunked")
		w.chunked = httputil.NewChunkedWriter(w.bw)
	}
}

// Write implements http.ResponseWriter.
func (w *response) Write(p []byte) (int, error) {
	if !w.started {
		w.WriteHeader(http.StatusOK)
	}
	if w.writeErr != nil {
		return 0, w.writeErr
	}
	if w.noBody {
		return len(p), nil
	}
	var n int
	switch {
	case w.chunked != nil:
		n, w.writeErr = w.chunked.Write(p)
	case w.hasLength && int64(len(p)) > w.remaining:
		return 0, http.ErrContentLength
	default:
		n, w.writeErr = w.bw.Write(p)
		w.remaining -= int64(n)
	}
	return n, w.writeErr
}

// Flush implements http.Flusher.
func (w *response) Flush() {
	if w.bw != nil && w.writeErr == nil {
		w.writeErr = w.bw.Flush()
	}
}

// finish completes the answer. An error means that the answer is incomplete.
func (w *response) finish() error {
	if !w.started {
		w.header.Set("Content-Length", "0")
		w.WriteHeader(http.StatusOK)
	}
	if w.writeErr == nil && w.chunked != nil {
		if w.writeErr = w.chunked.Close(); w.writeErr == nil {
			_, w.writeErr = io.WriteString(w.bw, "\r\n")
		}
	}
	if w.writeErr == nil && w.hasLength && w.remaining > 0 {
		return io.ErrShortWrite
	}
	if w.writeErr == nil {
		w.writeErr = w.bw.Flush()
	}
	bufpool.PutWriter(w.bw)
	w.bw = nil
	return w.writeErr
}

// hasToken reports whether a comma-separated header contains a token.
func hasToken(h http.Header, name, token string) bool {
	for _, v := range h.Values(name) {
		for part := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}
