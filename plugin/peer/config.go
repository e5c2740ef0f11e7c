package peer

import (
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"
)

// Config tunes the connections between nodes.
type Config struct {
	// DialTimeout bounds opening a connection. A short one finds a dead VM
	// sooner; it must exceed the round trip between regions.
	DialTimeout time.Duration
	// SilenceTimeout is how long sent bytes may stay unacknowledged before the
	// connection is given up. It must exceed some lost packets on a link.
	SilenceTimeout time.Duration
	// SilenceLimit is how long a session with calls in flight may stay without
	// a byte from the other side before it is probed. A short one costs pings
	// on calls that are merely slow.
	SilenceLimit time.Duration
	// ProbeTimeout is how long a probe may stay unanswered before the session
	// is closed and its calls end as lost. It must exceed the round trip and
	// the scheduling delay of a loaded VM.
	ProbeTimeout time.Duration
	// CheckInterval is the time between looks at all sessions.
	CheckInterval time.Duration
	// IdleTimeout closes a session without calls, to bound memory.
	IdleTimeout time.Duration
	// StreamIdleTimeout closes a stream that carried no call for this long. A
	// longer one saves openings and costs some 16 KB for each idle stream.
	StreamIdleTimeout time.Duration
	// MaxStreams bounds the calls in flight on one session.
	MaxStreams int
	// MaxRequestBytes bounds the request body that a node accepts.
	MaxRequestBytes int
}

// DefaultConfig suits links of up to 40 ms round trip.
func DefaultConfig() Config {
	return Config{
		DialTimeout:    500 * time.Millisecond,
		SilenceTimeout: 900 * time.Millisecond,
		SilenceLimit:   250 * time.Millisecond,
		ProbeTimeout:   500 * time.Millisecond,
		CheckInterval:  50 * time.Millisecond,
		IdleTimeout:    5 * time.Minute,

		StreamIdleTimeout: 10 * time.Second,

		MaxStreams: 2048,
	}
}

// yamuxConfig returns the session settings. Keepalives of yamux are off: the
// pool probes a session only while calls wait on it.
func (c Config) yamuxConfig(log *zap.Logger) *yamux.Config {
	y := yamux.DefaultConfig()
	y.EnableKeepAlive = false
	y.ConnectionWriteTimeout = c.ProbeTimeout
	y.AcceptBacklog = c.MaxStreams
	y.StreamOpenTimeout = 0
	y.StreamCloseTimeout = time.Minute
	y.LogOutput = nil
	y.Logger = zap.NewStdLog(log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel)))
	return y
}
