package peer

import (
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"
)

// Config holds the settings of the connections between nodes.
type Config struct {
	// DialTimeout bounds opening a connection. A shorter one detects a dead VM sooner;
	// it must exceed the round trip between regions.
	DialTimeout time.Duration
	// UnackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection is closed (TCP_USER_TIMEOUT). It must be long enough for several lost
	// packets in a row.
	UnackedTimeout time.Duration
	// ProbeAfter is how long a session with calls in flight may receive nothing before
	// it is probed. A shorter one costs pings for calls that are merely slow.
	ProbeAfter time.Duration
	// ProbeTimeout is how long a probe may stay unanswered before the session is
	// closed and its calls are lost. It must exceed the round trip and the scheduling
	// delay of a loaded VM.
	ProbeTimeout time.Duration
	// WriteTimeout is how long a write of a session may wait for its turn, before its call is
	// lost. A dead VM is found by UnackedTimeout and by probes; a shorter one loses calls because
	// this node is late.
	WriteTimeout time.Duration
	// CheckInterval is the time between checks of all sessions.
	CheckInterval time.Duration
	// IdleTimeout is how long a session may carry no calls before it is closed to free
	// memory.
	IdleTimeout time.Duration
	// StreamIdleTimeout is how long a stream may carry no calls before it is closed. A
	// longer one opens fewer streams and costs about 16 KB for each idle one.
	StreamIdleTimeout time.Duration
	// MaxStreams bounds the calls in flight on one session.
	MaxStreams int
	// MaxRequestBytes returns the largest request body that a node accepts.
	MaxRequestBytes func() int
}

// DefaultConfig returns settings for links with a round trip of up to 40 ms.
// MaxRequestBytes is left nil.
func DefaultConfig() Config {
	return Config{
		DialTimeout:    500 * time.Millisecond,
		UnackedTimeout: 900 * time.Millisecond,
		ProbeAfter:     250 * time.Millisecond,
		ProbeTimeout:   500 * time.Millisecond,
		WriteTimeout:   2 * time.Second,
		CheckInterval:  50 * time.Millisecond,
		IdleTimeout:    5 * time.Minute,

		StreamIdleTimeout: 10 * time.Second,

		MaxStreams: 2048,
	}
}

// yamuxConfig returns the settings of a yamux session. The keepalives of yamux are
// off: the pool probes a session only while calls wait on it.
func (c Config) yamuxConfig(log *zap.Logger) *yamux.Config {
	y := yamux.DefaultConfig()
	y.EnableKeepAlive = false
	y.ConnectionWriteTimeout = c.WriteTimeout
	y.AcceptBacklog = c.MaxStreams
	y.StreamOpenTimeout = 0
	y.StreamCloseTimeout = time.Minute
	y.LogOutput = nil
	y.Logger = zap.NewStdLog(log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel)))
	return y
}
