// Package team holds the teams on whose behalf callers send requests: their API keys,
// priorities and quotas.
package team

import "github.com/dogwoodhatch/dogwoodhatch/call"

// Team is one team of the desired state. It is immutable.
type Team struct {
	Name     string
	Priority *call.Priority // takes precedence over that of the route; nil if not set
	Quota    Quota
}

// Quota bounds the requests of a team over all nodes.
type Quota struct {
	PerSecond float64 // requests per second; 0 for no limit
	Burst     float64 // requests beyond the rate
}

// Limited reports whether the quota bounds anything.
func (q Quota) Limited() bool { return q.PerSecond > 0 }
