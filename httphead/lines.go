package httphead

import (
	"bytes"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

// protocol begins each response.
const protocol = "HTTP/1."

// ResponseLines checks the lines of the head of a response as they arrive, so that what is no
// response is found at once and not only with the end of its head.
type ResponseLines struct {
	checked   int  // bytes of complete lines
	ended     bool // the head has ended
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
	for !l.ended {
		end := bytes.IndexByte(head[l.checked:], '\n')
		if end < 0 {
			return nil
		}
		line := bytes.TrimSuffix(head[l.checked:l.checked+end], []byte{'\r'})
		first := l.checked == 0
		l.checked += end + 1
		switch {
		case len(line) == 0:
			l.ended = true
			continue
		case first:
			if err := checkStatusLine(line); err != nil {
				return err
			}
			l.http10 = line[len(protocol)] == '0'
			continue
		}
		if err := l.checkField(line); err != nil {
			return err
		}
	}
	return nil
}

// Ambiguous reports whether the head states both a length and a transfer coding. The length is
// ignored (RFC 9112, section 6.3), but the server may have meant it, so its connection must not be
// used again.
func (l *ResponseLines) Ambiguous() bool { return l.hasLength && l.hasCoding }

// checkStatusLine checks a status line: the protocol, a status from 100 to 999 and possibly a text. A
// status above 599 is unusual, but callers treat it as a failure of the server (RFC 9110, section 15).
func checkStatusLine(line []byte) error {
	rest := line[len(protocol):]
	if len(rest) < 1+len(" 200") || !isDigit(rest[0]) || rest[1] != ' ' {
		return errMalformed("the status line", line)
	}
	status, text := rest[2:5], rest[5:]
	if status[0] == '0' || !isDigit(status[0]) || !isDigit(status[1]) || !isDigit(status[2]) || len(text) > 0 && text[0] != ' ' {
		return errMalformed("the status line", line)
	}
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
	case bytes.EqualFold(name, []byte("Content-Length")):
		l.hasLength = true
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
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
