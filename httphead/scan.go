// Package httphead examines the heads of HTTP/1.1 messages beyond what net/http does.
package httphead

import "bytes"

// Scanner finds the end of a head that arrives in parts.
type Scanner struct {
	Bytes, Lines int // seen so far, up to the end of the head

	lineBytes int  // seen of the current line
	lastCR    bool // the last byte was a carriage return
}

// Scan processes the next part and reports whether the head ends in it: with the first empty
// line, which may be the first line at all.
func (s *Scanner) Scan(part []byte) bool {
	for len(part) > 0 {
		n := bytes.IndexByte(part, '\n')
		if n < 0 {
			s.Bytes += len(part)
			s.lineBytes += len(part)
			s.lastCR = part[len(part)-1] == '\r'
			return false
		}
		if n > 0 {
			s.lastCR = part[n-1] == '\r'
		}
		s.Bytes += n + 1
		s.Lines++
		if length := s.lineBytes + n; length == 0 || length == 1 && s.lastCR {
			return true
		}
		s.lineBytes, s.lastCR = 0, false
		part = part[n+1:]
	}
	return false
}
