// Package profile holds the operators' profiles, the records that carry them
// through the store and between nodes, and the book in which a node keeps the
// records that it has learned. The package does no I/O.
package profile

import (
	"path"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

// Class states how the calls that match it are treated.
type Class struct {
	Name string

	// Priority decides which calls are shed first under overload.
	Priority call.Priority

	// Deadline is the time that a call may take, from its arrival at the first
	// node until its complete answer. A longer deadline gives an answer more
	// time, and keeps a slot for longer when a service slows.
	Deadline time.Duration

	// Retries is the retry allowance of the whole call chain. Each retry may
	// save a call that met a broken or overloaded backend server, and adds load.
	Retries int

	// Idempotent says that a call that may have run can be sent again. A call
	// that is not idempotent is sent again only after proof that it did not run.
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

// Profile states how the calls of a service are treated under pressure.
type Profile struct {
	Name string

	// Owners are the names of the credentials that may change the profile.
	// Empty leaves the owners as they are.
	Owners []string

	// Classes are the classes of the calls that arrive from outside.
	Classes []Class

	// Default applies to calls that match no class.
	Default Class

	// SubCall applies to sub-calls that carry no context. It has the lowest
	// priority and no retries.
	SubCall Class

	// nonIdempotentDefault is Default for methods that HTTP does not define as
	// idempotent.
	nonIdempotentDefault Class
}

// BuiltIn returns the profile of a service that is not bound to one.
func BuiltIn() *Profile {
	p := newProfile("built-in")
	p.finish()
	return p
}

// Defaults of a profile that does not set them.
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

// finish derives what Match needs.
func (p *Profile) finish() {
	p.nonIdempotentDefault = p.Default
	p.nonIdempotentDefault.Idempotent = false
}

// Match returns the class of a call from outside: the class with the most
// specific path, then the one that names the method, else Default. The path is
// the decoded path of the URL; empty, "." and ".." segments and a trailing
// slash do not change the class. A call by a method that HTTP does not define
// as idempotent never gets an idempotent Default. The result points into p and
// must not be changed.
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
	if !idempotentMethod(method) {
		return &p.nonIdempotentDefault
	}
	return &p.Default
}

// rank orders matches by how specific they are.
type rank struct {
	exact  bool
	prefix int // length of the matching prefix in bytes
	method bool
}

func (r rank) less(o rank) bool {
	if r.exact != o.exact {
		return o.exact
	}
	if r.prefix != o.prefix {
		return r.prefix < o.prefix
	}
	return !r.method && o.method
}

// rank returns how specifically c matches a cleaned path.
func (c *Class) rank(method, clean string, trailingSlash bool) (rank, bool) {
	named := slices.Contains(c.Methods, method)
	if len(c.Methods) > 0 && !named {
		return rank{}, false
	}
	var best rank
	found := false
	for _, pattern := range c.Paths {
		r, ok := rankPath(pattern, clean, trailingSlash)
		if !ok {
			continue
		}
		r.method = named
		if !found || best.less(r) {
			best, found = r, true
		}
	}
	return best, found
}

func rankPath(pattern, clean string, trailingSlash bool) (rank, bool) {
	prefix, wild := strings.CutSuffix(pattern, "*")
	if !wild {
		return rank{exact: true}, pattern == clean
	}
	if strings.HasPrefix(clean, prefix) || (trailingSlash && clean+"/" == prefix) {
		return rank{prefix: len(prefix)}, true
	}
	return rank{}, false
}

// idempotentMethod says whether RFC 9110 defines the method as idempotent.
func idempotentMethod(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	}
	return false
}
