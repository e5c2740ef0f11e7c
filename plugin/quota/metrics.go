package quota

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// topTeams is the number of teams with a metric of their own.
const topTeams = 16

// counters are the metrics of the plug-in.
type counters struct {
	reg                               metrics.Registry
	granted, refused, isolated, asked metrics.Counter

	mu        sync.Mutex
	byTeam    map[string]int64 // requests refused here
	published []string
}

func newCounters(reg metrics.Registry) *counters {
	return &counters{
		reg: reg, byTeam: map[string]int64{},
		granted:  metrics.GetOrRegisterCounter("quota.granted", reg),
		refused:  metrics.GetOrRegisterCounter("quota.refused", reg),
		isolated: metrics.GetOrRegisterCounter("quota.isolated", reg),
		asked:    metrics.GetOrRegisterCounter("quota.asked", reg),
	}
}

// refuse counts a refused request of a team.
func (c *counters) refuse(team string) {
	c.refused.Inc(1)
	c.mu.Lock()
	c.byTeam[team]++
	c.mu.Unlock()
}

// teamMetric returns the name of the metric of a team. Characters that separate labels are
// replaced.
func teamMetric(team string) string { return "quota.team_refused?team=" + labelText.Replace(team) }

var labelText = strings.NewReplacer("?", "_", "&", "_", "=", "_")

// publishTop updates the metrics of the most refused teams.
func (c *counters) publishTop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	names := make([]string, 0, len(c.byTeam))
	for name := range c.byTeam {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.byTeam[b], c.byTeam[a]), cmp.Compare(a, b))
	})
	names = names[:min(len(names), topTeams)]
	for _, old := range c.published {
		if !slices.Contains(names, old) {
			c.reg.Unregister(teamMetric(old))
		}
	}
	for _, name := range names {
		counter := metrics.GetOrRegisterCounter(teamMetric(name), c.reg)
		counter.Inc(c.byTeam[name] - counter.Count())
	}
	c.published = slices.Clone(names)
}
