package adminapi

import (
	"net/http"

	"go.uber.org/zap"
)

// members lists the members, or only those of the service that the query names.
func (a *api) members(w http.ResponseWriter, r *http.Request, _ string) error {
	service := r.URL.Query().Get("service")
	list := []Member{}
	for _, m := range a.Fleet.Members() {
		if service == "" || m.Service == service {
			list = append(list, m)
		}
	}
	return writeJSON(w, http.StatusOK, list)
}

func (a *api) status(w http.ResponseWriter, _ *http.Request, _ string) error {
	return writeJSON(w, http.StatusOK, Status{
		Node:     a.Node,
		Draining: a.Drainer.Draining(),
		Members:  len(a.Fleet.Members()),
		Revision: a.Profiles.HighestRevision(),
		Bindings: a.Profiles.Snapshot().Bindings(),
	})
}

// quotas reports the use of the quotas of teams over all nodes.
func (a *api) quotas(w http.ResponseWriter, r *http.Request, _ string) error {
	report := QuotaReport{Teams: []QuotaUse{}}
	if a.Quotas != nil {
		report = a.Quotas.QuotaUses(r.Context())
	}
	return writeJSON(w, http.StatusOK, report)
}

func (a *api) drain(w http.ResponseWriter, _ *http.Request, author string) error {
	err := a.Drainer.Drain()
	a.Log.Info("drain", zap.String("author", author), zap.String("node", a.Node), zap.Error(err))
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusAccepted, struct {
		Draining bool `json:"draining"`
	}{true})
}
