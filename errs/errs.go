// Package errs defines the typed errors of dogwoodhatch. Each has a kind, a
// message, and a remedy that tells the reader what to do.
package errs

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"
)

// Kind classifies an error.
type Kind uint8

// Kinds of errors.
const (
	Internal    Kind = iota // a fault of the program
	Invalid                 // malformed input
	Conflict                // the state changed under the caller
	NotFound                // the named thing does not exist
	Unavailable             // a dependency does not answer
	Unknown                 // the effect of an operation is not known
	Denied                  // the credential does not allow the operation
	Gone                    // what was asked for is no longer kept
)

var kindNames = [...]string{"internal", "invalid", "conflict", "not_found", "unavailable", "unknown", "denied", "gone"}

// String returns the name used in logs and API answers.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// Error is an error of a kind with a remedy.
type Error struct {
	Kind    Kind
	Message string
	Remedy  string
	cause   error
	stack   error // holds the place where the error was made
}

// New returns an error with a stack trace; remedy says what the reader can do.
func New(kind Kind, remedy, format string, args ...any) error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy, stack: eris.New(kind.String())}
}

// Wrap returns an error of the given kind caused by err.
func Wrap(err error, kind Kind, remedy, format string, args ...any) error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy, cause: err}
}

// Error returns the message, the cause and the remedy.
func (e *Error) Error() string {
	s := e.Message
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	if e.Remedy != "" {
		s += "; " + e.Remedy
	}
	return s
}

// Stack returns the calls that led to New, for a debugger; it is not part of
// the message, so that a log line stays one line.
func (e *Error) Stack() string {
	if e.stack == nil {
		return ""
	}
	return eris.ToString(e.stack, true)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of err, or Internal if it has none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// RemedyOf returns the remedy of err, or "" if it has none.
func RemedyOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Remedy
	}
	return ""
}
