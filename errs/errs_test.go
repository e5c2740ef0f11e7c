package errs

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
)

func TestErrorCarriesKindCauseAndRemedy(t *testing.T) {
	err := Wrap(io.ErrUnexpectedEOF, Invalid, "send the whole body", "body of %d bytes broke off", 7)
	if KindOf(err) != Invalid || RemedyOf(err) != "send the whole body" {
		t.Fatalf("kind %v remedy %q", KindOf(err), RemedyOf(err))
	}
	const want = "body of 7 bytes broke off: unexpected EOF; send the whole body"
	if err.Error() != want {
		t.Fatalf("got %q, want %q", err.Error(), want)
	}
	if KindOf(io.EOF) != Internal {
		t.Fatalf("error without a kind has kind %v", KindOf(io.EOF))
	}
}

func TestNewIsTyped(t *testing.T) {
	if k := KindOf(New(Conflict, "read again", "revision %d", 3)); k != Conflict {
		t.Fatalf("got kind %v", k)
	}
}

func TestNewPrintsMessageAndRemedyOnly(t *testing.T) {
	const want = "revision 3; read again"
	err := New(Conflict, "read again", "revision %d", 3)
	if err.Error() != want {
		t.Fatalf("got %q, want %q", err.Error(), want)
	}
	if got := fmt.Sprintf("%+v", err); got != want {
		t.Fatalf("%%+v printed %q, want one line", got)
	}
	var e *Error
	if !errors.As(err, &e) || !strings.Contains(e.Stack(), "TestNewPrintsMessageAndRemedyOnly") {
		t.Fatal("the stack trace does not name the caller")
	}
}
