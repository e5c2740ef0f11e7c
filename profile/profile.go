// Package profile defines profiles, which operators write, the records in which
// profiles are stored and exchanged between nodes, and the catalog of the records
// that a node has received. The package does no I/O.
package profile

import (
	"path"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// Class defines how matching calls are handled.
type Class struct {
	Name string

	// Priority decides which calls are shed first under overload.
	Priority call.Priority

	// Deadline is the maximum time from the arrival of a call at the first node
	// to its complete answer. With a longer deadline, more slow calls are answered,
	// but calls occupy slots for longer when a service slows down.
	Deadline time.Duration

	// Retries is the retry allowance of the whole call chain. A retry can rescue a
	// call that reached a broken or overloaded backend server, but adds load.
	Retries int

	// Idempotent means that a call may be retried even if it may have been executed.
	// Other calls are retried only after proof that they were not executed.
	Idempotent bool

	// Objective is the time within which an answer is worth most; 0 if only the
	// deadline counts.
	Objective time.Duration

	// Methods are the HTTP methods that match; empty matches every method.
	Methods []string

	// Paths are the paths that match: "/x" matches exactly, "/x/*" matches
	// everything below "/x/".
	Paths []string
}

// Profile defines how the calls of a service are handled under overload.
type Profile struct {
	Name string

	// Owners are the names of the credentials that may change the profile.
	// If it is empty, the owners do not change.
	Owners []string

	// Classes are the classes for calls that arrive from outside.
	Classes []Class

	// Default is the class of calls that match none of Classes.
	Default Class

	// SubCall is the class of sub-calls without a call context. It has the lowest
	// priority and no retries.
	SubCall Class

	// nonIdempotentDefault replaces Default for methods that HTTP does not define
	// as idempotent.
	nonIdempotentDefault Class
}

// BuiltIn returns the profile of a service that is not bound to one.
func BuiltIn() *Profile {
	p := newProfile("built-in")
	p.deriveDefaults()
	return p
}

// Values used where a profile sets none.
const (
	defaultDeadline        = 2 * time.Second
	defaultSubCallDeadline = time.Second

	defaultClassName = "default"
	subCallClassName = "sub-call"
)

func newProfile(name string) *Profile {
	return &Profile{
		Name:    name,
		Default: Class{Name: defaultClassName, Priority: call.PriorityLow, Deadline: defaultDeadline},
		SubCall: Class{Name: subCallClassName, Priority: call.PriorityLow, Deadline: defaultSubCallDeadline},
	}
}

// deriveDefaults sets the fields that Match derives from Default. Call it before the
// first Match.
func (p *Profile) deriveDefaults() {
	p.nonIdempotentDefault = p.Default
	p.nonIdempotentDefault.Idempotent = false
}

// Match returns the class of a call from outside: the class with the most specific
// matching path; among equal paths the class that lists the method; or Default if no
// class matches. urlPath is the decoded path of the URL. Empty, "." and ".." segments
// and a trailing slash do not affect the result. For a method that HTTP does not
// define as idempotent, the returned Default is never idempotent. The result points
// into p and must not be modified.
func (p *Profile) Match(method, urlPath string) *Class {
	clean := path.Clean("/" + urlPath)
	var best *Class
	var bestRank rank
	for i := range p.Classes {
		c := &p.Classes[i]
		r, ok := c.rank(method, clean, strings.HasSuffix(urlPath, "/"))
		if ok && (best == nil || bestRank.less(r)) {
			best, bestRank = c, r
		}
	}
	if best != nil {
		return best
	}
	if !isIdempotentMethod(method) {
		return &p.nonIdempotentDefault
	}
	return &p.Default
}

// rank is how specific a match is.
type rank struct {
	exact       bool
	prefix      int // length of the matching prefix in bytes
	namesMethod bool
}

func (r rank) less(other rank) bool {
	if r.exact != other.exact {
		return other.exact
	}
	if r.prefix != other.prefix {
		return r.prefix < other.prefix
	}
	return !r.namesMethod && other.namesMethod
}

// rank returns how specifically c matches a method and a cleaned path, and false if it
// does not match. trailingSlash says whether the path ended with a slash before it was
// cleaned.
func (c *Class) rank(method, clean string, trailingSlash bool) (rank, bool) {
	namesMethod := slices.Contains(c.Methods, method)
	if len(c.Methods) > 0 && !namesMethod {
		return rank{}, false
	}
	var best rank
	found := false
	for _, pattern := range c.Paths {
		r, ok := rankPath(pattern, clean, trailingSlash)
		if !ok {
			continue
		}
		r.namesMethod = namesMethod
		if !found || best.less(r) {
			best, found = r, true
		}
	}
	return best, found
}

// rankPath returns how specifically a pattern matches a cleaned path, and false if it
// does not match. With a trailing slash, "/x/" also matches "/x/*".
func rankPath(pattern, clean string, trailingSlash bool) (rank, bool) {
	prefix, wildcard := strings.CutSuffix(pattern, "*")
	if !wildcard {
		return rank{exact: true}, pattern == clean
	}
	if strings.HasPrefix(clean, prefix) || (trailingSlash && clean+"/" == prefix) {
		return rank{prefix: len(prefix)}, true
	}
	return rank{}, false
}

// isIdempotentMethod reports whether RFC 9110 defines the method as idempotent.
func isIdempotentMethod(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	}
	return false
}
