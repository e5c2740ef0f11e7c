package directory

import (
	"strings"

	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
)

// view is an immutable copy of the membership for the traffic goroutines.
type view struct {
	version  uint64
	all      []membership.Member
	services map[string][]membership.Member
}

func newView(all []membership.Member, version uint64) *view {
	v := &view{version: version, all: all, services: map[string][]membership.Member{}}
	for _, m := range all {
		if m.Service != "" {
			v.services[m.Service] = append(v.services[m.Service], m)
		}
	}
	return v
}

// publish replaces the view if the membership has changed; it runs on the
// control goroutine.
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

// isRecord tells whether the key holds a record of the operators.
func isRecord(key string) bool {
	_, _, ok := profile.SplitKey(key)
	return ok
}
