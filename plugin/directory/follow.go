package directory

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/membership"
	"github.com/dogwoodhatch/dogwoodhatch/store"
)

const (
	// allKeys is the prefix of the watch. It matches every key, so that a single
	// pending call covers the members and all records.
	allKeys = ""

	watchCheckInterval = 200 * time.Millisecond // between two checks whether this node should watch
	readRetryDelay     = 500 * time.Millisecond // mean delay after a failed read
)

// followStore reads the store while this node should watch it, and once for each
// refresh.
func (d *directory) followStore() {
	cfg := membership.DefaultWatchConfig()
	watching := false
	whole := true // the next call must read the whole state
	for d.ctx.Err() == nil {
		watch, rank := d.shouldWatch(cfg)
		if watch != watching {
			d.logWatching(watch, rank)
			watching = watch
		}
		if !watch && !d.waitForRefresh(watchCheckInterval) {
			continue
		}
		var changed bool
		whole, changed = d.readStore(whole || d.revision.Load() == 0)
		if changed {
			d.waitForRefresh(cfg.GatherDelay)
		}
	}
}

func (d *directory) logWatching(watch bool, rank int) {
	action := "stop_watch"
	if watch {
		action = "start_watch"
	}
	d.log.Info("store_watch", zap.String("action", action), zap.Int("rank", rank), zap.Duration("age", d.storeAge()))
}

// shouldWatch reports whether this node should read the store, and its rank among the
// nodes of the region. A node that has no state yet always reads the store.
func (d *directory) shouldWatch(cfg membership.WatchConfig) (bool, int) {
	if d.revision.Load() == 0 {
		return true, 0
	}
	now := time.Now()
	all := d.All()
	if cfg.AwaitOthers(len(all), d.registered.Load(), d.started, now) {
		return false, 0
	}
	rank := membership.Rank(d.failing.filterHealthy(all, now), d.self.Region, d.self.ID)
	return cfg.ShouldWatch(rank, now.Add(-d.storeAge()), now), rank
}

// waitForRefresh waits for a refresh request for at most limit, and reports whether
// one arrived.
func (d *directory) waitForRefresh(limit time.Duration) bool {
	select {
	case <-d.refreshNow:
		return true
	case <-time.After(limit):
	case <-d.ctx.Done():
	}
	return false
}

// readStore makes one call to the store and applies the result. It reports whether
// the next call must read the whole state, and whether this one returned entries.
func (d *directory) readStore(whole bool) (nextWhole, changed bool) {
	var entries []store.Entry
	var revision uint64
	var err error
	after := d.revision.Load()
	asked := d.clock()
	d.storeCalls.Inc(1)
	if whole {
		entries, revision, err = d.store.List(d.ctx, allKeys)
	} else {
		entries, revision, err = d.watch(after)
	}
	if err != nil {
		return d.handleReadError(after, whole, err), false
	}
	answered := d.clock()
	if revision < after {
		d.log.Error("store_lost_state", zap.Uint64("seen", after), zap.Uint64("now", revision))
	}
	if !whole && len(entries) == 0 {
		// A watch that ends without changes at a higher revision has not heard of some. The
		// next one may answer with later changes only, which would hide those for good.
		if revision > after {
			d.log.Warn("store_watch_heard_nothing", zap.Uint64("after", after), zap.Uint64("now", revision))
			return true, false
		}
		d.confirmStore(answered)
		if revision == after {
			d.prove(asked)
		}
		return false, false
	}
	d.k.Control.Do(func() { d.apply(entries, revision, whole) })
	d.confirmStore(answered)
	if revision >= after {
		d.proveIfApplied(asked, revision)
	}
	return false, len(entries) > 0
}

// watch waits for changes after a revision. A refresh request cancels it, because a
// pending watch may have lost its connection without notice.
func (d *directory) watch(after uint64) ([]store.Entry, uint64, error) {
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	stop := d.cancelOnRefresh(cancel)
	defer stop()
	return d.store.Watch(ctx, allKeys, after)
}

// cancelOnRefresh calls cancel when a refresh is requested, until the returned
// function is called.
func (d *directory) cancelOnRefresh(cancel context.CancelFunc) func() {
	quit := make(chan struct{})
	go func() {
		select {
		case <-d.refreshNow:
			cancel()
		case <-quit:
		}
	}()
	return func() { close(quit) }
}

// handleReadError logs a failed call and reports whether the next one must read the
// whole state. It always must, because a watch that failed may fail again or
// receive no changes. Only a failed read of the whole state is delayed; after a
// failed watch the next call follows immediately.
func (d *directory) handleReadError(after uint64, whole bool, err error) bool {
	if d.ctx.Err() != nil {
		return true
	}
	if errs.KindOf(err) == errs.Gone {
		d.log.Info("store_history_gone", zap.Uint64("after", after), zap.Error(err))
		return true
	}
	d.storeFailures.Inc(1)
	d.log.Warn("store_read_failed", zap.Uint64("after", after), zap.Bool("whole", whole), zap.Duration("age", d.storeAge()), zap.Error(err))
	if whole {
		d.waitForRefresh(jitter(readRetryDelay))
	}
	return true
}

// jitter returns a random duration between 0.5 and 1.5 times the mean.
func jitter(mean time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(mean))
}
