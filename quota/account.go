package quota

import (
	"time"
)

// Ask is what a holder asks for one team.
type Ask struct {
	Team     string
	Want     int      // requests that wait for a token
	Ahead    int      // tokens for requests expected until the next ask
	Arrived  int      // requests that have arrived since the last ask
	Refused  int      // of these, refused by the asking node itself
	Returned []Return // unused tokens that the asking node gives back
}

// Return is a number of unused tokens of one grant.
type Return struct {
	Tokens int
	Stamp  int64 // of the Grant
}

// Grant answers an Ask.
type Grant struct {
	Team      string
	Tokens    int
	Remaining time.Duration // until the tokens expire
	Held      time.Duration // time for which the answering node held the ask back
	Stamp     int64         // identifies the grant to the owner
	Blocked   time.Duration // do not ask again before; 0 if all waiting requests got a token
	Retry     time.Duration // when the first refused request has its place
}

// Limits of the times told with a refusal.
const (
	minRetry = 50 * time.Millisecond
	maxRetry = 5 * time.Second

	minBlocked = 20 * time.Millisecond
	maxBlocked = 300 * time.Millisecond

	// blockedTokens bounds the time for which a holder is told not to ask, in tokens at
	// the rate of the team. Meanwhile the bucket fills, so that many holders which ask
	// for a team of a low rate need few messages.
	blockedTokens = 8
)

// slotsPerLifetime is the resolution at which an account remembers when tokens expire.
const slotsPerLifetime = 16

// slot is a number of tokens with the time from which on they do not count.
type slot struct {
	tokens int
	first  time.Time // when the first of them was added
	until  time.Time
}

// slots is a queue of tokens in the order in which they expire.
type slots struct {
	list []slot
	sum  int
}

// add adds tokens until a time that is not before those of earlier calls.
func (s *slots) add(tokens int, now time.Time, lifetime time.Duration) {
	until := now.Add(lifetime)
	s.sum += tokens
	if n := len(s.list); n > 0 {
		last := &s.list[n-1]
		if now.Sub(last.first) < lifetime/slotsPerLifetime || last.until.After(until) {
			last.tokens += tokens
			last.until = later(last.until, until)
			return
		}
	}
	s.list = append(s.list, slot{tokens, now, until})
}

// expire removes the tokens whose time has come.
func (s *slots) expire(now time.Time) {
	n := 0
	for n < len(s.list) && !now.Before(s.list[n].until) {
		s.sum -= s.list[n].tokens
		n++
	}
	s.list = append(s.list[:0], s.list[n:]...)
}

// remove removes up to n of the tokens that expire at a time.
func (s *slots) remove(n int, until time.Time) {
	for i := range s.list {
		if e := &s.list[i]; !e.until.Before(until) {
			n = min(n, e.tokens)
			e.tokens -= n
			s.sum -= n
			return
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Account is the owner's account of one team: a bucket that is refilled at the rate of the
// team, and the tokens that it has granted and that have not expired. Tokens in the bucket
// and granted tokens together stay within Limit.Pool, whatever comes back unused.
type Account struct {
	limit    Limit
	owned    time.Time // since when the node has owned the team
	level    float64   // tokens in the bucket, negative while in debt
	filled   time.Time
	granted  slots
	credited slots
	place    time.Time // place of the next refused request
	counts   counts
}

// NewAccount returns the account of a team that the node has owned since a time.
func NewAccount(l Limit, owned, now time.Time) *Account {
	return &Account{limit: l, owned: owned, level: l.startLevel(now.Sub(owned)), filled: now, place: now}
}

// SetLimit changes the limit. Granted tokens keep their lifetime.
func (a *Account) SetLimit(l Limit, now time.Time) {
	if a.limit.Quota == l.Quota {
		return
	}
	a.refill(now)
	a.limit = l
	a.cap()
	a.place = now
}

// refill adds the tokens for the time since the last call.
func (a *Account) refill(now time.Time) {
	a.granted.expire(now)
	a.credited.expire(now)
	if elapsed := now.Sub(a.filled); elapsed > 0 {
		a.filled = now
		a.level += elapsed.Seconds() * a.limit.Quota.PerSecond
	}
	a.cap()
}

// cap removes tokens from the bucket that would exceed its capacity or the pool.
func (a *Account) cap() {
	a.level = min(a.level, a.limit.Capacity, a.limit.Pool-float64(a.granted.sum))
}

// Ask answers an ask. clock is the time that stamps refer to; it is the same for the whole
// life of the process.
func (a *Account) Ask(ask Ask, clock, now time.Time) Grant {
	a.refill(now)
	for _, r := range ask.Returned {
		a.takeBack(r, clock, now)
	}
	available := max(int(a.level), 0)
	g := Grant{Team: ask.Team, Tokens: min(ask.Want, available)}
	missing := ask.Want - g.Tokens
	if missing == 0 {
		g.Tokens += min(ask.Ahead, a.spare(available-g.Tokens))
	}
	a.counts.add(now, g.Tokens, ask.Refused+missing)
	if g.Tokens > 0 {
		a.level -= float64(g.Tokens)
		a.granted.add(g.Tokens, now, a.limit.Lifetime)
		g.Remaining = a.limit.Lifetime
		g.Stamp = now.Add(a.limit.Lifetime).Sub(clock).Microseconds()
	}
	if missing > 0 {
		g.Blocked, g.Retry = a.refuse(missing+ask.Refused, now)
	}
	return g
}

// spare returns how many of the available tokens may be granted ahead. Half of the bucket is
// left for requests that wait.
func (a *Account) spare(available int) int { return max(available-int(a.limit.Capacity/2), 0) }

// takeBack puts unused tokens into the bucket, if they have not expired. The bucket takes
// no more than Limit.Credit of them within a lifetime.
func (a *Account) takeBack(r Return, clock, now time.Time) {
	until := clock.Add(time.Duration(r.Stamp) * time.Microsecond)
	if r.Tokens <= 0 || !now.Before(until) || until.Sub(now) > maxLifetime {
		return // expired, or a stamp of another process
	}
	a.granted.remove(r.Tokens, until)
	a.counts.add(now, -r.Tokens, 0)
	credit := min(r.Tokens, int(a.limit.Credit)-a.credited.sum)
	if credit <= 0 {
		return
	}
	a.credited.add(credit, now, a.limit.Lifetime)
	a.level += float64(credit)
	a.cap()
}

// refuse assigns n refused requests their places, which are at the rate of the team, and
// returns for how long the asking node need not
// ask again, and the time until the first of the places.
func (a *Account) refuse(n int, now time.Time) (blocked, retry time.Duration) {
	wait := seconds((1 - a.level) / a.limit.Quota.PerSecond)
	if a.limit.Pool-float64(a.granted.sum) < 1 && len(a.granted.list) > 0 {
		wait = max(wait, a.granted.list[0].until.Sub(now))
	}
	a.place = later(a.place, now.Add(wait))
	retry = a.place.Sub(now)
	a.place = a.place.Add(seconds(float64(n) / a.limit.Quota.PerSecond))
	if latest := now.Add(maxRetry); a.place.After(latest) {
		a.place = latest
	}
	most := min(max(blockedTokens*a.limit.interval(), minBlocked), maxBlocked)
	return min(max(retry, minBlocked), most), min(max(retry, minRetry), maxRetry)
}

// idle reports whether the account is as a new one would be.
func (a *Account) idle(now time.Time) bool {
	a.refill(now)
	return a.granted.sum == 0 && a.credited.sum == 0 && a.level >= a.limit.startLevel(now.Sub(a.owned)) && a.counts.empty(now)
}

// Use is what a team has used of its quota, as its owner has counted it.
type Use struct {
	Team    string
	Limit   Limit
	Granted int // tokens granted in the last window, less those that came back unused
	Refused int // requests refused in the last window
}

// Use returns the use of the team.
func (a *Account) Use(name string, now time.Time) Use {
	granted, refused := a.counts.window(now, a.limit.Window)
	return Use{Team: name, Limit: a.limit, Granted: granted, Refused: refused}
}

// countSeconds is the number of seconds that counts cover.
const countSeconds = 16

// counts counts grants and refusals by second.
type counts struct {
	seconds [countSeconds]struct {
		at               int64 // seconds since the Unix epoch
		granted, refused int
	}
}

func (c *counts) add(now time.Time, granted, refused int) {
	s := &c.seconds[now.Unix()%countSeconds]
	if s.at != now.Unix() {
		s.at, s.granted, s.refused = now.Unix(), 0, 0
	}
	s.granted += granted
	s.refused += refused
}

// window returns the counts of the last full seconds of a window and the current one.
func (c *counts) window(now time.Time, window time.Duration) (granted, refused int) {
	first := now.Unix() - int64(min(window.Seconds(), countSeconds-1))
	for _, s := range c.seconds {
		if s.at > first {
			granted += s.granted
			refused += s.refused
		}
	}
	return granted, refused
}

func (c *counts) empty(now time.Time) bool {
	granted, refused := c.window(now, countSeconds*time.Second)
	return granted == 0 && refused == 0
}
