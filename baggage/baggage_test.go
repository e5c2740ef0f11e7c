package baggage

import (
	"testing"

	"pgregory.net/rapid"
)

func TestOtherMembersAreKept(t *testing.T) {
	v := With("user=a;p=1, dogwoodhatch=old , tier=gold", "t1")
	if v != "user=a;p=1,tier=gold,dogwoodhatch=t1" || Token(v) != "t1" {
		t.Fatalf("got %q", v)
	}
	if v = With(v, ""); v != "user=a;p=1,tier=gold" || Token(v) != "" {
		t.Fatalf("got %q", v)
	}
}

func TestTokenSurvivesAnyHeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.String().Draw(t, "value")
		token := rapid.StringMatching(`[0-9a-f]{1,32}`).Draw(t, "token")
		if got := Token(With(value, token)); got != token {
			t.Fatalf("got %q, want %q", got, token)
		}
		if got := Token(With(value, "")); got != "" {
			t.Fatalf("token %q left after removal", got)
		}
	})
}
