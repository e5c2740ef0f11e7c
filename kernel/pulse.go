package kernel

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/logging"
)

const (
	// pulseInterval is the time between two measurements of a Pulse. A shorter one notices
	// shorter delays and wakes the process more often.
	pulseInterval = 100 * time.Millisecond
	// lateThreshold is the delay from which a Pulse logs that the process runs late, at most
	// once per lateLogInterval.
	lateThreshold   = 200 * time.Millisecond
	lateLogInterval = time.Second
)

// Pulse measures how late the goroutines of this process run, because the VM has no
// processor time for it or because too many of them wait for their turn.
type Pulse struct {
	log      *zap.Logger
	control  *Control
	delays   peak
	stopped  chan struct{}
	stopOnce sync.Once
}

func newPulse(log *zap.Logger, c *Control) *Pulse {
	return &Pulse{log: logging.Control(log), control: c, stopped: make(chan struct{})}
}

// Delay returns the longest time by which a goroutine ran late in the last one to two
// seconds, as far as it was measured.
func (p *Pulse) Delay() time.Duration { return p.delays.longest(time.Now()) }

func (p *Pulse) run() {
	var logged time.Time
	timer := time.NewTimer(pulseInterval)
	defer timer.Stop()
	for {
		began := time.Now()
		select {
		case <-timer.C:
		case <-p.stopped:
			return
		}
		now := time.Now()
		delay := max(now.Sub(began)-pulseInterval, 0)
		p.delays.observe(now, delay)
		if delay >= lateThreshold && now.Sub(logged) >= lateLogInterval {
			logged = now
			p.log.Warn("process_late", zap.Duration("delay", delay), zap.Duration("control_wait", p.control.Wait()))
		}
		timer.Reset(pulseInterval)
	}
}

func (p *Pulse) stop() { p.stopOnce.Do(func() { close(p.stopped) }) }

const (
	// turnStep is the wait that AwaitTurn measures, and turnTolerance by how much it may end late.
	turnStep      = 20 * time.Millisecond
	turnTolerance = 20 * time.Millisecond
)

// AwaitTurn returns once goroutines of this process run on time, or after limit. Whoever is about
// to conclude from silence that a partner is gone calls it first: what the partner has sent
// may lie unread, because this process was late itself.
func AwaitTurn(limit time.Duration) {
	for end := time.Now().Add(limit); ; {
		began := time.Now()
		time.Sleep(turnStep)
		now := time.Now()
		if now.Sub(began) < turnStep+turnTolerance || now.After(end) {
			return
		}
	}
}
