package quota

import (
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/quota"
	"github.com/dogwoodhatch/dogwoodhatch/team"
	"github.com/dogwoodhatch/dogwoodhatch/wire"
)

func encodeAsk(a *quota.Ask, q team.Quota) *wire.QuotaAsk {
	m := &wire.QuotaAsk{
		Team: a.Team, Want: uint32(a.Want), Ahead: uint32(a.Ahead), Arrived: uint32(a.Arrived), Refused: uint32(a.Refused),
		PerSecond: float32(q.PerSecond), Burst: float32(q.Burst),
	}
	for _, r := range a.Returned {
		m.Returned = append(m.Returned, &wire.QuotaReturn{Tokens: uint32(r.Tokens), Stamp: r.Stamp})
	}
	return m
}

func decodeAsk(m *wire.QuotaAsk) quota.Ask {
	a := quota.Ask{Team: m.GetTeam(), Want: int(m.GetWant()), Ahead: int(m.GetAhead()), Arrived: int(m.GetArrived()), Refused: int(m.GetRefused())}
	for _, r := range m.GetReturned() {
		a.Returned = append(a.Returned, quota.Return{Tokens: int(r.GetTokens()), Stamp: r.GetStamp()})
	}
	return a
}

// quotaOf returns the quota that the sender of an ask knows.
func quotaOf(m *wire.QuotaAsk) team.Quota {
	return team.Quota{PerSecond: float64(m.GetPerSecond()), Burst: float64(m.GetBurst())}
}

func encodeGrant(g *quota.Grant) *wire.QuotaGrant {
	return &wire.QuotaGrant{
		Team: g.Team, Tokens: uint32(g.Tokens), RemainingUs: micros(g.Remaining), HeldUs: micros(g.Held), Stamp: g.Stamp,
		BlockedUs: micros(g.Blocked), RetryUs: micros(g.Retry),
	}
}

// micros rounds down, so that a token never lasts longer than its owner has granted it for.
func micros(d time.Duration) uint32 { return uint32(max(d, 0).Microseconds()) }

func decodeGrant(m *wire.QuotaGrant) quota.Grant {
	return quota.Grant{
		Team: m.GetTeam(), Tokens: int(m.GetTokens()), Remaining: fromMicros(m.GetRemainingUs()), Held: fromMicros(m.GetHeldUs()), Stamp: m.GetStamp(),
		Blocked: fromMicros(m.GetBlockedUs()), Retry: fromMicros(m.GetRetryUs()),
	}
}

func fromMicros(us uint32) time.Duration { return time.Duration(us) * time.Microsecond }
