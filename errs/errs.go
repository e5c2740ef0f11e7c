// Package errs defines the errors of dogwoodhatch. Each has a kind, a message and a
// remedy that tells the reader what to do.
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
	Internal     Kind = iota // a bug in the program
	Invalid                  // malformed input
	Conflict                 // the state changed since the caller read it
	NotFound                 // the requested object does not exist
	Unavailable              // a dependency does not respond
	Unknown                  // whether an operation took effect is not known
	Denied                   // the credential does not allow the operation
	Gone                     // the requested data is no longer retained
	Unauthorized             // the request has no valid credential
)

var kindNames = [...]string{"internal", "invalid", "conflict", "not_found", "unavailable", "unknown", "denied", "gone", "unauthorized"}

// String returns the name used in logs and API responses.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return fmt.Sprintf("kind(%d)", uint8(k))
}

// Error is an error with a kind and a remedy.
type Error struct {
	Kind    Kind
	Message string
	Remedy  string
	cause   error
	stack   error // stack trace of New; nil for wrapped errors
}

// New returns an error with a stack trace. The remedy says what the reader can do.
func New(kind Kind, remedy, format string, args ...any) error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy, stack: eris.New(kind.String())}
}

// Wrap returns an error of the given kind caused by err. It records no stack trace.
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

// Stack returns the stack trace of New, or "" for wrapped errors. It is not part of the
// message, so that log entries stay on one line.
func (e *Error) Stack() string {
	if e.stack == nil {
		return ""
	}
	return eris.ToString(e.stack, true)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// KindOf returns the kind of the first Error in the chain of err, or Internal if there
// is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// RemedyOf returns the remedy of the first Error in the chain of err, or "" if there is
// none.
func RemedyOf(err error) string {
	var e *Error
	if errors.As(err, &e) {
		return e.Remedy
	}
	return ""
}
