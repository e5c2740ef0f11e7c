package load

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

// phase is a span of time with one arrival rate.
type phase struct {
	length time.Duration
	rate   float64 // arrivals per second
}

// parsePhases reads "10s@100,5s@400".
func parsePhases(text string) ([]phase, error) {
	var phases []phase
	for part := range strings.SplitSeq(text, ",") {
		length, rate, _ := strings.Cut(part, "@")
		d, lengthErr := time.ParseDuration(length)
		r, rateErr := strconv.ParseFloat(rate, 64)
		if lengthErr != nil || rateErr != nil || d <= 0 || r < 0 {
			return nil, errs.New(errs.Invalid, "write it as 10s@100", "phase %q is malformed", part)
		}
		phases = append(phases, phase{length: d, rate: r})
	}
	return phases, nil
}

// schedule yields the arrivals of a Poisson process whose rate changes from
// phase to phase. It is not safe for concurrent use.
type schedule struct {
	phases []phase
	rng    *rand.Rand
	begin  time.Duration // of the current phase
	at     time.Duration // of the last arrival
}

func newSchedule(phases []phase, rng *rand.Rand) *schedule {
	return &schedule{phases: phases, rng: rng}
}

// next returns the time of the next arrival, counted from the start, and false
// after the last phase. A draw that passes the end of a phase is redrawn from
// there, which keeps the process Poisson because it has no memory.
func (s *schedule) next() (time.Duration, bool) {
	for len(s.phases) > 0 {
		current := s.phases[0]
		end := s.begin + current.length
		if current.rate > 0 {
			gap := s.rng.ExpFloat64() / current.rate * float64(time.Second)
			if at := s.at + time.Duration(gap); at < end {
				s.at = at
				return at, true
			}
		}
		s.begin, s.at = end, end
		s.phases = s.phases[1:]
	}
	return 0, false
}
