package directory

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/platform/kv/standin"
)

// TestNodeThatReadsAnswersLateGetsChangesInTime guards against a node that discards every
// answer which arrives after its time limit, and so learns of no change while it is busy.
func TestNodeThatReadsAnswersLateGetsChangesInTime(t *testing.T) {
	const (
		exchangeDelay = 700 * time.Millisecond
		storeDelayMS  = 1700            // longer than any read of the store may take
		inForceWithin = 3 * time.Second // config_apply of the platform's larger deployments
	)
	s, _, url := startStore(t)
	slowDoor := s.NewEndpoint()
	slowServer := httptest.NewServer(slowDoor)
	defer func() { slowServer.CloseClientConnections(); slowServer.Close() }()
	f := newFleet()
	f.start(t, "prompt", "127.0.0.1:1", url)
	busy := f.start(t, "busy", "127.0.0.1:2", slowServer.URL)
	value := lastValue(busy, "x/")
	waitFor(t, "both members", 6*time.Second, func() bool { return len(busy.Fleet.All()) == 2 })
	busy.answerDelay.Store(int64(exchangeDelay)) // as when the node lacks the processor time to read them
	slowDoor.SetFaults(standin.Faults{SlowMS: storeDelayMS})
	time.Sleep(2 * time.Second) // reads that began before have ended
	writeKey(t, url, "x/1", []byte("change"))
	waitFor(t, "the change at the busy node", inForceWithin, func() bool { return value() == "change" })
}

// TestServiceAnnouncedAgainGetsANewRevision guards against a member whose backend server was withdrawn
// and announced again before the store could be written: with the record unchanged, nodes that
// it refused meanwhile do not learn that it serves again.
func TestServiceAnnouncedAgainGetsANewRevision(t *testing.T) {
	_, door, url := startStore(t)
	n := newFleet().start(t, "a", "127.0.0.1:1", url)
	n.Fleet.Announce("rates", 5)
	revision := func() uint64 {
		if m := n.Fleet.Members("rates"); len(m) == 1 {
			return m[0].Revision
		}
		return 0
	}
	waitFor(t, "record", 3*time.Second, func() bool { return revision() > 0 })
	before := revision()
	door.SetFaults(standin.Faults{Down: true})
	n.Fleet.Announce("", 0)
	time.Sleep(200 * time.Millisecond)
	n.Fleet.Announce("rates", 5)
	door.SetFaults(standin.Faults{})
	waitFor(t, "new revision of the record", 4*time.Second, func() bool { return revision() > before })
}
