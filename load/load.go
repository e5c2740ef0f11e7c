package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/standin/backend"
)

// controlTimeout bounds one change of a backend server's behaviour.
const controlTimeout = 5 * time.Second

// Load is one run.
type Load struct {
	opts        *Options
	mix         *Mix
	phases      []phase
	client      *client
	run         string // prefix of the requests' ids, unique to this run
	ctx         context.Context
	cancel      context.CancelFunc
	submissions []*submission
}

// New prepares a run. It returns an error of kind errs.Invalid for bad settings.
func New(opts *Options) (*Load, error) {
	if err := opts.validate(); err != nil {
		return nil, err
	}
	mix, err := LoadMix(opts.Mix)
	if err != nil {
		return nil, err
	}
	phases := []phase{{length: opts.Duration, rate: opts.Rate}}
	if opts.Phases != "" {
		if phases, err = parsePhases(opts.Phases); err != nil {
			return nil, err
		}
	}
	l := &Load{
		opts:   opts,
		mix:    mix,
		phases: phases,
		client: newClient(opts, splitLists(opts.Targets)),
		run:    uuid.NewString()[:8],
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l, nil
}

// Main sends the load, waits for all answers and returns the report. It
// returns an error of kind errs.Unavailable, with the report without its audit,
// if a backend server does not answer at the end.
func (l *Load) Main() (*Report, error) {
	start := time.Now()
	var causes sync.WaitGroup
	causes.Go(func() { l.cause(start) })
	l.send(start)
	causes.Wait()
	report := newReport(l.length(), l.mix, l.submissions)
	report.causeFrom, report.causeTo = l.opts.CauseFrom, l.opts.CauseTo
	if err := l.audit(report); err != nil {
		return report, err
	}
	return report, l.writeTable(report)
}

// Exit ends the run early; Main reports what there is.
func (l *Load) Exit() { l.cancel() }

// send starts each submission at its time and waits for all of them.
func (l *Load) send(start time.Time) {
	rng := rand.New(rand.NewPCG(l.opts.Seed, 0))
	arrivals := newSchedule(l.phases, rng)
	var pending sync.WaitGroup
	defer pending.Wait()
	for {
		at, ok := arrivals.next()
		if !ok || !l.sleepUntil(start.Add(at)) {
			return
		}
		s := l.newSubmission(rng, at)
		l.submissions = append(l.submissions, s)
		pending.Go(func() { l.client.submit(l.ctx, s) })
	}
}

func (l *Load) newSubmission(rng *rand.Rand, at time.Duration) *submission {
	s := &submission{
		class:   l.mix.pick(rng),
		id:      fmt.Sprintf("%s-%d", l.run, len(l.submissions)),
		target:  rng.IntN(1 << 16),
		arrival: at,
	}
	if !s.class.Idempotent {
		s.key = newKey()
	}
	return s
}

// sleepUntil returns false if the run was ended meanwhile.
func (l *Load) sleepUntil(t time.Time) bool {
	select {
	case <-time.After(time.Until(t)):
		return true
	case <-l.ctx.Done():
		return false
	}
}

func (l *Load) length() time.Duration {
	var sum time.Duration
	for _, p := range l.phases {
		sum += p.length
	}
	return sum
}

// cause slows the backend servers that are to be slow, for the time of the
// cause. They are brought back to normal also when the run is ended early.
func (l *Load) cause(start time.Time) {
	slow := splitLists(l.opts.Slow)
	if len(slow) == 0 || !l.sleepUntil(start.Add(l.opts.CauseFrom)) {
		return
	}
	l.setSlow(slow, l.opts.SlowFactor)
	l.sleepUntil(start.Add(l.opts.CauseTo))
	l.setSlow(slow, 1)
}

// setSlow sets the factor at all the servers. One that does not answer is
// reported and left alone.
func (l *Load) setSlow(urls []string, factor float64) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	for _, url := range urls {
		if err := putSlow(ctx, url, factor); err != nil {
			fmt.Fprintf(os.Stderr, "event=slow_failed backend=%s factor=%g error=%q\n", url, factor, err)
		}
	}
}

func putSlow(ctx context.Context, url string, factor float64) error {
	body, err := json.Marshal(backend.Control{ExtraSlow: &factor})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url+"/control", bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the backend server answered %s", resp.Status)
	}
	return nil
}

func (l *Load) audit(report *Report) error {
	backends := splitLists(l.opts.Backends)
	if len(backends) == 0 {
		return nil
	}
	time.Sleep(l.opts.Settle)
	executions, err := readExecutions(context.Background(), backends)
	if err != nil {
		return err
	}
	report.Audit = audit(l.submissions, executions)
	report.Audited = true
	return nil
}

func (l *Load) writeTable(report *Report) error {
	if l.opts.Table == "" {
		return nil
	}
	if err := os.WriteFile(l.opts.Table, []byte(report.Table()), 0o644); err != nil {
		return errs.Wrap(err, errs.Unavailable, "choose a file that can be written", "the table cannot be written")
	}
	return nil
}

// splitLists returns the entries of comma-separated lists.
func splitLists(lists []string) []string {
	var out []string
	for _, list := range lists {
		for entry := range strings.SplitSeq(list, ",") {
			if entry != "" {
				out = append(out, entry)
			}
		}
	}
	return out
}
