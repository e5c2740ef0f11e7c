// Package baggage reads and writes the member of the W3C baggage header that
// names a running execution (https://www.w3.org/TR/baggage/).
package baggage

import "strings"

const (
	// Header is the canonical name of the W3C header.
	Header = "Baggage"
	member = "dogwoodhatch"
)

// Token returns the token that the header value carries, or "".
func Token(value string) string {
	for _, m := range strings.Split(value, ",") {
		key, v, ok := strings.Cut(m, "=")
		if ok && strings.TrimSpace(key) == member {
			v, _, _ = strings.Cut(v, ";")
			return strings.TrimSpace(v)
		}
	}
	return ""
}

// With returns the header value with its token set; "" removes it. Members of
// others are kept.
func With(value, token string) string {
	var kept []string
	for _, m := range strings.Split(value, ",") {
		key, _, _ := strings.Cut(m, "=")
		if strings.TrimSpace(m) != "" && strings.TrimSpace(key) != member {
			kept = append(kept, strings.TrimSpace(m))
		}
	}
	if token != "" {
		kept = append(kept, member+"="+token)
	}
	return strings.Join(kept, ",")
}
