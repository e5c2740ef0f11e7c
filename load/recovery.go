package load

import "time"

const (
	bucketWidth      = 500 * time.Millisecond
	bucketsPerWindow = 4 // a window of two seconds
	// recoveredFraction of the baseline before the cause counts as recovered.
	recoveredFraction = 0.95
	// baselineWarmup is the time at the start of a run that is excluded from
	// the baseline.
	baselineWarmup = 2 * time.Second
)

// notRecovered is the recovery time of a run that ends before goodput recovers.
const notRecovered = -time.Second

// series counts submissions and whole answers per bucket of arrival time.
type series struct {
	offered []int
	whole   []int
}

func (s *series) add(arrival time.Duration, whole bool) {
	bucket := int(arrival / bucketWidth)
	for len(s.offered) <= bucket {
		s.offered = append(s.offered, 0)
		s.whole = append(s.whole, 0)
	}
	s.offered[bucket]++
	if whole {
		s.whole[bucket]++
	}
}

// wholeFraction returns the fraction of whole answers among the submissions that
// arrived in [from, to), and false if none arrived.
func (s *series) wholeFraction(from, to time.Duration) (float64, bool) {
	var offered, whole int
	for i := int(from / bucketWidth); i < int(to/bucketWidth) && i < len(s.offered); i++ {
		offered += s.offered[i]
		whole += s.whole[i]
	}
	if offered == 0 {
		return 0, false
	}
	return float64(whole) / float64(offered), true
}

// recovery returns the time from the end of the cause until the fraction of whole
// answers reaches 95 % of the baseline before the cause in two consecutive
// windows of two seconds. It returns notRecovered if the run ends before that.
func (s *series) recovery(from, to time.Duration) time.Duration {
	baseline, ok := s.wholeFraction(min(baselineWarmup, from/2), from)
	if !ok {
		return notRecovered
	}
	const window = bucketsPerWindow * bucketWidth
	end := time.Duration(len(s.offered)) * bucketWidth
	for at := to; at+2*window <= end; at += bucketWidth {
		first, ok1 := s.wholeFraction(at, at+window)
		second, ok2 := s.wholeFraction(at+window, at+2*window)
		if ok1 && ok2 && min(first, second) >= recoveredFraction*baseline {
			return at - to
		}
	}
	return notRecovered
}
