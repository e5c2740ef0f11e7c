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
	checked int  // bytes of complete lines
	ended   bool // the head has ended
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
			continue
		}
		if err := checkFieldLine(line); err != nil {
			return err
		}
	}
	return nil
}

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

// checkFieldLine checks a header line or the continuation of one.
func checkFieldLine(line []byte) error {
	if line[0] == ' ' || line[0] == '\t' {
		return nil
	}
	if bytes.IndexByte(line, ':') <= 0 {
		return errMalformed("a header line", line)
	}
	return nil
}

// maxQuotedBytes bounds what an error quotes of a line.
const maxQuotedBytes = 64

func errMalformed(what string, line []byte) error {
	return errs.New(errs.Unavailable, "check the backend server", "%s is malformed: %q", what, line[:min(len(line), maxQuotedBytes)])
}
