package quarantine

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/quarantine"
	"github.com/dogwoodhatch/dogwoodhatch/settings"
	"github.com/dogwoodhatch/dogwoodhatch/store"
)

const killer = quarantine.Fingerprint(7)

// testDelay is the RecoveryDelay and the ReportDelay of the nodes.
const testDelay = 50 * time.Millisecond

// network connects the plug-ins of several nodes in memory.
type network struct {
	nodes   map[string]*plugin
	members []membership.Member
	cut     map[string]bool // addresses that do not answer
}

// memberList implements the part of kernel.Fleet that the plug-in uses.
type memberList struct {
	kernel.Fleet
	net *network
}

func (m memberList) All() []membership.Member { return m.net.members }

// link implements the part of kernel.Transport that the plug-in uses.
type link struct {
	kernel.Transport
	net *network
}

func (l link) Exchange(_ context.Context, addr, topic string, payload []byte) ([]byte, error) {
	if l.net.cut[addr] {
		return nil, errors.New("no answer")
	}
	handler, _ := l.net.nodes[addr].k.Exchanges.Handler(topic)
	return handler("", payload)
}

func newNetwork(t *testing.T, nodes int) *network {
	net := &network{nodes: map[string]*plugin{}, cut: map[string]bool{}}
	for i := range nodes {
		net.add(t, fmt.Sprint("n", i))
	}
	return net
}

func (net *network) add(t *testing.T, id string) *plugin {
	t.Helper()
	k, err := kernel.New(&settings.Settings{}, id, zap.NewNop(), metrics.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	k.Fleet, k.Transport = memberList{net: net}, link{net: net}
	p, err := setup(k)
	if err != nil {
		t.Fatal(err)
	}
	n := p.(*plugin)
	n.cfg.RecoveryDelay, n.cfg.ReportDelay = testDelay, testDelay
	n.table = quarantine.New(n.cfg)
	net.nodes[id] = n
	net.members = append(net.members, membership.Member{ID: id, Addr: id})
	return net.nodes[id]
}

// admit asks for the killer at a node and returns the reason if it may not run.
func (net *network) admit(id, attempt string, timeout time.Duration) (kernel.Permit, call.Reason) {
	permit, res := net.nodes[id].Admit(context.Background(), killer, attempt, time.Now().Add(timeout))
	return permit, res.Reason
}

// TestSuspectRunsOnceInTheFleet reports a crash at one node and asks for the request at
// all others.
func TestSuspectRunsOnceInTheFleet(t *testing.T) {
	net := newNetwork(t, 5)
	net.nodes["n0"].Crashed("s1", []quarantine.Run{{Fingerprint: killer}})
	granted := 0
	for id := range net.nodes {
		if _, reason := net.admit(id, "attempt at "+id, 10*time.Millisecond); reason == call.ReasonNone {
			granted++
		}
	}
	if granted != 1 {
		t.Errorf("%d of 5 nodes run the request at the same time", granted)
	}
}

// TestQuarantinedRequestIsRefusedEverywhere reports the crashes of three servers at
// different nodes. A node that joins later learns of them with its first question.
func TestQuarantinedRequestIsRefusedEverywhere(t *testing.T) {
	net := newNetwork(t, 4)
	for i := range 3 {
		net.nodes[fmt.Sprint("n", i)].Crashed(fmt.Sprint("s", i), []quarantine.Run{{Fingerprint: killer, Alone: i > 0}})
	}
	for id := range net.nodes {
		if _, reason := net.admit(id, "x", time.Second); reason != call.ReasonQuarantined {
			t.Errorf("%s: %q", id, reason)
		}
	}
}

// TestNewCoordinatorLearnsWhatTheAskingNodeKnows lets nodes join after a crash until one
// of them coordinates the request. It must not take the request for an unsuspected one.
func TestNewCoordinatorLearnsWhatTheAskingNodeKnows(t *testing.T) {
	net := newNetwork(t, 2)
	net.nodes["n0"].Crashed("s1", []quarantine.Run{{Fingerprint: killer}})
	for i := range 50 {
		net.add(t, fmt.Sprint("later-", i))
	}
	first, reason := net.admit("n0", "first", time.Second)
	if reason != call.ReasonNone || first.Holder == "" {
		t.Fatalf("first run: %+v, %q", first, reason)
	}
	if _, reason := net.admit("n1", "second", 10*time.Millisecond); reason != call.ReasonSuspect {
		t.Errorf("second run beside the first: %q", reason)
	}
	net.nodes["n0"].Return(killer, first, true)
	if _, reason := net.admit("n1", "third", time.Second); reason != call.ReasonNone {
		t.Errorf("after a complete answer: %q", reason)
	}
}

// TestUnreachableCoordinators cuts the nodes that coordinate a request. It runs while it
// has crashed one server, and waits once its next crash would quarantine it.
func TestUnreachableCoordinators(t *testing.T) {
	net := newNetwork(t, 6)
	net.nodes["n0"].Crashed("s1", []quarantine.Run{{Fingerprint: killer}})
	asking := ""
	for id, p := range net.nodes {
		list := p.coordinators(killer)
		if id != list[0].ID && id != list[1].ID {
			asking = id
		}
		for _, m := range list {
			net.cut[m.Addr] = true
		}
	}
	if _, reason := net.admit(asking, "first", time.Second); reason != call.ReasonNone {
		t.Errorf("after one crash: %q", reason)
	}
	net.nodes[asking].Crashed("s2", []quarantine.Run{{Fingerprint: killer, Alone: true}})
	if _, reason := net.admit(asking, "second", 100*time.Millisecond); reason != call.ReasonSuspect {
		t.Errorf("after two crashes: %q", reason)
	}
}

// TestOperatorEndsQuarantine deletes the record of a quarantined request, which ends the
// quarantine, and then loses it by a restoration of the store, which does not.
func TestOperatorEndsQuarantine(t *testing.T) {
	net := newNetwork(t, 1)
	n := net.nodes["n0"]
	key := recordPrefix + killer.String()
	n.k.Records.Deliver(store.Entry{Key: key, Revision: 3, Value: []byte("s3")})
	if _, reason := net.admit("n0", "x", time.Second); reason != call.ReasonQuarantined {
		t.Errorf("with a record: %q", reason)
	}
	n.k.Records.Deliver(store.Entry{Key: key, Revision: 4, Deleted: true})
	if _, reason := net.admit("n0", "x", time.Second); reason != call.ReasonNone {
		t.Errorf("without the record: %q", reason)
	}
	n.k.Records.Deliver(store.Entry{Key: key, Revision: 6, Value: []byte("s3")})
	n.k.Records.Deliver(store.Entry{Key: key, Revision: store.JoinRevision(1, 2), Deleted: true})
	if _, reason := net.admit("n0", "x", time.Second); reason != call.ReasonQuarantined {
		t.Errorf("after the store lost the record: %q", reason)
	}
	n.k.Records.Deliver(store.Entry{Key: recordPrefix + "not a fingerprint", Revision: 5})
}

// TestPopularRequestIsNotQuarantined crashes servers one after the other, each while it
// runs a request that other servers answer all the time. The request must never be
// refused.
func TestPopularRequestIsNotQuarantined(t *testing.T) {
	net := newNetwork(t, 8)
	for crash := range 6 {
		net.nodes[fmt.Sprint("n", crash)].Crashed(fmt.Sprint("s", crash), []quarantine.Run{{Fingerprint: killer}})
		for id, n := range net.nodes {
			n.Return(killer, kernel.Permit{}, true) // a run that had begun before the crash
			permit, reason := net.admit(id, "x", time.Second)
			if reason != call.ReasonNone {
				t.Fatalf("after crash %d at %s: %q", crash+1, id, reason)
			}
			n.Return(killer, permit, true)
		}
	}
}

// TestQuarantineHoldsAgainstNodesThatDoNotKnow lets nodes join after a request was
// quarantined, without its record. A node that knows must refuse it, whoever coordinates.
func TestQuarantineHoldsAgainstNodesThatDoNotKnow(t *testing.T) {
	net := newNetwork(t, 2)
	for i := range 3 {
		net.nodes["n0"].Crashed(fmt.Sprint("s", i), []quarantine.Run{{Fingerprint: killer, Alone: i > 0}})
	}
	for i := range 50 {
		net.add(t, fmt.Sprint("later-", i))
	}
	for _, id := range []string{"n0", "n1"} {
		if _, reason := net.admit(id, "x", time.Second); reason != call.ReasonQuarantined {
			t.Errorf("%s: %q", id, reason)
		}
	}
}

// TestPopularRequestRunsAtAnIdleNode crashes servers one after the other, each while it
// runs a request that one node's server answers in between. Another node, which got the
// request not once meanwhile, must let it run.
func TestPopularRequestRunsAtAnIdleNode(t *testing.T) {
	net := newNetwork(t, 8)
	for crash := range 3 {
		net.nodes["n0"].Crashed(fmt.Sprint("s", crash), []quarantine.Run{{Fingerprint: killer}})
		permit, reason := net.admit("n1", "x", time.Second)
		if reason != call.ReasonNone {
			t.Fatalf("after crash %d: %q", crash+1, reason)
		}
		net.nodes["n1"].Return(killer, permit, true)
		time.Sleep(20 * time.Millisecond) // the coordinators hear of it
	}
	if _, reason := net.admit("n7", "x", time.Second); reason != call.ReasonNone {
		t.Errorf("at the idle node: %q", reason)
	}
}
