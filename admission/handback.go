package admission

import (
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

const (
	// handBackGain is the factor by which a waiting call must be expected to end sooner
	// at another member. Below it, calls would go back and forth for little; the calls of
	// all sources together also make the others busier than each source expects.
	handBackGain = 2

	// handBackTime is the time that a refusal and the next try take within a region.
	handBackTime = 10 * time.Millisecond
)

// soonerElsewhere reports whether t, which would wait for ahead other calls, is expected
// to end much sooner at another member, and in time for a try there. The source has said
// that one has room. Nothing is handed back while the pace is unknown.
func (c *Controller) soonerElsewhere(t *Ticket, ahead int, now time.Time) bool {
	if !t.MayHandBack || !c.pace.known() || c.latencies.usual.mean == 0 {
		return false
	}
	pace := c.pace.current(now)
	usual := c.latencies.usual.mean
	work := usual
	if class := c.latencies.class(t.Class).mean; class > 0 && c.latencies.all.mean > 0 {
		work *= class / c.latencies.all.mean
	}
	wait := float64(ahead) * usual / float64(c.limit(now))
	here := toDuration((wait + work) * pace)
	elsewhere := toDuration(work) + handBackTime
	return here > handBackGain*elsewhere && t.Deadline.Sub(now) > handBackGain*elsewhere
}

// handBack refuses the waiting calls that are expected to end much sooner elsewhere.
func (c *Controller) handBack(now time.Time) []Action {
	if c.queue.size == 0 || !c.pace.known() {
		return nil
	}
	dropped := c.queue.filter(func(t *Ticket, ahead int) bool { return !c.soonerElsewhere(t, ahead, now) })
	return c.refuseAll(dropped, call.ReasonHandedBack, now)
}
