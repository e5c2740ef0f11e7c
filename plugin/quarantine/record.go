package quarantine

import (
	"bytes"
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
	// fingerprint follows; the value is provedPrefix and the node that wrote it.
	recordPrefix = "quarantine/"

	// provedPrefix is missing in records of versions that counted all crashes alike. They
	// do not say that the request crashed a backend server when it ran alone.
	provedPrefix = "alone "

	recordTimeout    = time.Second // of one write
	recordRetryDelay = time.Second // between two writes while the store refuses them
)

// writeRecord writes a quarantined request to the store, from which nodes that were
// restarted or cut off learn of it. It tries until the store holds the record, or the
// quarantine has ended.
func (q *plugin) writeRecord(f quarantine.Fingerprint) {
	q.changeRecord(f, true, func(ctx context.Context, key string, e store.Entry) error {
		if isProved(e.Value) {
			return nil // another node has written it
		}
		_, err := q.k.Store.CompareAndSwap(ctx, key, []byte(provedPrefix+q.k.NodeID), e.Revision, "")
		return err
	})
}

// deleteRecord deletes the record of a request whose quarantine has ended. It tries until
// the store has no record, or the request is quarantined again.
func (q *plugin) deleteRecord(f quarantine.Fingerprint) {
	q.changeRecord(f, false, func(ctx context.Context, key string, e store.Entry) error {
		if e.Revision == 0 {
			return nil
		}
		_, err := q.k.Store.Delete(ctx, key, e.Revision)
		return err
	})
}

// changeRecord reads a record, which is the zero Entry if there is none, and changes it,
// until that succeeds or the request is no longer quarantined as given.
func (q *plugin) changeRecord(f quarantine.Fingerprint, quarantined bool, change func(ctx context.Context, key string, e store.Entry) error) {
	if q.k.Store == nil {
		return
	}
	key := recordPrefix + f.String()
	for q.ctx.Err() == nil && q.isQuarantined(f) == quarantined {
		ctx, cancel := context.WithTimeout(q.ctx, recordTimeout)
		e, err := q.k.Store.Get(ctx, key)
		if err == nil || errs.KindOf(err) == errs.NotFound {
			err = change(ctx, key, e)
		}
		cancel()
		if err == nil {
			return
		}
		q.log.Warn("quarantine_not_recorded", zap.Stringer("fingerprint", f), zap.Bool("quarantined", quarantined), zap.Error(err))
		select {
		case <-time.After(recordRetryDelay):
		case <-q.ctx.Done():
		}
	}
}

func (q *plugin) isQuarantined(f quarantine.Fingerprint) bool {
	quarantined := false
	q.update(func(t *quarantine.Table) { quarantined = t.Quarantined(f) })
	return quarantined
}

// isProved reports whether the value of a record says that the request crashed backend
// servers when it ran alone.
func isProved(value []byte) bool { return bytes.HasPrefix(value, []byte(provedPrefix)) }

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

// applyRecord processes a change of a record. An operator or the coordinator ends a
// quarantine by deleting its record; a store that was restored from an older copy may have lost it, which does
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
		if !isProved(e.Value) {
			t.QuarantineUnproved(f, time.Now())
			return
		}
		t.Quarantine(f, time.Now())
	})
}
