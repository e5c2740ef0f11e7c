// Package bytelimit bounds the bytes that the control traffic of a node may
// send, and knows what the lower layers add to a message.
package bytelimit

import "time"

// Bytes that the lower layers add to a message.
const (
	DatagramOverhead = 28  // IP and UDP headers of a datagram
	ExchangeOverhead = 200 // TCP and the stream, for one exchange
)

// Bucket is a token bucket of bytes. Spending may leave it negative, which
// delays later traffic. It is not safe for concurrent use.
type Bucket struct {
	rate   float64 // bytes per second
	burst  float64
	tokens float64
	at     time.Time
}

// New returns a full bucket that is refilled with rate bytes per second up to
// burst bytes.
func New(rate, burst int, now time.Time) Bucket {
	return Bucket{rate: float64(rate), burst: float64(burst), tokens: float64(burst), at: now}
}

// Room returns the bytes that may be sent now.
func (b *Bucket) Room(now time.Time) int {
	if passed := now.Sub(b.at); passed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*passed.Seconds())
		b.at = now
	}
	return int(b.tokens)
}

// Spend takes n bytes out.
func (b *Bucket) Spend(n int) { b.tokens -= float64(n) }
