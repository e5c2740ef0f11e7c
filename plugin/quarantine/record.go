package quarantine

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/quarantine"
	"github.com/dogwoodhatch/dogwoodhatch/store"
)

const (
	// recordPrefix is the key prefix of quarantined requests in the store. The
	// fingerprint follows; the value is the node that wrote it.
	recordPrefix = "quarantine/"

	recordTimeout    = time.Second // of one write
	recordRetryDelay = time.Second // between two writes while the store refuses them
)

// writeRecord writes a quarantined request to the store, from which nodes that were
// restarted or cut off learn of it. It tries until the store holds the record.
func (q *plugin) writeRecord(f quarantine.Fingerprint) {
	if q.k.Store == nil {
		return
	}
	for q.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(q.ctx, recordTimeout)
		_, err := q.k.Store.CompareAndSwap(ctx, recordPrefix+f.String(), []byte(q.k.NodeID), 0, "")
		cancel()
		if err == nil || errs.KindOf(err) == errs.Conflict {
			return // a conflict means that another node has written it
		}
		q.log.Warn("quarantine_not_recorded", zap.Stringer("fingerprint", f), zap.Error(err))
		select {
		case <-time.After(recordRetryDelay):
		case <-q.ctx.Done():
		}
	}
}

// restoreSpread is the time over which the nodes write a lost record again, so that most
// of them find it written.
const restoreSpread = 2 * time.Second

// restoreRecord writes a record again that a restored store has lost.
func (q *plugin) restoreRecord(f quarantine.Fingerprint) {
	select {
	case <-time.After(rand.N(restoreSpread)):
		q.writeRecord(f)
	case <-q.ctx.Done():
	}
}

// applyRecord processes a change of a record. An operator ends a quarantine by deleting
// its record; a store that was restored from an older copy may have lost it, which does
// not. It runs on the control goroutine.
func (q *plugin) applyRecord(e store.Entry) {
	f, err := quarantine.ParseFingerprint(strings.TrimPrefix(e.Key, recordPrefix))
	if err != nil {
		q.log.Warn("quarantine_record_rejected", zap.String("key", e.Key), zap.Uint64("revision", e.Revision), zap.Error(err))
		return
	}
	lost := e.Deleted && store.Era(e.Revision) > store.Era(q.recordRevision[f])
	q.recordRevision[f] = e.Revision
	q.log.Info("quarantine_record", zap.Stringer("fingerprint", f), zap.Uint64("revision", e.Revision), zap.Bool("deleted", e.Deleted), zap.Bool("lost", lost))
	if lost {
		go q.restoreRecord(f)
		return
	}
	if e.Deleted {
		delete(q.recordRevision, f)
	}
	q.update(func(t *quarantine.Table) {
		if e.Deleted {
			t.Release(f)
			return
		}
		t.Quarantine(f, time.Now())
	})
}
