package profile

import (
	"cmp"
	"slices"

	"github.com/dogwoodhatch/dogwoodhatch/team"
)

// Snapshot is the state of all bindings at one point in time. It is immutable and safe
// for concurrent use.
type Snapshot struct {
	services map[string]activeProfile
	bindings []Binding
	teams    *team.Registry
	builtIn  *Profile
}

type activeProfile struct {
	profile  *Profile
	revision uint64
}

// Binding is the state of one service's binding at a node.
type Binding struct {
	Service  string `json:"service"`
	Profile  string `json:"profile"`            // name of the profile in force; "" for the built-in profile
	Revision uint64 `json:"revision"`           // revision of the profile in force
	Pending  string `json:"pending,omitempty"`  // profile of a binding that is not in force yet
	Needs    uint64 `json:"needs,omitempty"`    // minimum revision of that profile
	BoundAt  uint64 `json:"bound_at,omitempty"` // revision of the binding in force
}

// Snapshot returns the current state of all bindings.
func (c *Catalog) Snapshot() *Snapshot {
	if c.snapshot != nil {
		return c.snapshot
	}
	s := &Snapshot{services: make(map[string]activeProfile, len(c.services)), builtIn: BuiltIn(), teams: c.teams}
	for name, state := range c.services {
		if state.profile != nil {
			s.services[name] = activeProfile{state.profile, state.profileRevision}
		}
		s.bindings = append(s.bindings, state.binding(name))
	}
	slices.SortFunc(s.bindings, func(x, y Binding) int { return cmp.Compare(x.Service, y.Service) })
	c.snapshot = s
	return s
}

func (s *serviceState) binding(name string) Binding {
	out := Binding{Service: name, Profile: s.activeName, Revision: s.profileRevision, BoundAt: s.bindingRevision}
	if s.latestBinding != nil && s.bindingRevision != s.latestRevision {
		out.Pending = s.latestBinding.Profile
		out.Needs = s.latestBinding.Needs
	}
	return out
}

// ForService returns the profile in force for a service and the revision of that
// profile. For a service without a binding in force, it returns the built-in profile,
// 0 and false.
func (s *Snapshot) ForService(service string) (*Profile, uint64, bool) {
	if f, ok := s.services[service]; ok {
		return f.profile, f.revision, true
	}
	return s.builtIn, 0, false
}

// Teams returns the teams whose API keys callers outside must have, or nil if no keys are
// asked for.
func (s *Snapshot) Teams() *team.Registry { return s.teams }

// Bindings returns the state of all known bindings, ordered by service. The result
// must not be modified.
func (s *Snapshot) Bindings() []Binding { return s.bindings }
