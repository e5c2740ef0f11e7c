package membership

import "time"

// Config tunes the membership protocol.
type Config struct {
	// ProbeInterval is the time between two probes of this node. Shorter finds
	// failures faster and costs more packets.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct probe waits before others are asked to
	// probe. It must exceed a round trip inside a region.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of members asked to probe in our stead. More
	// tolerate more packet loss.
	IndirectProbes int

	// SuspicionMult times log10 of the region's size times ProbeInterval is the
	// shortest time a suspect has to refute. Larger gives slow members more
	// time and removes dead ones later.
	SuspicionMult int
	// SuspicionMaxMult times the shortest time is the longest time to refute,
	// used while nobody else confirms the suspicion.
	SuspicionMaxMult int
	// Confirmations is the number of other suspecting nodes that reduce the
	// time to refute to the shortest.
	Confirmations int
	// MassMult stretches suspicion while more than half of the region is
	// suspect, which points at this node's own link.
	MassMult int
	// MaxHealth limits the local health score; probes slow down by up to one
	// more than this factor.
	MaxHealth int
	// PauseGap is the time between two ticks that counts as a pause of this
	// process.
	PauseGap time.Duration

	// Fanout is the number of peers each push goes to.
	Fanout int
	// UrgentInterval is the time between pushes while the news that a member
	// leaves is waiting.
	UrgentInterval time.Duration
	// PushInterval is the same for new members and services.
	PushInterval time.Duration
	// BulkInterval is the time between pushes while only other events wait.
	BulkInterval time.Duration
	// RetransmitMult times log2 of the region's size is how often a node sends
	// the news that a member leaves. Larger reaches all with more loss and costs
	// bytes.
	RetransmitMult float64
	// BulkRetransmitMult is the same for all other events.
	BulkRetransmitMult float64
	// CrossSends is the expected number of sends of one event from one region
	// to each other region; the news that a member leaves gets twice as many.
	CrossSends float64

	// BytesPerSecond limits what this node sends, headers included. Probes are
	// always sent and are taken out of the same budget.
	BytesPerSecond int
	// BurstBytes is the most that is sent at once above BytesPerSecond.
	BurstBytes int
	// ReserveBytes of the burst are kept for the news that a member leaves and
	// for exchanges, so that they do not wait behind other events.
	ReserveBytes int
	// PullBytesPerSecond limits the records asked for while the list is
	// fetched after the start.
	PullBytesPerSecond int
	// MaxPacketBytes limits the payload of a datagram; it must stay below the
	// path MTU.
	MaxPacketBytes int
	// PageBytes limits the payload of an exchange in each direction.
	PageBytes int

	// ExchangeInterval is the mean time between comparisons of digests with a
	// random peer of the region; each is jittered by half.
	ExchangeInterval time.Duration
	// CrossExchangeShare is the number of exchanges per ExchangeInterval that
	// all nodes of a region together start with each other region.
	CrossExchangeShare float64
	// ExchangeTimeout frees the exchange in progress when no reply comes.
	ExchangeTimeout time.Duration

	// TombstoneTime is how long a gone member is remembered, so that delayed
	// messages do not bring it back.
	TombstoneTime time.Duration
	// ReviveInterval is the mean time between two probes of dead members that
	// may be back after a cut.
	ReviveInterval time.Duration
	// JoinRetry is the first time between attempts to join; it doubles up to
	// JoinRetryMax.
	JoinRetry    time.Duration
	JoinRetryMax time.Duration

	// Interests names the services whose members a starting node fetches first.
	Interests []string
}

// DefaultConfig returns settings for up to some 30,000 members.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:      time.Second,
		ProbeTimeout:       300 * time.Millisecond,
		IndirectProbes:     3,
		SuspicionMult:      3,
		SuspicionMaxMult:   4,
		Confirmations:      3,
		MassMult:           5,
		MaxHealth:          7,
		PauseGap:           2 * time.Second,
		Fanout:             3,
		UrgentInterval:     100 * time.Millisecond,
		PushInterval:       200 * time.Millisecond,
		BulkInterval:       500 * time.Millisecond,
		RetransmitMult:     2,
		BulkRetransmitMult: 1.5,
		CrossSends:         4,
		BytesPerSecond:     1500,
		BurstBytes:         1800,
		ReserveBytes:       1100,
		PullBytesPerSecond: 2500,
		MaxPacketBytes:     1400,
		PageBytes:          1500,
		ExchangeInterval:   20 * time.Second,
		CrossExchangeShare: 2,
		ExchangeTimeout:    10 * time.Second,
		TombstoneTime:      time.Hour,
		ReviveInterval:     10 * time.Second,
		JoinRetry:          time.Second,
		JoinRetryMax:       30 * time.Second,
	}
}
