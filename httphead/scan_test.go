package httphead

import "testing"

// TestScannerFindsTheEndOfAHead compares the end of heads that arrive in parts with where the
// parser of net/http stops.
func TestScannerFindsTheEndOfAHead(t *testing.T) {
	for head, lines := range map[string]int{
		"GET / HTTP/1.1\r\nA: b\r\n\r\n": 3,
		"GET / HTTP/1.1\nA: b\n\n":       3,
		"GET / HTTP/1.1\r\n\r\n":         2,
		"\r\n":                           1,
		"\n":                             1,
		"a\r\n \r\n\r\n":                 3,
		"a\r\n\r\r\n\n":                  3,
	} {
		for split := range len(head) {
			var s Scanner
			if s.Scan([]byte(head[:split])) {
				t.Errorf("%q ends after %d bytes", head, split)
			}
			if !s.Scan([]byte(head[split:]+"rest\r\n\r\n")) || s.Bytes != len(head) || s.Lines != lines {
				t.Errorf("%q split at %d: %+v", head, split, s)
			}
		}
	}
}
