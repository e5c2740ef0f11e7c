package kernel

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/team"
)

// QuotaRequest describes a request of a client for WithinQuota.
type QuotaRequest struct {
	ID       string
	Cohort   uint32 // of its chain, for log sampling
	Deadline time.Time
}

// WithinQuota executes a request of a client by do, within the quota of its team. t is nil
// for requests that no quota bounds: calls of backend servers, and requests on public
// routes or without teams. A token whose request no backend server has run is given back.
func (k *Kernel) WithinQuota(ctx context.Context, t *team.Team, r QuotaRequest, do func() (*Answer, error)) (*Answer, error) {
	if t == nil || !t.Quota.Limited() {
		return do()
	}
	token, refusal := k.Quotas.Take(ctx, t, r.Deadline)
	if refusal.Outcome == call.Refused {
		if k.Sampler.Keep(true, r.Cohort) {
			k.Log.Info("quota_refused", zap.String("request", r.ID), zap.String("team", t.Name), zap.Float64("per_second", t.Quota.PerSecond),
				zap.Float64("burst", t.Quota.Burst), zap.Duration("retry_after", refusal.RetryAfter), zap.String("decided_by", token.DecidedBy))
		}
		return &Answer{Result: refusal, Trailer: &Trailer{}}, nil
	}
	ans, err := do()
	if err != nil || ans.Outcome == call.Refused {
		k.Quotas.Return(token)
	}
	return ans, err
}
