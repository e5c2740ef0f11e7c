package admin

import (
	"context"
	"crypto/sha256"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/adminapi"
	"github.com/dogwoodhatch/dogwoodhatch/edge"
	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/publish"
)

// admin serves the administration address. It implements kernel.Plugin.
type admin struct {
	k      *kernel.Kernel
	server *edge.Server
}

func newAdmin(k *kernel.Kernel) *admin {
	a := &admin{k: k}
	mux := http.NewServeMux()
	mux.Handle("/v1/", a.api())
	reg := prometheus.NewRegistry()
	reg.MustRegister(collector{k.Metrics})
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /{$}", a.serveStatus)
	a.server = edge.NewControlServer(k, mux, adminapi.MaxBodyBytes)
	return a
}

// api returns the handler of the administration interface.
func (a *admin) api() http.Handler {
	deps := adminapi.Deps{
		Node: a.k.NodeID, Fleet: fleetAdapter{a.k}, Drainer: drainAdapter{a.k}, Profiles: a.k.Profiles, Log: a.k.Log,
		Publisher: unavailablePublisher{}, Quotas: quotasAdapter{a.k},
	}
	if a.k.Store != nil {
		cfg := publish.DefaultConfig()
		cfg.Admins = a.k.Settings.Admin.Admins
		deps.Publisher = refreshingPublisher{
			Publisher: publish.New(a.k.Store, cfg, time.Now),
			profiles:  a.k.Profiles,
		}
	}
	for name, token := range a.k.Settings.Admin.Credentials {
		deps.Credentials = append(deps.Credentials, adminapi.Credential{Name: name, Hash: sha256.Sum256([]byte(token))})
	}
	return adminapi.New(deps)
}

// Start implements kernel.Plugin.
func (a *admin) Start(context.Context) error {
	ln, err := net.Listen("tcp", a.k.Settings.Listen.Admin)
	if err != nil {
		return errs.Wrap(err, errs.Unavailable, "free the port or change admin in section listen", "cannot listen for operators on %s", a.k.Settings.Listen.Admin)
	}
	go func() {
		if err := a.server.Serve(ln); err != http.ErrServerClosed {
			a.k.Log.Error("listener_failed", zap.Stringer("addr", ln.Addr()), zap.Error(err))
		}
	}()
	return nil
}

// Stop implements kernel.Plugin.
func (a *admin) Stop(ctx context.Context) error { return a.server.Shutdown(ctx) }

// fleetAdapter implements adminapi.Fleet with the members that the node knows.
type fleetAdapter struct{ k *kernel.Kernel }

// Members implements adminapi.Fleet.
func (f fleetAdapter) Members() []adminapi.Member {
	var out []adminapi.Member
	for _, m := range f.k.Fleet.All() {
		out = append(out, adminapi.Member{
			Node: m.ID, Service: m.Service, Addr: m.Addr, Region: m.Region, FailureDomain: m.Domain, State: m.State.String(),
		})
	}
	return out
}

// quotasAdapter implements adminapi.Quotas.
type quotasAdapter struct{ k *kernel.Kernel }

// QuotaUses implements adminapi.Quotas.
func (q quotasAdapter) QuotaUses(ctx context.Context) adminapi.QuotaReport {
	uses, err := q.k.Quotas.Uses(ctx)
	report := adminapi.QuotaReport{Teams: []adminapi.QuotaUse{}}
	for _, u := range uses {
		report.Teams = append(report.Teams, adminapi.QuotaUse{
			Team: u.Team, PerSecond: u.Limit.Quota.PerSecond, Burst: u.Limit.Quota.Burst, WindowSeconds: u.Limit.Window.Seconds(),
			Granted: u.Granted, Refused: u.Refused,
		})
	}
	if err != nil {
		report.Missing = err.Error()
	}
	return report
}

// drainAdapter implements adminapi.Drainer with the graceful shutdown of the node.
type drainAdapter struct{ k *kernel.Kernel }

// Drain implements adminapi.Drainer.
func (d drainAdapter) Drain() error {
	d.k.Drain.Request()
	return nil
}

// Draining implements adminapi.Drainer.
func (d drainAdapter) Draining() bool { return d.k.Drain.Leaving() }
