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

// response writes one answer once those before it are written.
type response struct {
	c       *serverConn
	bw      *bufio.Writer // between the head and the end of the answer
	req     *http.Request
	header  http.Header
	turn    <-chan struct{} // closed when the answer before is written
	started bool
	status  int
	last    bool           // the connection ends with this answer
	chunked io.WriteCloser // nil if the length is declared or the answer has no body
	bare    bool           // the answer has no body
	left    int64          // of the declared length
	counted bool           // the length is declared
	failed  error
}

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. It waits for the answers before.
func (w *response) WriteHeader(status int) {
	if w.started || status < http.StatusOK {
		return
	}
	w.started = true
	w.status = status
	<-w.turn
	w.bw = bufpool.GetWriter(w.c.nc)
	old := w.req.ProtoMajor == 1 && w.req.ProtoMinor == 0
	asked := w.req.Close || hasToken(w.header, "Connection", "close")
	w.last = w.last || w.c.claimLast(asked || old || w.c.s.closing())
	w.header.Del("Connection")
	if w.last {
		w.header.Set("Connection", "close")
	}
	w.frame(status, old)
	if w.header.Get("Date") == "" {
		w.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	fmt.Fprintf(w.bw, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	w.failed = w.header.Write(w.bw)
	io.WriteString(w.bw, "\r\n")
}

// frame decides how the end of the body is told.
func (w *response) frame(status int, old bool) {
	w.header.Del("Transfer-Encoding")
	w.bare = w.req.Method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	length, err := strconv.ParseInt(w.header.Get("Content-Length"), 10, 64)
	switch {
	case w.bare:
	case err == nil && length >= 0:
		w.counted = true
		w.left = length
	case old:
		w.header.Del("Content-Length") // the end of the connection tells
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
	if w.failed != nil {
		return 0, w.failed
	}
	if w.bare {
		return len(p), nil
	}
	var n int
	switch {
	case w.chunked != nil:
		n, w.failed = w.chunked.Write(p)
	case w.counted && int64(len(p)) > w.left:
		return 0, http.ErrContentLength
	default:
		n, w.failed = w.bw.Write(p)
		w.left -= int64(n)
	}
	return n, w.failed
}

// Flush implements http.Flusher.
func (w *response) Flush() {
	if w.bw != nil && w.failed == nil {
		w.failed = w.bw.Flush()
	}
}

// finish ends the answer. The error says that it is not whole.
func (w *response) finish() error {
	if !w.started {
		w.header.Set("Content-Length", "0")
		w.WriteHeader(http.StatusOK)
	}
	if w.failed == nil && w.chunked != nil {
		if w.failed = w.chunked.Close(); w.failed == nil {
			_, w.failed = io.WriteString(w.bw, "\r\n")
		}
	}
	if w.failed == nil && w.counted && w.left > 0 {
		return io.ErrShortWrite
	}
	if w.failed == nil {
		w.failed = w.bw.Flush()
	}
	bufpool.PutWriter(w.bw)
	w.bw = nil
	return w.failed
}

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
