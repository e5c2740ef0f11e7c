package ingress

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/route"
	"github.com/dogwoodhatch/dogwoodhatch/settings"
)

// lastRequestCaller records the last request.
type lastRequestCaller struct {
	kernel.Caller
	request *kernel.Request
}

func (f *lastRequestCaller) Do(_ context.Context, r *kernel.Request) *kernel.Answer {
	f.request = r
	return &kernel.Answer{Result: call.Result{Outcome: call.Answered, Status: 200}}
}

func testIngress(t *testing.T, rules ...*route.Rule) (*ingress, *lastRequestCaller) {
	t.Helper()
	k, err := kernel.New(&settings.Settings{}, "n-1", zap.NewNop(), metrics.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	caller := &lastRequestCaller{}
	k.Caller = caller
	k.Routes.Activate(route.NewTable(1, rules, route.Limits{}))
	return &ingress{k: k}, caller
}

func uploadRule() *route.Rule {
	return &route.Rule{Host: "a", Prefix: "/", Targets: []route.Target{{Service: "s", Weight: 1}}, Class: profile.Class{Name: "upload", Deadline: 400 * time.Millisecond}}
}

// Guards against a body that is read although no route leads anywhere.
func TestBodyWithoutRouteIsNotRead(t *testing.T) {
	in, _ := testIngress(t, uploadRule())
	_, err := in.Serve(context.Background(), &kernel.IngressRequest{Host: "unknown", Method: "POST", Target: "/", ReadBody: func(context.Context) ([]byte, error) {
		t.Error("the body was read")
		return nil, nil
	}})
	if err == nil {
		t.Error("a request without a route was served")
	}
}

// Guards against a wait for room that leaves no time to run the request, and against the
// time of the request running out while its body arrives.
func TestBodyIsReadBeforeTheTimeOfTheRequestBegins(t *testing.T) {
	in, caller := testIngress(t, uploadRule())
	const reading = 50 * time.Millisecond
	start := time.Now()
	_, err := in.Serve(context.Background(), &kernel.IngressRequest{Host: "a", Method: "POST", Target: "/", ReadBody: func(ctx context.Context) ([]byte, error) {
		if deadline, ok := ctx.Deadline(); !ok || deadline.Sub(start) > 250*time.Millisecond {
			t.Errorf("the wait for room ends %v after the start of a request of 400 ms", deadline.Sub(start))
		}
		time.Sleep(reading)
		return []byte("body"), nil
	}})
	if err != nil {
		t.Fatal(err)
	}
	if string(caller.request.Body) != "body" {
		t.Errorf("body %q", caller.request.Body)
	}
	if left := caller.request.Chain.Deadline.Sub(start); left < 400*time.Millisecond+reading {
		t.Errorf("the deadline is %v after the start", left)
	}
}

// Guards against a request that runs without its body.
func TestRequestWithoutRoomForItsBodyDoesNotRun(t *testing.T) {
	in, caller := testIngress(t, uploadRule())
	noRoom := errors.New("no room")
	_, err := in.Serve(context.Background(), &kernel.IngressRequest{Host: "a", Method: "POST", Target: "/", ReadBody: func(context.Context) ([]byte, error) { return nil, noRoom }})
	if !errors.Is(err, noRoom) || caller.request != nil {
		t.Errorf("error %v, request %v", err, caller.request)
	}
}

// Guards against a request that a stopping node takes although it may end after the node,
// also if only its late body makes it so.
func TestRequestThatMayOutliveTheNodeDoesNotRun(t *testing.T) {
	const reading = 60 * time.Millisecond
	for name, c := range map[string]struct {
		left time.Duration // until the node no longer waits for requests
		runs bool
	}{
		"time enough":            {time.Minute, true},
		"ends after the node":    {300 * time.Millisecond, false},
		"its body took too long": {400*time.Millisecond + reading/2, false},
	} {
		t.Run(name, func(t *testing.T) {
			in, caller := testIngress(t, uploadRule())
			now := time.Now()
			in.k.Drain.MarkClosing(now, now.Add(200*time.Millisecond), now.Add(c.left))
			ans, err := in.Serve(context.Background(), &kernel.IngressRequest{Host: "a", Method: "POST", Target: "/", ReadBody: func(context.Context) ([]byte, error) {
				time.Sleep(reading)
				return nil, nil
			}})
			if err != nil {
				t.Fatal(err)
			}
			if ran := caller.request != nil; ran != c.runs || !ran && (ans.Outcome != call.Refused || ans.Reason != call.ReasonLeaving || ans.RetryAfter <= 0) {
				t.Errorf("ran %t, answer %+v", ran, ans.Result)
			}
		})
	}
}
