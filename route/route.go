// Package route holds the desired state of routes: which service a request goes
// to by its host and path, and how it is treated. The package does no I/O.
package route

import (
	"cmp"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
)

// Rule states where the requests below a path of a host go.
type Rule struct {
	Name     string
	Host     string
	Prefix   string // begins and ends with a slash
	Class    profile.Class
	MaxSends int // backend servers that may get one request, 0 for any number
	Targets  []Target

	mu     sync.Mutex
	credit []int // of each target, for the smooth weighted order
}

// ChainRetries is the retry allowance of a whole call chain that begins with a
// request of a rule; MaxSends bounds each call of the chain besides.
const ChainRetries = 4

// Target is one service of a rule.
type Target struct {
	Service string
	Weight  int // its share of the requests; one target has all
}

// Pick returns the service for the next request. Shares follow the weights
// closely over few requests: the target with the most credit is next, as in the
// smooth weighted round robin of common load balancers.
func (r *Rule) Pick() string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.credit == nil {
		r.start()
	}
	best, total := 0, 0
	for i, t := range r.Targets {
		r.credit[i] += t.Weight
		total += t.Weight
		if r.credit[i] > r.credit[best] {
			best = i
		}
	}
	r.credit[best] -= total
	return r.Targets[best].Service
}

// start begins at a random position, so that nodes do not choose in step.
func (r *Rule) start() {
	r.credit = make([]int, len(r.Targets))
	for i, t := range r.Targets {
		if t.Weight > 0 {
			r.credit[i] = rand.IntN(t.Weight)
		}
	}
}

// Table is one version of the desired state.
type Table struct {
	Version uint64
	Limits  Limits
	hosts   map[string][]*Rule // longest prefix first
	rules   int
}

// Limits bound what a caller may send; 0 sets no bound.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
}

// NewTable returns a table of rules.
func NewTable(version uint64, rules []*Rule, limits Limits) *Table {
	t := &Table{Version: version, Limits: limits, hosts: map[string][]*Rule{}, rules: len(rules)}
	for _, r := range rules {
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *Rule) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Len returns the number of rules.
func (t *Table) Len() int { return t.rules }

// Lookup returns the rule of the host with the longest prefix that begins the
// path, or nil.
func (t *Table) Lookup(host, path string) *Rule {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// ActiveTable keeps the newest table. It is safe for concurrent use.
type ActiveTable struct{ current atomic.Pointer[Table] }

// Activate puts a table into force unless one of the same or a higher version is.
func (b *ActiveTable) Activate(t *Table) bool {
	for {
		old := b.current.Load()
		if old != nil && old.Version >= t.Version {
			return false
		}
		if b.current.CompareAndSwap(old, t) {
			return true
		}
	}
}

// Current returns the table in force, or nil.
func (b *ActiveTable) Current() *Table { return b.current.Load() }

// Resolve returns the rule for a request, or an error of kind errs.Unavailable
// without a desired state and of kind errs.NotFound without a rule.
func (b *ActiveTable) Resolve(host, path string) (*Rule, error) {
	t := b.current.Load()
	if t == nil {
		return nil, errs.New(errs.Unavailable, "try again in a moment", "this node knows no desired state yet")
	}
	if r := t.Lookup(host, path); r != nil {
		return r, nil
	}
	return nil, errs.New(errs.NotFound, "check host and path", "version %d has no route for %s%s", t.Version, host, path)
}
