package profile

import (
	"cmp"
	"slices"
)

// Snapshot is what is in force at one moment. It does not change and is safe
// for concurrent use.
type Snapshot struct {
	services map[string]inForce
	bindings []Binding
	builtIn  *Profile
}

type inForce struct {
	profile  *Profile
	revision uint64
}

// Binding is the state of one service's binding at a node.
type Binding struct {
	Service  string `json:"service"`
	Profile  string `json:"profile"`            // in force; "" is the built-in profile
	Revision uint64 `json:"revision"`           // of the profile in force
	Pending  string `json:"pending,omitempty"`  // profile of a binding that waits
	Needs    uint64 `json:"needs,omitempty"`    // revision for which it waits
	BoundAt  uint64 `json:"bound_at,omitempty"` // revision of the binding in force
}

// Snapshot returns what is in force now.
func (b *Catalog) Snapshot() *Snapshot {
	if b.snapshot != nil {
		return b.snapshot
	}
	s := &Snapshot{services: make(map[string]inForce, len(b.services)), builtIn: BuiltIn()}
	for name, held := range b.services {
		if held.profile != nil {
			s.services[name] = inForce{held.profile, held.at}
		}
		s.bindings = append(s.bindings, held.binding(name))
	}
	slices.SortFunc(s.bindings, func(x, y Binding) int { return cmp.Compare(x.Service, y.Service) })
	b.snapshot = s
	return s
}

func (s *heldService) binding(name string) Binding {
	out := Binding{Service: name, Profile: s.source, Revision: s.at, BoundAt: s.sourceAt}
	if s.record != nil && s.sourceAt != s.revision {
		out.Pending = s.record.Profile
		out.Needs = s.record.Needs
	}
	return out
}

// ForService returns the profile in force for a service and its revision. For a
// service without a binding in force it returns the built-in profile and false.
func (s *Snapshot) ForService(service string) (*Profile, uint64, bool) {
	if f, ok := s.services[service]; ok {
		return f.profile, f.revision, true
	}
	return s.builtIn, 0, false
}

// Bindings returns the state of every known binding, ordered by service. The
// result must not be changed.
func (s *Snapshot) Bindings() []Binding { return s.bindings }
