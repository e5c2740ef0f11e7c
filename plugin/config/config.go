package config

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/kernel"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/store"
)

const retryDelay = 500 * time.Millisecond // between calls to a store that does not answer

// config is the plug-in. book belongs to the control goroutine.
type config struct {
	k        *kernel.Kernel
	log      *zap.Logger
	book     *profile.Book
	snapshot atomic.Pointer[profile.Snapshot]
	client   *store.Client // nil without a store
	cancel   context.CancelFunc
}

func newConfig(k *kernel.Kernel) *config {
	c := &config{k: k, log: k.Log, book: profile.NewBook()}
	c.snapshot.Store(c.book.Snapshot())
	if url := k.Settings.Store.URL; url != "" {
		opts := store.DefaultOptions()
		c.client = store.NewClient(url, opts)
	}
	return c
}

// Snapshot implements kernel.Policies.
func (c *config) Snapshot() *profile.Snapshot { return c.snapshot.Load() }

// Start implements kernel.Plugin.
func (c *config) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	if c.client != nil {
		go c.watch(ctx)
	}
	return nil
}

// Stop implements kernel.Plugin.
func (c *config) Stop(context.Context) error {
	c.cancel()
	return nil
}

func (c *config) watch(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		entries, revision, err := c.client.Watch(ctx, "", after)
		if err != nil {
			c.log.Warn("store_watch_failed", zap.Error(err))
			time.Sleep(retryDelay)
			continue
		}
		after = revision
		c.k.Control.Do(func() { c.apply(entries) })
	}
}

// apply runs on the control goroutine.
func (c *config) apply(entries []store.Entry) {
	for _, e := range entries {
		applied, err := c.book.Apply(e.Key, e.Revision, e.Value)
		c.log.Info("record", zap.String("key", e.Key), zap.Uint64("revision", e.Revision), zap.Stringer("applied", applied), zap.Error(err))
	}
	c.snapshot.Store(c.book.Snapshot())
}
