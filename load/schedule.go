package load

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

// phase is a period with a constant arrival rate.
type phase struct {
	duration time.Duration
	rate     float64 // arrivals per second
}

// parsePhases parses Options.Phases, a list like "10s@100,5s@400".
func parsePhases(text string) ([]phase, error) {
	var phases []phase
	for part := range strings.SplitSeq(text, ",") {
		duration, rate, _ := strings.Cut(part, "@")
		d, durationErr := time.ParseDuration(duration)
		r, rateErr := strconv.ParseFloat(rate, 64)
		if durationErr != nil || rateErr != nil || d <= 0 || r < 0 {
			return nil, errs.New(errs.Invalid, "write each phase of --phases as 10s@100", "phase %q is malformed", part)
		}
		phases = append(phases, phase{duration: d, rate: r})
	}
	return phases, nil
}

// schedule generates the arrival times of a Poisson process whose rate changes
// from phase to phase. It is not safe for concurrent use.
type schedule struct {
	phases      []phase
	rng         *rand.Rand
	phaseStart  time.Duration
	lastArrival time.Duration // time of the last arrival, or start of the current phase
}

func newSchedule(phases []phase, rng *rand.Rand) *schedule {
	return &schedule{phases: phases, rng: rng}
}

// next returns the time of the next arrival, relative to the start of the run,
// and false after the last phase. If the next arrival falls after the end of the
// phase, next draws it again from there at the rate of the next phase. The
// process stays Poisson because exponential gaps are memoryless.
func (s *schedule) next() (time.Duration, bool) {
	for len(s.phases) > 0 {
		current := s.phases[0]
		end := s.phaseStart + current.duration
		if current.rate > 0 {
			gap := s.rng.ExpFloat64() / current.rate * float64(time.Second)
			if at := s.lastArrival + time.Duration(gap); at < end {
				s.lastArrival = at
				return at, true
			}
		}
		s.phaseStart, s.lastArrival = end, end
		s.phases = s.phases[1:]
	}
	return 0, false
}
