// Package baggage reads and writes the list member of the W3C baggage header that
// carries the token of a running execution (https://www.w3.org/TR/baggage/).
package baggage

import "strings"

const (
	// Header is the canonical name of the header.
	Header    = "Baggage"
	memberKey = "dogwoodhatch"
)

// Token returns the token in the header value, or "" if there is none.
func Token(value string) string {
	for _, m := range strings.Split(value, ",") {
		key, v, ok := strings.Cut(m, "=")
		if ok && strings.TrimSpace(key) == memberKey {
			v, _, _ = strings.Cut(v, ";")
			return strings.TrimSpace(v)
		}
	}
	return ""
}

// With returns the header value with the token set, or removed if token is "". Other
// list members are kept without surrounding spaces.
func With(value, token string) string {
	var kept []string
	for _, m := range strings.Split(value, ",") {
		key, _, _ := strings.Cut(m, "=")
		if strings.TrimSpace(m) != "" && strings.TrimSpace(key) != memberKey {
			kept = append(kept, strings.TrimSpace(m))
		}
	}
	if token != "" {
		kept = append(kept, memberKey+"="+token)
	}
	return strings.Join(kept, ",")
}
