package directory

import (
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/replica"
	"github.com/dogwoodhatch/dogwoodhatch/store"
)

// restoreInterval is the time between two attempts to write lost records again.
const restoreInterval = 200 * time.Millisecond

// lostRecords holds the operators' records that this node knows and that the store lost
// when it was restored from an older copy, by key. They stay in force, and the nodes
// that watch the store write them again.
type lostRecords map[string]store.Entry

// note compares the records before and after a restoration. A record that was lost in
// an earlier restoration and is not written again yet may be later than both.
func (l lostRecords) note(before []store.Entry, table *replica.Table) {
	for _, e := range before {
		if !isOperatorRecord(e.Key) || profile.Supersedes(e.Key, l[e.Key].Value, e.Value) {
			continue
		}
		if now, _ := table.Get(e.Key); profile.Supersedes(e.Key, e.Value, now.Value) {
			l[e.Key] = e
		}
	}
}

// supersedes reports whether a lost record is later than the entry e. If it is not, it
// needs no restoration any more.
func (l lostRecords) supersedes(e store.Entry) bool {
	lost, ok := l[e.Key]
	if !ok {
		return false
	}
	if profile.Supersedes(e.Key, lost.Value, e.Value) {
		return true
	}
	delete(l, e.Key)
	return false
}

// replaceState replaces the table by a full state, and notes what the store lost if the
// state is the first one after a restoration. It runs on the control goroutine.
func (d *directory) replaceState(entries []store.Entry, revision uint64) []store.Entry {
	known := d.table.Revision()
	restored := known > 0 && store.Era(revision) > store.Era(known)
	var before []store.Entry
	if restored {
		before, _ = d.table.Since(0)
	}
	changes := d.table.Replace(entries, revision)
	if restored {
		d.lost.note(before, d.table)
		d.hasLost.Store(len(d.lost) > 0)
		d.log.Warn("store_restored", zap.Uint64("era", store.Era(revision)), zap.Uint64("revision", revision),
			zap.Uint64("known", known), zap.Int("lost_records", len(d.lost)))
	}
	return changes
}

// runRestore writes lost records again while this node should watch the store.
func (d *directory) runRestore() {
	ticker := time.NewTicker(restoreInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if !d.hasLost.Load() {
				continue
			}
			if watch, _ := d.shouldWatch(membership.DefaultWatchConfig()); watch {
				d.restoreRecords()
			}
		case <-d.ctx.Done():
			return
		}
	}
}

// restoreRecords writes each lost record with the revision that the key has now, so that
// a change made since the restoration wins. The record stays in lost until its new
// revision, or a later change, has arrived in the table.
func (d *directory) restoreRecords() {
	var lost []store.Entry
	d.k.Control.Do(func() {
		d.hasLost.Store(len(d.lost) > 0)
		for key, e := range d.lost {
			now, _ := d.table.Get(key)
			lost = append(lost, store.Entry{Key: key, Value: e.Value, Revision: now.Revision})
		}
	})
	for _, e := range lost {
		d.storeCalls.Inc(1)
		revision, err := d.store.CompareAndSwap(d.ctx, e.Key, e.Value, e.Revision, "")
		switch {
		case err == nil:
			d.log.Info("record_restored", zap.String("key", e.Key), zap.Uint64("revision", revision))
		case errs.KindOf(err) != errs.Conflict: // a conflict says that another node or an operator has written it
			d.log.Warn("record_not_restored", zap.String("key", e.Key), zap.Error(err))
			return
		}
	}
}
