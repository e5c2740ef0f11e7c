// Package edge contains the code shared by the listeners for callers: forwarding of
// headers and bodies, answers whose truncation the caller can detect, and a server
// that detects immediately when a caller disconnects.
package edge

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/dogwoodhatch/dogwoodhatch/bufpool"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

// hopByHop lists the headers that apply to a single connection and are not forwarded
// (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// ForwardHeader returns a copy of h without the headers that must not be forwarded.
func ForwardHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	RemoveHopByHop(out)
	return out
}

// RemoveHopByHop deletes the headers that apply to a single connection.
func RemoveHopByHop(h http.Header) {
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// WriteAnswer writes an answer, which may be streamed, to the caller. set adjusts the
// headers before they are written. An error means that the answer ended prematurely
// after its head was written; the connection must then be closed.
func WriteAnswer(w http.ResponseWriter, r *http.Request, ans *kernel.Answer, set func(http.Header)) error {
	defer ans.Body.Close()
	h := w.Header()
	for name, values := range ans.Header {
		h[name] = values
	}
	// The Content-Length of an answer without a body (HEAD, 304) is that of the
	// corresponding GET, so it is kept.
	length := h.Get("Content-Length")
	if ans.Length > 0 || length == "" && ans.Length == 0 && r.Method != http.MethodHead {
		length = strconv.FormatInt(ans.Length, 10)
	}
	RemoveHopByHop(h)
	set(h)
	// With a declared length the caller can detect a truncated answer.
	if length != "" {
		h.Set("Content-Length", length)
	}
	w.WriteHeader(ans.Status)
	_, err := bufpool.Copy(w, ans.Body)
	return err
}
