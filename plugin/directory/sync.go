package directory

import (
	"context"
	"math"
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
	stateTopic = "state"

	// syncInterval is the mean time between two state comparisons with other nodes.
	syncInterval = 400 * time.Millisecond
	// syncPatience is how long a node waits for a reply before it asks another node. It is
	// several times the round trip between regions.
	syncPatience = 500 * time.Millisecond
	// lateReplyLimit is how long a reply is used after the request. A node that lacks processor
	// time reads its replies late; if it discarded them, it would learn of no change at all.
	lateReplyLimit = 5 * time.Second
	// lateTolerance is the part of a wait by which this process may run late before a missing
	// reply is not held against the other node.
	lateTolerance = 100 * time.Millisecond
	// hintDelay is how long a node that watches the store waits for the store to
	// deliver a revision reported by another node, before it asks that node.
	hintDelay = 250 * time.Millisecond
	// failingTTL is how long a member that did not answer is excluded from the
	// ranking of watchers and from syncs.
	failingTTL = 3 * time.Second
)

// revisionHint is a revision reported by another node, with the address of that
// node.
type revisionHint struct {
	addr     string
	revision uint64
}

// ObserveRevision implements kernel.Replica.
func (d *directory) ObserveRevision(addr string, revision uint64) {
	if revision <= d.revision.Load() {
		return
	}
	select {
	case d.hints <- revisionHint{addr, revision}:
	default: // another hint is pending; later messages repeat this one
	}
}

// runSync compares the state with that of other nodes, regularly and when one of them
// reports a higher revision.
func (d *directory) runSync() {
	for round := 0; d.ctx.Err() == nil; round++ {
		select {
		case h := <-d.hints:
			d.followHint(h)
		case <-time.After(jitter(d.nextSync())):
			if m, ok := d.syncPartner(round); ok {
				d.pullState(m.ID, m.Addr)
			}
		case <-d.ctx.Done():
		}
	}
}

// followHint fetches the state from the node of a hint if it is still newer.
func (d *directory) followHint(h revisionHint) {
	if watch, _ := d.shouldWatch(membership.DefaultWatchConfig()); watch {
		select {
		case <-time.After(hintDelay):
		case <-d.ctx.Done():
		}
	}
	if h.revision > d.revision.Load() {
		d.pullState("", h.addr)
	}
}

// syncPartner selects a random member to compare with.
func (d *directory) syncPartner(round int) (membership.Member, bool) {
	healthy := d.failing.filterHealthy(d.All(), time.Now())
	age := d.storeAge()
	if d.needsProof() {
		round, age = 1, math.MaxInt64 // any member, also of other regions
	}
	partners := membership.DefaultWatchConfig().SyncPartners(healthy, d.self.ID, d.self.Region, round, age)
	if len(partners) == 0 {
		return membership.Member{}, false
	}
	return partners[rand.IntN(len(partners))], true
}

// pullState fetches the changes after the own revision from another node and waits for them
// for syncPatience. A later reply is still applied: a copy only moves forward, whatever order
// replies arrive in. id is "" if the member is not known.
func (d *directory) pullState(id, addr string) {
	asked := d.clock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.requestState(id, addr, asked)
	}()
	select {
	case <-done:
	case <-time.After(syncPatience):
		if waited := time.Duration(d.clock() - asked); waited < syncPatience+lateTolerance {
			d.noteSyncFailure(id, addr, asked, nil)
		}
	}
}

// noteSyncFailure counts a request for state without a reply, and excludes the member from
// further ones for a while.
func (d *directory) noteSyncFailure(id, addr string, asked int64, err error) {
	d.syncFailures.Inc(1)
	if id == "" || d.failing.add(id, time.Now()) {
		d.log.Info("sync_failed", zap.String("member", id), zap.String("addr", addr), zap.Duration("took", time.Duration(d.clock()-asked)),
			zap.Duration("age", d.storeAge()), zap.Error(err))
	}
}

// requestState asks another node for the changes after the own revision and applies its reply.
// asked is the time of the request.
func (d *directory) requestState(id, addr string, asked int64) {
	ctx, cancel := context.WithTimeout(d.ctx, lateReplyLimit)
	defer cancel()
	reply := &wire.StateReply{}
	req := &wire.StateRequest{Addr: d.self.Addr}
	req.EraPlus_1, req.After = wire.EncodeRevision(d.revision.Load())
	payload, err := d.k.Transport.Exchange(ctx, addr, stateTopic, wire.Encode(req))
	if err == nil {
		err = wire.Decode(payload, reply)
	}
	if err != nil {
		if d.ctx.Err() == nil {
			d.noteSyncFailure(id, addr, asked, err)
		}
		return
	}
	d.syncTook.Update(time.Duration(d.clock() - asked).Microseconds())
	d.failing.remove(id)
	if reply.GetUnknown() {
		return
	}
	defer d.confirmStore(asked - int64(time.Duration(reply.GetAgeMs())*time.Millisecond)) // once the changes are applied
	revision := wire.DecodeRevision(reply.GetEraPlus_1(), reply.GetRevision(), d.revision.Load())
	proved, hasProof := decodeProof(reply, asked)
	if revision <= d.revision.Load() {
		if hasProof {
			d.prove(proved)
		}
		return
	}
	d.log.Debug("synced", zap.String("addr", addr), zap.Uint64("revision", revision), zap.Int("entries", len(reply.GetEntries())))
	d.k.Control.Do(func() { d.apply(decodeEntries(reply.GetEntries(), store.Era(revision)), revision, reply.GetWhole()) })
	if hasProof {
		d.proveIfApplied(proved, revision)
	}
}

func decodeEntries(list []*wire.StateEntry, era uint64) []store.Entry {
	entries := make([]store.Entry, 0, len(list))
	for _, e := range list {
		entries = append(entries, store.Entry{Key: e.GetKey(), Revision: store.JoinRevision(era, e.GetRevision()), Value: e.GetValue(), Deleted: e.GetDeleted()})
	}
	return entries
}

// serveState handles the state request of another node.
func (d *directory) serveState(_ string, payload []byte) ([]byte, error) {
	var req wire.StateRequest
	if err := wire.Decode(payload, &req); err != nil {
		return nil, err
	}
	proof := d.encodeProof() // before the revision: a proof of a later revision does not hold for this one
	revision := d.revision.Load()
	after := wire.DecodeRevision(req.GetEraPlus_1(), req.GetAfter(), revision)
	if req.GetAddr() != "" {
		// Other nodes still send requests to the address of a restarted node, so it
		// learns from them where a higher revision is available.
		d.ObserveRevision(req.GetAddr(), after)
	}
	reply := &wire.StateReply{AgeMs: uint32(d.storeAge().Milliseconds()), ProofAgeMsPlus_1: proof}
	reply.EraPlus_1, reply.Revision = wire.EncodeRevision(revision)
	if revision <= after {
		reply.Unknown = revision == 0
		return wire.Encode(reply), nil
	}
	if !d.k.Control.Do(func() { d.addState(reply, after) }) {
		return nil, errs.New(errs.Unavailable, "ask another node", "this node has stopped")
	}
	return wire.Encode(reply), nil
}

// addState adds the entries after a revision to a reply. All entries of the table have
// its era. It runs on the control goroutine.
func (d *directory) addState(reply *wire.StateReply, after uint64) {
	entries, whole := d.table.Since(after)
	reply.EraPlus_1, reply.Revision = wire.EncodeRevision(d.table.Revision())
	reply.Whole = whole
	for _, e := range entries {
		_, counter := store.SplitRevision(e.Revision)
		reply.Entries = append(reply.Entries, &wire.StateEntry{Key: e.Key, Revision: counter, Value: e.Value, Deleted: e.Deleted})
	}
}

// failingMembers holds the members that recently did not answer. It is safe for
// concurrent use.
type failingMembers struct {
	mu    sync.Mutex
	until map[string]time.Time // by member id
}

// add records that a member did not answer, and reports whether it was not already
// known to fail.
func (f *failingMembers) add(id string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.until == nil {
		f.until = map[string]time.Time{}
	}
	known := now.Before(f.until[id])
	f.until[id] = now.Add(failingTTL)
	return !known
}

func (f *failingMembers) remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.until, id)
}

// filterHealthy returns the members that are not known to fail.
func (f *failingMembers) filterHealthy(members []membership.Member, now time.Time) []membership.Member {
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
	healthy := make([]membership.Member, 0, len(members))
	for _, m := range members {
		if _, failed := f.until[m.ID]; !failed {
			healthy = append(healthy, m)
		}
	}
	return healthy
}
