package load

import "time"

const (
	recoveryBucket = 500 * time.Millisecond
	// recoveryBuckets in a row, two seconds, are looked at as one window.
	recoveryBuckets = 4
	// recoveredShare of the level before the cause counts as recovered.
	recoveredShare = 0.95
	// warmupSkip at the start of a run is no part of the level before.
	warmupSkip = 2 * time.Second
)

// notRecovered is the recovery time of a run that ended before it recovered.
const notRecovered = -time.Second

// series counts submissions by the time of their arrival.
type series struct {
	offered []int
	whole   []int
}

func (s *series) add(arrival time.Duration, whole bool) {
	at := int(arrival / recoveryBucket)
	for len(s.offered) <= at {
		s.offered = append(s.offered, 0)
		s.whole = append(s.whole, 0)
	}
	s.offered[at]++
	if whole {
		s.whole[at]++
	}
}

// share returns the share of whole answers among the submissions that arrived
// in [from, to), and false if there were none.
func (s *series) share(from, to time.Duration) (float64, bool) {
	var offered, whole int
	for i := int(from / recoveryBucket); i < int(to/recoveryBucket) && i < len(s.offered); i++ {
		offered += s.offered[i]
		whole += s.whole[i]
	}
	if offered == 0 {
		return 0, false
	}
	return float64(whole) / float64(offered), true
}

// recovery returns how long after the end of the cause the share of whole
// answers is back at 95 % of the share before the cause, for two windows of two
// seconds on end; notRecovered if that does not happen before the run ends.
func (s *series) recovery(from, to time.Duration) time.Duration {
	before, ok := s.share(min(warmupSkip, from/2), from)
	if !ok {
		return notRecovered
	}
	const window = recoveryBuckets * recoveryBucket
	end := time.Duration(len(s.offered)) * recoveryBucket
	for at := to; at+2*window <= end; at += recoveryBucket {
		first, ok1 := s.share(at, at+window)
		second, ok2 := s.share(at+window, at+2*window)
		if ok1 && ok2 && min(first, second) >= recoveredShare*before {
			return at - to
		}
	}
	return notRecovered
}
