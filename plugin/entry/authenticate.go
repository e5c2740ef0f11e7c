package entry

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/team"
)

// authenticate returns the team whose API key a request from outside has, or nil if no
// keys are asked for. Without a known key it answers the caller and reports false. It does
// not read the body.
func (e *entry) authenticate(w http.ResponseWriter, r *http.Request) (*team.Team, bool) {
	teams := e.k.Profiles.Snapshot().Teams()
	if teams == nil {
		return nil, true
	}
	if b := &e.k.Settings.Bounds; b.RevokeFailClosed && e.k.Replica.ProofAge() > b.Revoke {
		if id := r.Header.Get(HeaderRequestID); e.k.Sampler.Keep(true, 0) {
			e.log.Info("request_refused", zap.String("request", id), zap.String("host", r.Host), zap.String("reason", string(call.ReasonStaleState)))
		}
		writeRefusal(w, call.ReasonStaleState, 0)
		return nil, false
	}
	credentials := r.Header.Values("Authorization")
	t, ok := teams.Authenticate(credentials)
	if !ok {
		e.unauthorized.Inc(1)
		e.log.Info("request_unauthorized", zap.String("request", r.Header.Get(HeaderRequestID)), zap.String("host", r.Host),
			zap.String("cause", string(team.RejectionCause(credentials))))
		setOutcome(w, call.Refused, call.ReasonUnauthorized)
		w.Header().Set("WWW-Authenticate", "Bearer")
		http.Error(w, "refused and not run; send Authorization: Bearer KEY with a known key", http.StatusUnauthorized)
	}
	return t, ok
}
