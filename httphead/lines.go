package httphead

import (
	"bytes"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

// protocol begins each response, and the last word of the first line of each request.
const protocol = "HTTP/1."

// Names of the headers that state where a body ends.
var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
)

// lines splits a head into lines as they arrive.
type lines struct {
	seen  int  // bytes of complete lines
	ended bool // the empty line at the end has been seen
}

// next returns the next line of a head that has become complete, without its end, or false if there
// is none yet. head is what has arrived of it, and possibly what follows.
func (l *lines) next(head []byte) (line []byte, first, ok bool) {
	if l.ended {
		return nil, false, false
	}
	end := bytes.IndexByte(head[l.seen:], '\n')
	if end < 0 {
		return nil, false, false
	}
	first = l.seen == 0
	line = bytes.TrimSuffix(head[l.seen:l.seen+end], []byte{'\r'})
	l.seen += end + 1
	l.ended = len(line) == 0
	return line, first, !l.ended
}

// ErrMalformedRequest reports what is no request.
var ErrMalformedRequest = errs.New(errs.Invalid, "send requests of HTTP/1.1", "malformed request")

// RequestLines checks the lines of the head of a request as they arrive, so that what is no request is
// answered at once and not only with the end of its head.
type RequestLines struct {
	lines
	HasCoding bool // the head states a transfer coding
}

// Check checks the lines of a head that have become complete since the last call, and returns
// ErrMalformedRequest if one of them cannot stand in a request. head is what has arrived of the head, and
// possibly what follows.
func (l *RequestLines) Check(head []byte) error {
	for {
		line, first, ok := l.next(head)
		switch {
		case !ok:
			return nil
		case first:
			if i := bytes.LastIndexByte(line, ' '); i < 0 || !bytes.HasPrefix(line[i+1:], []byte(protocol)) {
				return ErrMalformedRequest
			}
		case line[0] != ' ' && line[0] != '\t':
			// A blank before the colon must be refused (RFC 9112, section 5.1): others might
			// read the name without it, and with it the end of the body.
			if i := bytes.IndexByte(line, ':'); i <= 0 || line[i-1] == ' ' || line[i-1] == '\t' {
				return ErrMalformedRequest
			} else if bytes.EqualFold(line[:i], transferEncoding) {
				l.HasCoding = true
			}
		}
	}
}

// ResponseLines checks the lines of the head of a response as they arrive, so that what is no
// response is found at once and not only with the end of its head.
type ResponseLines struct {
	lines
	http10    bool
	hasLength bool // the head states a length
	hasCoding bool // the head states a transfer coding
}

// Check checks the lines of a head that have become complete since the last call. head is what has
// arrived of it, and possibly what follows. Errors are of kind errs.Unavailable.
func (l *ResponseLines) Check(head []byte) error {
	if n := min(len(head), len(protocol)); string(head[:n]) != protocol[:n] {
		return errMalformed("the status line", head)
	}
	for {
		line, first, ok := l.next(head)
		if !ok {
			return nil
		}
		check := l.checkField
		if first {
			check = l.checkStatus
		}
		if err := check(line); err != nil {
			return err
		}
	}
}

// Ambiguous reports whether the head states both a length and a transfer coding. The length is
// ignored (RFC 9112, section 6.3), but the server may have meant it, so its connection must not be
// used again.
func (l *ResponseLines) Ambiguous() bool { return l.hasLength && l.hasCoding }

// checkStatus checks a status line: the protocol, a status from 100 to 999 and possibly a text. A
// status above 599 is unusual, but callers treat it as a failure of the server (RFC 9110, section 15).
func (l *ResponseLines) checkStatus(line []byte) error {
	rest := line[len(protocol):]
	if len(rest) < 1+len(" 200") || !isDigit(rest[0]) || rest[1] != ' ' {
		return errMalformed("the status line", line)
	}
	status, text := rest[2:5], rest[5:]
	if status[0] == '0' || !isDigit(status[0]) || !isDigit(status[1]) || !isDigit(status[2]) || len(text) > 0 && text[0] != ' ' {
		return errMalformed("the status line", line)
	}
	l.http10 = rest[0] == '0'
	return nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// checkField checks a header line or the continuation of one.
func (l *ResponseLines) checkField(line []byte) error {
	name, value := line[:0], line
	if line[0] != ' ' && line[0] != '\t' {
		var found bool
		if name, value, found = bytes.Cut(line, []byte{':'}); !found || !ValidName(name) {
			return errMalformed("a header line", line)
		}
	}
	if bytes.ContainsFunc(value, isControl) {
		return errMalformed("a header line", line)
	}
	switch {
	case bytes.EqualFold(name, contentLength):
		l.hasLength = true
	case bytes.EqualFold(name, transferEncoding):
		l.hasCoding = true
		if l.http10 {
			return errMalformed("a transfer coding in HTTP/1.0", line)
		}
	}
	return nil
}

// isControl reports whether a value may not hold r.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == del }

const del = 0x7f

// ValidName reports whether name can be the name of a header line: a token of RFC 9110, section 5.6.2.
func ValidName[T ~string | ~[]byte](name T) bool {
	for i := range len(name) {
		if !tokenBytes[name[i]] {
			return false
		}
	}
	return len(name) > 0
}

// tokenBytes holds the bytes that a token consists of.
var tokenBytes = func() (set [256]bool) {
	const marks = "!#$%&'*+-.^_`|~"
	for c := range set {
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		set[c] = letter || c >= '0' && c <= '9' || bytes.IndexByte([]byte(marks), byte(c)) >= 0
	}
	return set
}()

// maxQuotedBytes bounds what an error quotes of a line.
const maxQuotedBytes = 64

func errMalformed(what string, line []byte) error {
	return errs.New(errs.Unavailable, "check the backend server", "%s is malformed: %q", what, line[:min(len(line), maxQuotedBytes)])
}
