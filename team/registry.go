package team

import (
	"crypto/sha256"
	"math"
	"strings"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

const (
	// MaxTeams bounds the teams of one desired state, and thereby the memory of a node.
	MaxTeams = 10_000
	// MaxRate bounds the rate and the burst of a quota, in requests per second and in
	// requests.
	MaxRate = 1e9
	// MaxNameBytes bounds the name of a team, which travels with each of its calls.
	MaxNameBytes = 1024
)

// Digest is the SHA-256 digest of an API key. Keys are compared by digest, so that the
// time of a comparison says nothing about the key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Definition is a team with the digests of its keys.
type Definition struct {
	Team
	Keys []Digest
}

// Registry holds the teams of one desired state by the digests of their keys. It is
// immutable, and holds no key.
type Registry struct {
	teams  []*Team
	byName map[string]*Team
	byKey  map[Digest]*Team
}

// NewRegistry checks the definitions and returns a registry of them. The error is of
// kind errs.Invalid; it names the team, and no key.
func NewRegistry(defs []Definition) (*Registry, error) {
	if len(defs) > MaxTeams {
		return nil, errs.New(errs.Invalid, "define fewer teams", "%d teams, more than %d", len(defs), MaxTeams)
	}
	r := &Registry{teams: make([]*Team, 0, len(defs)), byName: make(map[string]*Team, len(defs)), byKey: make(map[Digest]*Team, len(defs))}
	for i := range defs {
		t := &defs[i].Team
		if err := checkTeam(t); err != nil {
			return nil, err
		}
		if r.byName[t.Name] != nil {
			return nil, errs.New(errs.Invalid, "give each team a name of its own", "two teams are named %q", t.Name)
		}
		if err := r.add(*t, defs[i].Keys); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func (r *Registry) add(t Team, keys []Digest) error {
	r.teams = append(r.teams, &t)
	r.byName[t.Name] = &t
	for _, d := range keys {
		switch holder := r.byKey[d]; holder {
		case nil:
			r.byKey[d] = &t
		case &t:
			return errs.New(errs.Invalid, "list each key once", "team %q lists a key twice", t.Name)
		default:
			return errs.New(errs.Invalid, "give each key to one team", "teams %q and %q hold the same key", holder.Name, t.Name)
		}
	}
	return nil
}

func checkTeam(t *Team) error {
	if t.Name == "" {
		return errs.New(errs.Invalid, "give each team a name", "a team has no name")
	}
	if !isHeaderValue(t.Name) {
		return errs.New(errs.Invalid, "use a name of printable characters that neither begins nor ends with a space", "the name of team %.64q cannot be the value of a header", t.Name)
	}
	if !validRate(t.Quota.PerSecond) || !validRate(t.Quota.Burst) {
		return errs.New(errs.Invalid, "use rates from 0 to 1e9", "team %q has the rate %v and the burst %v", t.Name, t.Quota.PerSecond, t.Quota.Burst)
	}
	return nil
}

func validRate(v float64) bool { return v >= 0 && v <= MaxRate && !math.IsNaN(v) }

// isHeaderValue reports whether a name reaches the backend server unchanged as the value
// of a header (RFC 9110, section 5.5).
func isHeaderValue(name string) bool {
	if len(name) > MaxNameBytes || strings.TrimSpace(name) != name {
		return false
	}
	for i := range len(name) {
		if c := name[i]; c < ' ' || c == 0x7f {
			return false
		}
	}
	return true
}

// Len returns the number of teams; 0 for a nil registry.
func (r *Registry) Len() int {
	if r == nil {
		return 0
	}
	return len(r.teams)
}

// All returns the teams in the order of their definition. The slice must not be modified.
func (r *Registry) All() []*Team { return r.teams }

// Find returns the team with a name, or nil. A nil registry has none.
func (r *Registry) Find(name string) *Team {
	if r == nil {
		return nil
	}
	return r.byName[name]
}

// Authenticate returns the team that holds the key in the credentials, which are the
// values of all Authorization headers of a request.
func (r *Registry) Authenticate(credentials []string) (*Team, bool) {
	key, ok := bearerKey(credentials)
	if !ok {
		return nil, false
	}
	t, ok := r.byKey[DigestOf(key)]
	return t, ok
}

// Cause says why credentials were rejected.
type Cause string

// Causes of a rejection.
const (
	CauseMissing   Cause = "missing"   // no Authorization header
	CauseMalformed Cause = "malformed" // several headers, another scheme, or no key
	CauseUnknown   Cause = "unknown"   // a key that no team holds
)

// RejectionCause returns why Authenticate has rejected the credentials.
func RejectionCause(credentials []string) Cause {
	if len(credentials) == 0 {
		return CauseMissing
	}
	if _, ok := bearerKey(credentials); !ok {
		return CauseMalformed
	}
	return CauseUnknown
}

const bearerScheme = "Bearer"

// bearerKey returns the key in a single credential of scheme Bearer (RFC 6750, section
// 2.1). The scheme is compared case-insensitively (RFC 9110, section 11.1).
func bearerKey(credentials []string) (string, bool) {
	if len(credentials) != 1 {
		return "", false
	}
	scheme, key, ok := strings.Cut(strings.Trim(credentials[0], " \t"), " ")
	key = strings.TrimLeft(key, " ")
	return key, ok && strings.EqualFold(scheme, bearerScheme) && key != "" && !strings.ContainsAny(key, " \t")
}
