// Package route holds the routing rules of the desired state: they map the host and
// path of a request to a service and to the class that it is handled by. The package
// does no I/O.
package route

import (
	"cmp"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/team"
)

// Rule routes the requests of a host whose path begins with a prefix.
type Rule struct {
	Name     string
	Host     string
	Prefix   string // begins and ends with a slash
	Public   bool   // needs no API key
	Class    profile.Class
	MaxSends int // backend servers that may receive one request, 0 for no limit
	Targets  []Target

	mu             sync.Mutex
	currentWeights []int // one per target, for smooth weighted round robin
}

// ChainRetries is the retry allowance of a whole call chain that begins with a
// request of a rule. MaxSends additionally limits each call of the chain.
const ChainRetries = 4

// Target is one service of a rule.
type Target struct {
	Service string
	Weight  int // relative share of the requests; ignored if the rule has one target
}

// Pick returns the service for the next request, by smooth weighted round robin as
// in common load balancers: the target with the highest current weight is next, so
// that shares match the weights closely even over few requests.
func (r *Rule) Pick() string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.currentWeights == nil {
		r.initWeights()
	}
	best, total := 0, 0
	for i, t := range r.Targets {
		r.currentWeights[i] += t.Weight
		total += t.Weight
		if r.currentWeights[i] > r.currentWeights[best] {
			best = i
		}
	}
	r.currentWeights[best] -= total
	return r.Targets[best].Service
}

// initWeights starts at a random position, so that nodes do not pick the same targets
// in lockstep.
func (r *Rule) initWeights() {
	r.currentWeights = make([]int, len(r.Targets))
	for i, t := range r.Targets {
		if t.Weight > 0 {
			r.currentWeights[i] = rand.IntN(t.Weight)
		}
	}
}

// Table is the set of rules and limits of one version of the desired state.
type Table struct {
	Version   uint64
	Limits    Limits
	Teams     *team.Registry     // nil: no API keys are asked for
	hosts     map[string][]*Rule // by lower-case host, longest prefix first
	ruleCount int
}

// Limits are the limits for requests of callers; 0 means no limit.
type Limits struct {
	MaxHeaderBytes int
	HeaderTimeout  time.Duration // in which the head of a request must arrive; 0 if not set
	IdleTimeout    time.Duration // after which an idle connection is closed; 0 if not set
	MaxBodyBytes   int64
}

// NewTable returns a table with these rules and limits.
func NewTable(version uint64, rules []*Rule, limits Limits) *Table {
	t := &Table{Version: version, Limits: limits, hosts: map[string][]*Rule{}, ruleCount: len(rules)}
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
func (t *Table) Len() int { return t.ruleCount }

// Names reports whether a rule leads to a service. A nil table has no rules.
func (t *Table) Names(service string) bool {
	if t == nil {
		return false
	}
	for _, rules := range t.hosts {
		for _, r := range rules {
			if slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service }) {
				return true
			}
		}
	}
	return false
}

// Lookup returns the rule of the host with the longest prefix of the path, or nil if
// no rule matches. It ignores the port and the case of host.
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

// ActiveTable holds the table with the highest version so far. It is safe for
// concurrent use.
type ActiveTable struct{ current atomic.Pointer[Table] }

// Activate puts a table into force and returns true, unless a table of the same or a
// higher version is in force.
func (a *ActiveTable) Activate(t *Table) bool {
	for {
		old := a.current.Load()
		if old != nil && old.Version >= t.Version {
			return false
		}
		if a.current.CompareAndSwap(old, t) {
			return true
		}
	}
}

// Current returns the table in force, or nil.
func (a *ActiveTable) Current() *Table { return a.current.Load() }

// Resolve returns the rule for a request and the table that holds it. The error is of
// kind errs.Unavailable if no table is in force, and of kind errs.NotFound if no rule
// matches.
func (a *ActiveTable) Resolve(host, path string) (*Rule, *Table, error) {
	t := a.current.Load()
	if t == nil {
		return nil, nil, errs.New(errs.Unavailable, "try again in a moment", "this node has not received a desired state yet")
	}
	if r := t.Lookup(host, path); r != nil {
		return r, t, nil
	}
	return nil, nil, errs.New(errs.NotFound, "check host and path", "version %d of the desired state has no route for %s%s", t.Version, host, path)
}
