package peer

import (
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

// EncodeHeader converts HTTP headers to wire headers, sorted by name.
func EncodeHeader(h http.Header) []*wire.Header {
	out := make([]*wire.Header, 0, len(h))
	for name, values := range h {
		for _, v := range values {
			out = append(out, &wire.Header{Name: name, Value: []byte(v)})
		}
	}
	slices.SortStableFunc(out, func(a, b *wire.Header) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// DecodeHeader converts wire headers to HTTP headers.
func DecodeHeader(list []*wire.Header) http.Header {
	h := make(http.Header, len(list))
	for _, e := range list {
		h[e.GetName()] = append(h[e.GetName()], string(e.GetValue()))
	}
	return h
}

const (
	percent  = 100
	permille = 1000
)

func encodePressure(p call.Pressure) *wire.Pressure {
	return &wire.Pressure{
		Limit:         uint32(p.Limit),
		InFlight:      uint32(p.InFlight),
		Queued:        uint32(p.Queued),
		AdmitPriority: uint32(p.AdmitPriority),
		QueueDelayUs:  uint32(p.QueueDelay.Microseconds()),
		ServiceTimeUs: uint32(p.ServiceTime.Microseconds()),
		LostPermille:  uint32(permille * p.Lost),
		PacePercent:   uint32(math.Round(percent * p.Pace)),
	}
}

func decodePressure(p *wire.Pressure) call.Pressure {
	return call.Pressure{
		Limit:         int(p.GetLimit()),
		InFlight:      int(p.GetInFlight()),
		Queued:        int(p.GetQueued()),
		AdmitPriority: call.Priority(p.GetAdmitPriority()),
		QueueDelay:    time.Duration(p.GetQueueDelayUs()) * time.Microsecond,
		ServiceTime:   time.Duration(p.GetServiceTimeUs()) * time.Microsecond,
		Lost:          float64(p.GetLostPermille()) / permille,
		Pace:          float64(p.GetPacePercent()) / percent,
	}
}

// EncodeAnnouncement returns nil for an announcement that is not notable.
func EncodeAnnouncement(a call.Announcement) *wire.Announcement {
	if !a.Notable() {
		return nil
	}
	return &wire.Announcement{Instance: a.Instance, BornUnixMs: a.Born, Limited: a.RateLimit.Stated, RateLimit: a.RateLimit.PerSecond, Leaving: a.Leaving}
}

// DecodeAnnouncement is the inverse of EncodeAnnouncement.
func DecodeAnnouncement(a *wire.Announcement) call.Announcement {
	return call.Announcement{
		Instance: a.GetInstance(), Born: a.GetBornUnixMs(),
		RateLimit: call.RateLimit{Stated: a.GetLimited(), PerSecond: a.GetRateLimit()}, Leaving: a.GetLeaving(),
	}
}

var outcomeToWire = map[call.Outcome]wire.Outcome{
	call.Answered: wire.Outcome_OUTCOME_ANSWERED,
	call.Refused:  wire.Outcome_OUTCOME_REFUSED,
	call.Unknown:  wire.Outcome_OUTCOME_UNKNOWN,
}

// decodeOutcome treats a value that this version does not know as unknown, the only
// outcome that guarantees nothing.
func decodeOutcome(o wire.Outcome) call.Outcome {
	switch o {
	case wire.Outcome_OUTCOME_ANSWERED:
		return call.Answered
	case wire.Outcome_OUTCOME_REFUSED:
		return call.Refused
	}
	return call.Unknown
}
