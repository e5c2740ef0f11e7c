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

	dutyInterval = 100 * time.Millisecond // between two looks whether to watch
	watchRetry   = 500 * time.Millisecond // mean time after a failed call
)

// follow reads the store while it is this node's duty.
func (d *directory) follow() {
	cfg := membership.DefaultWatchConfig()
	watching := false
	var after uint64
	for d.ctx.Err() == nil {
		duty, rank := d.onDuty(cfg)
		if duty != watching {
			d.logDuty(duty, rank)
			watching = duty
		}
		asked := false
		if !duty {
			if asked = d.waitRefresh(dutyInterval); !asked {
				continue
			}
		}
		after = max(after, d.revision.Load())
		after = d.read(after)
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
	return cfg.Watches(rank, now.Add(-d.age()), now), rank
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

// read makes one call and returns the revision from which to go on; 0 asks for
// the whole state.
func (d *directory) read(after uint64) uint64 {
	var entries []store.Entry
	var revision uint64
	var err error
	whole := after == 0
	d.calls.Inc(1)
	if whole {
		entries, revision, err = d.store.List(d.ctx, everything)
	} else {
		ctx, cancel := context.WithCancel(d.ctx)
		stop := d.cancelOnRefresh(cancel)
		entries, revision, err = d.store.Watch(ctx, everything, after)
		refreshed := stop()
		cancel()
		if refreshed && err != nil {
			return 0
		}
	}
	if err != nil {
		return d.readFailed(after, err)
	}
	d.confirm(0)
	if revision < after {
		d.log.Error("store_lost_state", zap.Uint64("seen", after), zap.Uint64("now", revision))
	}
	d.k.Control.Do(func() { d.apply(entries, revision, whole) })
	return revision
}

// cancelOnRefresh ends a waiting watch when the store is to be read now, because
// a watch may be silent. The returned function ends the wait and reports whether
// that happened.
func (d *directory) cancelOnRefresh(cancel context.CancelFunc) func() bool {
	quit := make(chan struct{})
	done := make(chan bool, 1)
	go func() {
		select {
		case <-d.refresh:
			cancel()
			done <- true
		case <-quit:
			done <- false
		}
	}()
	return func() bool {
		close(quit)
		return <-done
	}
}

// readFailed waits before the next call, unless the store only asks for a list.
func (d *directory) readFailed(after uint64, err error) uint64 {
	if d.ctx.Err() != nil {
		return after
	}
	if errs.KindOf(err) == errs.Gone {
		d.log.Info("store_history_gone", zap.Uint64("after", after))
		return 0
	}
	d.failures.Inc(1)
	d.log.Warn("store_read_failed", zap.Uint64("after", after), zap.Duration("age", d.age()), zap.Error(err))
	d.waitRefresh(jitter(watchRetry))
	return after
}

// jitter spreads a mean time by half either way.
func jitter(mean time.Duration) time.Duration {
	return time.Duration((0.5 + rand.Float64()) * float64(mean))
}
