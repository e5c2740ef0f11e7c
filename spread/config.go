package spread

import "time"

// Config tunes the spread of records.
type Config struct {
	// Fanout is the number of peers of the own region that a new record is
	// pushed to. More reach all with fewer repairs and cost bytes.
	Fanout int
	// CrossSends is the expected number of pushes of one record from one region
	// to each other region.
	CrossSends float64

	// DigestInterval is the time between two digests sent. Shorter repairs
	// faster and costs a packet each.
	DigestInterval time.Duration
	// CrossDigests is the number of digests in each DigestInterval that a whole
	// region sends to each other region.
	CrossDigests float64
	// SettleTime is how long a difference may last before buckets are compared.
	// It must exceed the time that a push takes to reach all.
	SettleTime time.Duration

	// InlineBytes is the largest value that is pushed. Of larger ones only the
	// revision is pushed, and each node pulls the value once.
	InlineBytes int
	// MaxPacketBytes limits the payload of a datagram; it must stay below the
	// path MTU.
	MaxPacketBytes int
	// PageBytes limits the payload of a sync reply, unless a single record is
	// larger.
	PageBytes int
	// BytesPerSecond limits what this node sends, headers included.
	BytesPerSecond int
	// BurstBytes is the most that is sent at once above BytesPerSecond. It lets
	// a new profile of some kilobytes reach all within seconds.
	BurstBytes int
	// PullBytesPerSecond limits the replies asked for.
	PullBytesPerSecond int
	// SyncTimeout frees the sync in progress when no reply comes.
	SyncTimeout time.Duration
	// SyncDomains is the number of failure domains that a starting node
	// compares its records with before it counts as synced.
	SyncDomains int
}

// DefaultConfig returns settings for up to some 30,000 nodes and one change a
// second.
func DefaultConfig() Config {
	return Config{
		Fanout:             4,
		CrossSends:         4,
		DigestInterval:     time.Second,
		CrossDigests:       1,
		SettleTime:         time.Second,
		InlineBytes:        500,
		MaxPacketBytes:     1400,
		PageBytes:          4000,
		BytesPerSecond:     1500,
		BurstBytes:         8000,
		PullBytesPerSecond: 2500,
		SyncTimeout:        5 * time.Second,
		SyncDomains:        3,
	}
}
