package target

import (
	"context"
	"testing"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/lifecycle"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/route"
	"github.com/dogwoodhatch/dogwoodhatch/settings"
)

// targetOf returns the target of a node whose settings name a service. Routes lead to "rates"
// and "stock".
func targetOf(t *testing.T, service string) *target {
	target, f := startingTarget(t)
	close(f.asked)
	s := &settings.Settings{}
	s.Node.Service = service
	target.k.Reload(s)
	rule := func(name string) *route.Rule {
		return &route.Rule{Name: name, Host: "h", Prefix: "/" + name + "/", Targets: []route.Target{{Service: name, Weight: 1}}}
	}
	target.k.Routes.Activate(route.NewTable(1, []*route.Rule{rule("rates"), rule("stock")}, route.Limits{}))
	return target
}

// TestReportsOfOtherServicesAreRejected sends reports of other services beside a live backend
// server of the service in the settings. They must change nothing.
func TestReportsOfOtherServicesAreRejected(t *testing.T) {
	born := time.Now().UnixMilli()
	live := lifecycle.Report{Instance: "i", Born: born, Sequence: 3, Service: "rates", Address: "127.0.0.1:1"}
	future := time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC).UnixMilli()
	for name, r := range map[string]lifecycle.Report{
		"another instance":        {Instance: "x", Born: born + 1},
		"born in 2100":            {Instance: "x", Born: future},
		"same instance":           {Instance: "i", Born: born + 1},
		"drain of that instance":  {Instance: "i", Born: born, Sequence: 999_999, Draining: true},
		"drain of another":        {Instance: "x", Born: born + 1, Draining: true},
		"without the start time":  {Instance: "x"},
		"a later sequence number": {Instance: "i", Born: born, Sequence: 4},
	} {
		for _, service := range []string{"unnamed", "stock"} {
			r.Service, r.Address = service, "127.0.0.1:9"
			for _, before := range []bool{true, false} {
				if !before && service == "stock" {
					continue // nothing tells that the backend server of the settings will come
				}
				target := targetOf(t, "rates")
				if before {
					if err := target.Report(context.Background(), live); err != nil {
						t.Fatal(err)
					}
				}
				if err := target.Report(context.Background(), r); errs.KindOf(err) != errs.Invalid {
					t.Errorf("%s of %s: %v", name, service, err)
				}
				next := live
				next.Sequence++
				if err := target.Report(context.Background(), next); err != nil {
					t.Errorf("%s of %s, then the live one: %v", name, service, err)
				}
				if s := target.Status(); s.Leaving || s.Backend.Address != live.Address {
					t.Errorf("%s of %s: the live backend server is not in use: %+v", name, service, s.Backend)
				}
			}
		}
	}
}

// TestLegitimateStartsAreUsed lets other starts follow a live one: a release, a restart under the
// same id, and a backend server of another service at the address of one that has left, or after
// the settings were changed.
func TestLegitimateStartsAreUsed(t *testing.T) {
	ctx := context.Background()
	target := targetOf(t, "rates")
	check := func(what string, r lifecycle.Report) {
		t.Helper()
		if err := target.Report(ctx, r); err != nil {
			t.Errorf("%s: %v", what, err)
		}
		if s := target.Status(); s.Leaving || s.Backend != (kernel.BackendInfo{Instance: r.Instance, Service: r.Service, Address: r.Address}) {
			t.Errorf("%s is not in use: %+v", what, s)
		}
	}
	const address = "127.0.0.1:1"
	check("first start", lifecycle.Report{Instance: "i", Born: 1000, Sequence: 9, Service: "rates", Address: address})
	check("restart", lifecycle.Report{Instance: "i", Born: 2000, Sequence: 1, Service: "rates", Address: address})
	check("release", lifecycle.Report{Instance: "j", Born: 3000, Sequence: 1, Service: "rates", Address: "127.0.0.1:2"})
	target.BackendDeparted(ctx, membership.BackendStart{Instance: "j", Born: 3000})
	check("another service", lifecycle.Report{Instance: "k", Born: 4000, Sequence: 1, Service: "stock", Address: address})
	check("the service of the settings again", lifecycle.Report{Instance: "l", Born: 3500, Sequence: 1, Service: "rates", Address: address})
	changed := &settings.Settings{}
	changed.Node.Service = "stock"
	target.k.Reload(changed)
	check("the service of changed settings", lifecycle.Report{Instance: "m", Born: 5000, Sequence: 1, Service: "stock", Address: address})
	open := targetOf(t, "")
	target = open
	check("any service without one in the settings", lifecycle.Report{Instance: "n", Born: 6000, Sequence: 1, Service: "unnamed", Address: address})
}

// TestDisplacedBackendServerIsUsedAgain lets one report of the same service with a later birth
// displace a live backend server. It must be used again after the lapse of the other one.
func TestDisplacedBackendServerIsUsedAgain(t *testing.T) {
	ctx := context.Background()
	target := targetOf(t, "rates")
	live := lifecycle.Report{Instance: "i", Born: 1000, Sequence: 1, Service: "rates", Address: "127.0.0.1:1"}
	displacing := lifecycle.Report{Instance: "x", Born: time.Now().UnixMilli(), Sequence: 1, Service: "rates", Address: "127.0.0.1:9"}
	for _, r := range []lifecycle.Report{live, displacing} {
		if err := target.Report(ctx, r); err != nil {
			t.Fatal(err)
		}
	}
	target.mu.Lock()
	target.renewedAt = time.Now().Add(-time.Hour)
	target.mu.Unlock()
	target.awaitTurn = func(time.Duration) {}
	target.lapse()
	for range 2 {
		live.Sequence++
		if err := target.Report(ctx, live); err != nil {
			t.Fatal(err)
		}
	}
	if s := target.Status(); s.Leaving || s.Backend.Address != live.Address {
		t.Errorf("in use: %+v", s)
	}
}
