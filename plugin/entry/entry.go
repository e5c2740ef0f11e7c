package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/edge"
	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
)

const (
	maxAnnounceBytes = 4 << 10

	// BackendPath is the path on the local listener where the backend server announces
	// itself.
	BackendPath = "/dogwoodhatch/v1/backend"
)

// entry holds the listeners for callers. It implements kernel.Plugin.
type entry struct {
	k            *kernel.Kernel
	log          *zap.Logger
	servers      []*edge.Server
	unauthorized metrics.Counter // requests without a known API key
}

func newEntry(k *kernel.Kernel) *entry {
	return &entry{k: k, log: k.Log, unauthorized: metrics.GetOrRegisterCounter("requests.unauthorized", k.Metrics)}
}

// Start implements kernel.Plugin.
func (e *entry) Start(context.Context) error {
	if e.k.Settings.Listen.Outside != "" {
		outside := http.NewServeMux()
		outside.HandleFunc("/", e.serveOutside)
		if err := e.listen(e.k.Settings.Listen.Outside, "outside", outside); err != nil {
			return err
		}
	}
	if e.k.Settings.Listen.Local == "" {
		return nil
	}
	local := http.NewServeMux()
	local.HandleFunc("PUT "+BackendPath, e.serveAnnounce)
	local.HandleFunc("DELETE "+BackendPath, e.serveWithdraw)
	local.HandleFunc("/", e.serveLocal)
	return e.listen(e.k.Settings.Listen.Local, "local", local)
}

// listen starts serving h at addr. key is the settings key of the address.
func (e *entry) listen(addr, key string, h http.Handler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return errs.Wrap(err, errs.Unavailable, "free the port or change "+key+" in section listen", "cannot listen for callers on %s", addr)
	}
	opts := edge.DefaultServerOptions()
	opts.MaxBodyBytes = func() int64 { return int64(max(e.k.Settings.Limits.MaxRequestBytes, maxAnnounceBytes)) }
	opts.Bodies = e.k.Bodies
	opts.Heads = e.k.Heads
	opts.MaxConns = e.k.CallerConns()
	opts.RefuseHead = func(w http.ResponseWriter) { writeRefusal(w, call.ReasonHeadRoom, 0) }
	srv := edge.NewServer(h, opts, e.log)
	e.servers = append(e.servers, srv)
	go func() {
		if err := srv.Serve(ln); err != http.ErrServerClosed {
			e.log.Error("listener_failed", zap.String("addr", addr), zap.Error(err))
		}
	}()
	return nil
}

// Stop implements kernel.Plugin.
func (e *entry) Stop(ctx context.Context) error {
	var firstErr error
	for _, s := range e.servers {
		if err := s.Shutdown(ctx); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// serveAnnounce handles the announcement of the backend server.
func (e *entry) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var b kernel.BackendInfo
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnounceBytes)).Decode(&b)
	if err != nil {
		http.Error(w, "the announcement is malformed; send {\"service\":NAME,\"address\":HOST:PORT}", http.StatusBadRequest)
		return
	}
	if !membership.IsCallable(b.Address) || b.Service == "" {
		http.Error(w, "the announcement needs a service name and an address as HOST:PORT", http.StatusBadRequest)
		return
	}
	if b.Slots < 0 || b.Slots > membership.MaxSlots {
		http.Error(w, fmt.Sprintf("the announcement needs 0 to %d slots", membership.MaxSlots), http.StatusBadRequest)
		return
	}
	if own := e.k.LocalService(); own != "" && b.Service != own {
		http.Error(w, fmt.Sprintf("the backend server of this node is of service %q by its settings; announce to the node of its VM, or correct the settings", own), http.StatusBadRequest)
		return
	}
	if e.k.Drain.Leaving() {
		http.Error(w, "this node is leaving; announce again once it was replaced", http.StatusServiceUnavailable)
		return
	}
	e.k.Target.AnnounceBackend(b)
	w.WriteHeader(http.StatusOK)
}

// serveWithdraw withdraws the announcement. The backend server then gets no new
// calls, and running calls finish.
func (e *entry) serveWithdraw(w http.ResponseWriter, _ *http.Request) {
	e.k.Target.WithdrawBackend()
	w.WriteHeader(http.StatusOK)
}
