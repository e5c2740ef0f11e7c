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
	// everything is the prefix that the nodes watch: one waiting call for the
	// members and all records.
	everything = ""

	dutyInterval = 200 * time.Millisecond // between two looks whether to watch
	watchRetry   = 500 * time.Millisecond // mean time after a failed call
)

// follow reads the store while it is this node's duty.
func (d *directory) follow() {
	cfg := membership.DefaultWatchConfig()
	watching := false
	whole := true // the next call reads the whole state
	for d.ctx.Err() == nil {
		duty, rank := d.onDuty(cfg)
		if duty != watching {
			d.logDuty(duty, rank)
			watching = duty
		}
		if !duty && !d.waitRefresh(dutyInterval) {
			continue
		}
		whole = d.read(whole || d.revision.Load() == 0)
	}
}

func (d *directory) logDuty(duty bool, rank int) {
	action := "stop_watch"
	if duty {
		action = "start_watch"
	}
	d.log.Info("store_watch", zap.String("action", action), zap.Int("rank", rank), zap.Duration("age", d.age()))
}

// onDuty decides whether this node reads the store, also because it knows
// nothing yet.
func (d *directory) onDuty(cfg membership.WatchConfig) (bool, int) {
	if d.revision.Load() == 0 {
		return true, 0
	}
	now := time.Now()
	rank := membership.Rank(d.failing.without(d.All(), now), d.self.Region, d.self.ID)
	return cfg.ShouldWatch(rank, now.Add(-d.age()), now), rank
}

// waitRefresh waits, and reports whether the store is to be read now.
func (d *directory) waitRefresh(limit time.Duration) bool {
	select {
	case <-d.refresh:
		return true
	case <-time.After(limit):
	case <-d.ctx.Done():
	}
	return false
}

// read makes one call, and reports whether the next one has to read the whole
// state.
func (d *directory) read(whole bool) bool {
	var entries []store.Entry
	var revision uint64
	var err error
	after := d.revision.Load()
	d.calls.Inc(1)
	if whole {
		entries, revision, err = d.store.List(d.ctx, everything)
	} else {
		entries, revision, err = d.watch(after)
	}
	if err != nil {
		return d.readFailed(after, whole, err)
	}
	d.confirm(0)
	if revision < after {
		d.log.Error("store_lost_state", zap.Uint64("seen", after), zap.Uint64("now", revision))
	}
	d.k.Control.Do(func() { d.apply(entries, revision, whole) })
	return false
}

// watch waits for changes, until the store is to be read now: the watch may be
// silent.
func (d *directory) watch(after uint64) ([]store.Entry, uint64, error) {
	ctx, cancel := context.WithCancel(d.ctx)
	defer cancel()
	stop := d.cancelOnRefresh(cancel)
	defer stop()
	return d.store.Watch(ctx, everything, after)
}

// cancelOnRefresh ends a waiting watch when the store is to be read now. The
// returned function ends that.
func (d *directory) cancelOnRefresh(cancel context.CancelFunc) func() {
	quit := make(chan struct{})
	go func() {
		select {
		case <-d.refresh:
			cancel()
		case <-quit:
		}
	}()
	return func() { close(quit) }
}

// readFailed waits before the next call, which reads the whole state: a watch
// that failed may fail again, or be silent. The first failure of a watch needs no
// wait.
func (d *directory) readFailed(after uint64, whole bool, err error) bool {
	if d.ctx.Err() != nil {
		return true
	}
	if errs.KindOf(err) == errs.Gone {
		d.log.Info("store_history_gone", zap.Uint64("after", after))
		return true
	}
	d.failures.Inc(1)
	d.log.Warn("store_read_failed", zap.Uint64("after", after), zap.Bool("whole", whole), zap.Duration("age", d.age()), zap.Error(err))
	if whole {
		d.waitRefresh(jitter(watchRetry))
	}
	return true
}

// jitter spreads a mean time by half either way.
func jitter(mean time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(mean))
}
