package directory

import (
	"context"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/execution"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/store"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

const (
	endedTopic = "ended_start"

	// witnessCount is the number of nodes that are told of an ended start. The end is lost
	// only if all of them restart within the time of an outage of the store.
	witnessCount = 3
	// askedWitnesses is the number of nodes that a new process asks. It is higher than
	// witnessCount, because the members may have changed by some in between.
	askedWitnesses = 5
	// witnessTimeout is several times the round trip between regions.
	witnessTimeout = 300 * time.Millisecond
	// tellInterval is the time between two messages to the witnesses while the store does
	// not hold the end. A witness may have restarted in between.
	tellInterval = 2 * time.Second
	// firstAnswerWait is how long the first reports of the backend server wait for the
	// witnesses once the members are known. Witnesses that run answer within a round trip in
	// the region; those that have just started too, as after a loss of power, know nothing.
	firstAnswerWait = 50 * time.Millisecond
	// askInterval is the time between two rounds of questions.
	askInterval = 500 * time.Millisecond
	// askLimit is how long a new process asks. Witnesses do not remember an end for longer.
	askLimit = time.Minute
)

// RecordEnd implements kernel.Fleet. Some other nodes are told of the end as well, so that the
// next process of this node learns of it if the store is out of reach, or loses the record.
func (d *directory) RecordEnd(ctx context.Context, start membership.BackendStart) error {
	if d.store == nil {
		return nil
	}
	recorded := make(chan struct{})
	d.k.Control.Go(func() {
		d.self.Ended = start
		d.registration.SetRecord(d.self.Encode())
		d.recordWaiters = append(d.recordWaiters, recorded)
		d.notifyRecorded()
		d.wakeRegistration()
	})
	told := make(chan int, 1)
	go d.tellUntilRecorded(start, recorded, told)
	select {
	case <-recorded:
		return nil
	case <-ctx.Done():
	}
	select {
	case n := <-told:
		if n > 0 {
			d.log.Warn("end_kept_by_nodes", zap.String("instance", start.Instance), zap.Int64("born", start.Born), zap.Int("nodes", n))
			return nil
		}
	default: // no node has answered yet
	}
	return ctx.Err()
}

// tellUntilRecorded tells the witnesses of an ended start, and again while the store does not
// hold it. told receives how many of them have confirmed it at first.
func (d *directory) tellUntilRecorded(start membership.BackendStart, recorded <-chan struct{}, told chan<- int) {
	msg := &wire.EndedStart{Key: d.ownKey(), Instance: start.Instance, Born: start.Born}
	told <- len(d.exchangeEnded(d.witnesses(witnessCount), msg))
	ticker := time.NewTicker(tellInterval)
	defer ticker.Stop()
	for {
		select {
		case <-recorded:
			return
		case <-d.ctx.Done():
			return
		case <-ticker.C:
			d.exchangeEnded(d.witnesses(witnessCount), msg)
		}
	}
}

// witnesses returns the addresses of up to n nodes that remember the ended starts of the
// backend server beside this node. Every process of this node chooses the same ones while
// the members are the same. Nodes of the region are preferred, unless they are too few.
func (d *directory) witnesses(n int) []string {
	var inRegion, all []string
	for _, m := range d.failing.filterHealthy(d.All(), time.Now()) {
		if m.Addr == d.self.Addr {
			continue
		}
		all = append(all, m.Addr)
		if m.Region == d.self.Region {
			inRegion = append(inRegion, m.Addr)
		}
	}
	if len(inRegion) >= witnessCount {
		all = inRegion
	}
	return execution.Holders(d.ownKey(), all, n)
}

// exchangeEnded sends a message to some nodes at the same time and returns the replies of
// those that answer within witnessTimeout.
func (d *directory) exchangeEnded(addrs []string, msg *wire.EndedStart) []*wire.EndedStartReply {
	ctx, cancel := context.WithTimeout(d.ctx, witnessTimeout)
	defer cancel()
	payload := wire.Encode(msg)
	var mu sync.Mutex
	var replies []*wire.EndedStartReply
	var wg sync.WaitGroup
	for _, addr := range addrs {
		wg.Go(func() {
			reply := &wire.EndedStartReply{}
			raw, err := d.k.Transport.Exchange(ctx, addr, endedTopic, payload)
			if err == nil {
				err = wire.Decode(raw, reply)
			}
			if err != nil {
				d.log.Debug("ended_start_unanswered", zap.String("addr", addr), zap.Error(err))
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, reply)
		})
	}
	wg.Wait()
	return replies
}

// askForEnded asks the witnesses, once the members are known, which start of the backend
// server has ended while an earlier process of this node ran.
func (d *directory) askForEnded() {
	select {
	case <-d.stateKnown:
	case <-d.ctx.Done():
		return
	}
	stopWaiting := sync.OnceFunc(func() { close(d.asked) })
	time.AfterFunc(firstAnswerWait, stopWaiting)
	for time.Since(d.started) < askLimit {
		enough := d.askOnce()
		stopWaiting()
		if enough {
			return
		}
		select {
		case <-time.After(askInterval):
		case <-d.ctx.Done():
			return
		}
	}
}

// AwaitEnded implements kernel.Fleet.
func (d *directory) AwaitEnded(ctx context.Context) {
	if d.store == nil {
		return
	}
	select {
	case <-d.asked:
	case <-ctx.Done():
	}
}

// askOnce asks the witnesses and reports whether enough of them have answered. It returns once
// the target knows what they have told.
func (d *directory) askOnce() bool {
	addrs := d.witnesses(askedWitnesses)
	replies := d.exchangeEnded(addrs, &wire.EndedStart{Key: d.ownKey()})
	for _, r := range replies {
		start := membership.BackendStart{Instance: r.GetInstance(), Born: r.GetBorn()}
		adopted := false
		d.k.Control.Do(func() { adopted = d.adoptEndedStart(start, "node") })
		if adopted {
			d.k.Target.BackendDeparted(d.ctx, start)
		}
	}
	return len(replies) > 0 && len(replies) >= min(witnessCount, len(addrs))
}

// serveEnded handles an EndedStart of another node.
func (d *directory) serveEnded(_ string, payload []byte) ([]byte, error) {
	var msg wire.EndedStart
	if err := wire.Decode(payload, &msg); err != nil {
		return nil, err
	}
	start := membership.BackendStart{Instance: msg.GetInstance(), Born: msg.GetBorn()}
	if !strings.HasPrefix(msg.GetKey(), membership.Prefix) || !start.Valid() {
		return nil, errs.New(errs.Invalid, "upgrade the nodes", "invalid ended start %q, born %d, of %q", start.Instance, start.Born, msg.GetKey())
	}
	var reply wire.EndedStartReply
	done := d.k.Control.Do(func() {
		now := time.Now()
		d.ended.Record(msg.GetKey(), start, now)
		latest, _ := d.ended.Latest(msg.GetKey(), now)
		reply.Instance, reply.Born = latest.Instance, latest.Born
	})
	if !done {
		return nil, errs.New(errs.Unavailable, "ask another node", "this node has stopped")
	}
	return wire.Encode(&reply), nil
}

// adoptEndedStart records that a start of the backend server has ended, as an earlier process
// of this node had acknowledged, and reports whether that is new; the target is then to be
// told. source says where that was found. It runs on the control goroutine.
func (d *directory) adoptEndedStart(start membership.BackendStart, source string) bool {
	known := d.self.Ended
	if start.Instance == "" || known.Instance != "" && !start.BornAfter(known) {
		return false
	}
	if !start.Valid() {
		d.log.Warn("ended_start_rejected", zap.String("source", source), zap.String("instance", start.Instance), zap.Int64("born", start.Born))
		return false
	}
	d.log.Info("ended_start_adopted", zap.String("source", source), zap.String("instance", start.Instance), zap.Int64("born", start.Born))
	d.self.Ended = start
	return true
}

// adoptFromMember adopts the ended start from a record of this node that an earlier process
// has written. It runs on the control goroutine.
func (d *directory) adoptFromMember(m *membership.Member) {
	if m.ID != d.self.ID && d.adoptEndedStart(m.Ended, "record") {
		go d.k.Target.BackendDeparted(d.ctx, m.Ended)
	}
}

// adoptFromEntry decodes the record that the store holds for this node and calls
// adoptFromMember. It runs on the control goroutine.
func (d *directory) adoptFromEntry(e store.Entry) {
	m, err := membership.Decode(e.Key, e.Value, e.Revision)
	if err != nil {
		d.log.Warn("member_rejected", zap.String("key", e.Key), zap.Uint64("revision", e.Revision), zap.Error(err))
		return
	}
	d.adoptFromMember(&m)
}
