package directory

import (
	"strings"

	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
)

// membershipView is an immutable copy of the membership, read by the goroutines that
// serve traffic.
type membershipView struct {
	version  uint64
	all      []membership.Member
	services map[string][]membership.Member
}

func newView(all []membership.Member, version uint64) *membershipView {
	v := &membershipView{version: version, all: all, services: map[string][]membership.Member{}}
	for _, m := range all {
		if m.Service != "" {
			v.services[m.Service] = append(v.services[m.Service], m)
		}
	}
	return v
}

// publish replaces the view if the membership has changed. It runs on the control
// goroutine.
func (d *directory) publish() {
	if version := d.fleet.Version(); version != d.view.Load().version {
		d.view.Store(newView(d.fleet.All(), version))
	}
}

// Version implements kernel.Fleet.
func (d *directory) Version() uint64 { return d.view.Load().version }

// Members implements kernel.Fleet.
func (d *directory) Members(service string) []membership.Member {
	return d.view.Load().services[service]
}

// All implements kernel.Fleet.
func (d *directory) All() []membership.Member { return d.view.Load().all }

func hasPrefix(key, prefix string) bool { return strings.HasPrefix(key, prefix) }

// isOperatorRecord reports whether the key belongs to a record written by operators.
func isOperatorRecord(key string) bool {
	_, _, ok := profile.SplitKey(key)
	return ok
}
