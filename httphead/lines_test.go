package httphead

import "testing"

// TestMalformedResponsesAreFoundAtOnce gives heads byte by byte. What is no response must be found
// with the first byte or line that shows it.
func TestMalformedResponsesAreFoundAtOnce(t *testing.T) {
	for head, want := range map[string]int{
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\nx y\r\n": 0,
		"HTTP/1.0 200\nA:\n\n":                         0,
		"GARBAGE":                                      1,
		"HTTP/2.0 200 OK":                              6,
		"HTTP/1.1 200 OK\r\nA\r\nB: c\r\n\r\n":         20,
		"HTTP/1.1 200 OK\r\n: c\r\n\r\n":               22,
		"\r\n\r\n":                                     1,
	} {
		var l ResponseLines
		got := 0
		for n := range len(head) + 1 {
			if n > 0 && l.Check([]byte(head[:n])) != nil {
				got = n
				break
			}
		}
		if got != want {
			t.Errorf("%q is rejected after %d bytes, want %d", head, got, want)
		}
	}
}
