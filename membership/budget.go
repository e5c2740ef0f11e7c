package membership

import "time"

// headerBytes is what IP and UDP add to each datagram.
const headerBytes = 28

// exchangeOverhead is what TCP and the stream add to one exchange.
const exchangeOverhead = 200

// budget is a token bucket of bytes. Spending may leave it negative, which
// delays later traffic.
type budget struct {
	rate   float64 // bytes per second
	burst  float64
	tokens float64
	at     time.Time
}

func newBudget(rate, burst int, now time.Time) budget {
	return budget{rate: float64(rate), burst: float64(burst), tokens: float64(burst), at: now}
}

// room returns the bytes that may be sent now.
func (b *budget) room(now time.Time) int {
	if passed := now.Sub(b.at); passed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*passed.Seconds())
		b.at = now
	}
	return int(b.tokens)
}

// spend takes n bytes out.
func (b *budget) spend(n int) { b.tokens -= float64(n) }
