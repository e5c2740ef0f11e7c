// Package edge holds what the listeners for callers share: headers that are
// passed on, bodies, answers that must not look whole when they broke off, and
// connections that notice at once when their caller leaves.
package edge

import (
	"net/http"
	"strconv"

	"github.com/dogwoodhatch/dogwoodhatch/bufpool"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

// hopByHop headers belong to one connection (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// ForwardHeader returns the headers of a request that are passed on.
func ForwardHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range h.Values("Connection") {
		out.Del(name)
	}
	RemoveHopByHop(out)
	return out
}

// RemoveHopByHop deletes the headers that belong to one connection.
func RemoveHopByHop(h http.Header) {
	for _, name := range hopByHop {
		delete(h, name)
	}
}

// WriteAnswer copies an answer that may be streamed; set adjusts the headers
// before they leave. The error says that the answer broke off after its head was
// passed on; the connection must then be given up.
func WriteAnswer(w http.ResponseWriter, r *http.Request, ans *kernel.Answer, set func(http.Header)) error {
	defer ans.Body.Close()
	h := w.Header()
	for name, values := range ans.Header {
		h[name] = values
	}
	// The length of an answer without a body (HEAD, 304) describes another one.
	length := h.Get("Content-Length")
	if ans.Length > 0 || length == "" && ans.Length == 0 && r.Method != http.MethodHead {
		length = strconv.FormatInt(ans.Length, 10)
	}
	RemoveHopByHop(h)
	set(h)
	// A declared length lets the caller see that a streamed answer broke off.
	if length != "" {
		h.Set("Content-Length", length)
	}
	w.WriteHeader(ans.Status)
	_, err := bufpool.Copy(w, ans.Body)
	return err
}
