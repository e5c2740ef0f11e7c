package directory

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/store"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

const (
	topic = "state"

	// syncInterval is the mean time between two comparisons with another node.
	syncInterval = 400 * time.Millisecond
	// syncTimeout exceeds the round trip between regions several times.
	syncTimeout = 500 * time.Millisecond
	// hintDelay is how long a node that watches the store waits for the store's
	// own news of a revision that another node told of.
	hintDelay = 250 * time.Millisecond
	// failingTime is how long a member that did not answer is left out of the
	// order of watchers.
	failingTime = 3 * time.Second
)

// hint is a revision that another node knows.
type hint struct {
	addr     string
	revision uint64
}

// ObserveRevision implements kernel.Replica.
func (d *directory) ObserveRevision(addr string, revision uint64) {
	if revision <= d.revision.Load() {
		return
	}
	select {
	case d.hints <- hint{addr, revision}:
	default: // another hint is being followed; messages bring more
	}
}

// sync compares the state with other nodes, at intervals and when they tell of a
// higher revision.
func (d *directory) sync() {
	for round := 0; d.ctx.Err() == nil; round++ {
		select {
		case h := <-d.hints:
			d.followHint(h)
		case <-time.After(jitter(syncInterval)):
			if m, ok := d.syncPartner(round); ok {
				d.pull(m.ID, m.Addr)
			}
		case <-d.ctx.Done():
		}
	}
}

func (d *directory) followHint(h hint) {
	if duty, _ := d.onDuty(membership.DefaultWatchConfig()); duty {
		select {
		case <-time.After(hintDelay):
		case <-d.ctx.Done():
		}
	}
	if h.revision > d.revision.Load() {
		d.pull("", h.addr)
	}
}

// syncPartner returns a watcher of the own region on even rounds, else any
// member.
func (d *directory) syncPartner(round int) (membership.Member, bool) {
	now := time.Now()
	all := d.failing.without(d.All(), now)
	var watchers, others []membership.Member
	for _, m := range all {
		if m.ID == d.self.ID {
			continue
		}
		others = append(others, m)
		if m.Region == d.self.Region && membership.Rank(all, m.Region, m.ID) < membership.DefaultWatchConfig().PerRegion {
			watchers = append(watchers, m)
		}
	}
	if round%2 == 0 && len(watchers) > 0 {
		return watchers[rand.IntN(len(watchers))], true
	}
	if len(others) == 0 {
		return membership.Member{}, false
	}
	return others[rand.IntN(len(others))], true
}

// pull asks another node for what it knows beyond the own revision.
func (d *directory) pull(id, addr string) {
	ctx, cancel := context.WithTimeout(d.ctx, syncTimeout)
	defer cancel()
	reply := &wire.StateReply{}
	payload, err := d.k.Transport.Exchange(ctx, addr, topic, wire.Encode(&wire.StateRequest{After: d.revision.Load(), Addr: d.self.Addr}))
	if err == nil {
		err = wire.Decode(payload, reply)
	}
	if err != nil {
		if d.failing.add(id, time.Now()) {
			d.log.Info("sync_failed", zap.String("member", id), zap.String("addr", addr), zap.Error(err))
		}
		return
	}
	d.failing.remove(id)
	if reply.GetUnknown() {
		return
	}
	d.confirm(time.Duration(reply.GetAgeMs()) * time.Millisecond)
	if reply.GetRevision() <= d.revision.Load() {
		return
	}
	d.log.Debug("synced", zap.String("addr", addr), zap.Uint64("revision", reply.GetRevision()), zap.Int("entries", len(reply.GetEntries())))
	d.k.Control.Do(func() { d.apply(decodeEntries(reply.GetEntries()), reply.GetRevision(), reply.GetWhole()) })
}

func decodeEntries(list []*wire.StateEntry) []store.Entry {
	entries := make([]store.Entry, 0, len(list))
	for _, e := range list {
		entries = append(entries, store.Entry{Key: e.GetKey(), Revision: e.GetRevision(), Value: e.GetValue(), Deleted: e.GetDeleted()})
	}
	return entries
}

// serveState answers the comparison of another node.
func (d *directory) serveState(_ string, payload []byte) ([]byte, error) {
	var req wire.StateRequest
	if err := wire.Decode(payload, &req); err != nil {
		return nil, err
	}
	if req.GetAddr() != "" {
		// A node that has just started is asked by those that knew its predecessor.
		d.ObserveRevision(req.GetAddr(), req.GetAfter())
	}
	reply := &wire.StateReply{Revision: d.revision.Load(), AgeMs: uint32(d.age().Milliseconds())}
	if reply.Revision <= req.GetAfter() {
		reply.Unknown = reply.Revision == 0
		return wire.Encode(reply), nil
	}
	ran := d.k.Control.Do(func() {
		entries, whole := d.table.Since(req.GetAfter())
		reply.Revision = d.table.Revision()
		reply.Whole = whole
		for _, e := range entries {
			reply.Entries = append(reply.Entries, &wire.StateEntry{Key: e.Key, Revision: e.Revision, Value: e.Value, Deleted: e.Deleted})
		}
	})
	if !ran {
		return nil, errs.New(errs.Unavailable, "ask another node", "this node has stopped")
	}
	return wire.Encode(reply), nil
}

// failing holds the members that did not answer lately. It is safe for
// concurrent use.
type failing struct {
	mu    sync.Mutex
	until map[string]time.Time // by member id
}

// add notes that a member did not answer and reports whether that is news.
func (f *failing) add(id string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.until == nil {
		f.until = map[string]time.Time{}
	}
	known := now.Before(f.until[id])
	f.until[id] = now.Add(failingTime)
	return !known
}

func (f *failing) remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.until, id)
}

// without returns the members that are not known to fail.
func (f *failing) without(members []membership.Member, now time.Time) []membership.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, until := range f.until {
		if now.After(until) {
			delete(f.until, id)
		}
	}
	if len(f.until) == 0 {
		return members
	}
	rest := make([]membership.Member, 0, len(members))
	for _, m := range members {
		if _, bad := f.until[m.ID]; !bad {
			rest = append(rest, m)
		}
	}
	return rest
}
