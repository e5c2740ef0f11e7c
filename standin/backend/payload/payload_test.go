package payload

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"
)

func drawID(t *rapid.T, label string) string {
	return rapid.StringMatching(`[a-z0-9>.-]{1,40}`).Draw(t, label)
}

func TestWholeBodyPasses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := drawID(t, "id")
		size := rapid.IntRange(0, 5000).Draw(t, "size")
		body := Body(id, size)
		if err := Check(id, body); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(body, Body(id, size)) {
			t.Fatal("the body for the same id and size differs between two calls")
		}
		if size > 100 && len(body) != size {
			t.Fatalf("asked for %d bytes, got %d", size, len(body))
		}
	})
}

func TestCutOrAlteredBodyIsBroken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := drawID(t, "id")
		body := Body(id, rapid.IntRange(0, 3000).Draw(t, "size"))
		at := rapid.IntRange(0, len(body)-1).Draw(t, "at")
		if err := Check(id, body[:at]); !errors.Is(err, ErrBroken) {
			t.Fatalf("cut at %d of %d: %v", at, len(body), err)
		}
		body[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "flip"))
		if err := Check(id, body); !errors.Is(err, ErrBroken) {
			t.Fatalf("altered at %d: %v", at, err)
		}
	})
}

func TestAnotherRequestsBodyIsForeign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mine, other := drawID(t, "mine"), drawID(t, "other")
		if mine == other {
			t.Skip("same id")
		}
		if err := Check(mine, Body(other, DefaultSize)); !errors.Is(err, ErrForeign) {
			t.Fatal(err)
		}
	})
}
