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

// controlTimeout limits the time to set the slow factor at all slowed servers.
const controlTimeout = 5 * time.Second

// Run sends the load of one run and checks the answers.
type Run struct {
	opts        *Options
	mix         *Mix
	phases      []phase
	client      *client
	idPrefix    string // prefix of the request IDs, unique to this run
	ctx         context.Context
	cancel      context.CancelFunc
	submissions []*submission
}

// New prepares a run. It returns an error of kind errs.Invalid if the settings or
// the mix are invalid.
func New(opts *Options) (*Run, error) {
	if err := opts.validate(); err != nil {
		return nil, err
	}
	mix, err := LoadMix(opts.Mix)
	if err != nil {
		return nil, err
	}
	phases := []phase{{duration: opts.Duration, rate: opts.Rate}}
	if opts.Phases != "" {
		if phases, err = parsePhases(opts.Phases); err != nil {
			return nil, err
		}
	}
	r := &Run{
		opts:     opts,
		mix:      mix,
		phases:   phases,
		client:   newClient(opts, splitLists(opts.Targets)),
		idPrefix: uuid.NewString()[:8],
	}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r, nil
}

// Main sends the load, waits for all answers and returns the report. If a
// backend server does not report its executions, it returns the report without
// the audit and an error of kind errs.Unavailable. It also returns an error of
// that kind if it cannot write the table.
func (r *Run) Main() (*Report, error) {
	start := time.Now()
	var slowdown sync.WaitGroup
	slowdown.Go(func() { r.slowDuringCause(start) })
	r.sendAll(start)
	slowdown.Wait()
	report := newReport(r.duration(), r.mix, r.submissions)
	report.causeFrom, report.causeTo = r.opts.CauseFrom, r.opts.CauseTo
	if err := r.audit(report); err != nil {
		return report, err
	}
	return report, r.writeTable(report)
}

// Exit ends the run early. Main then reports the requests sent so far.
func (r *Run) Exit() { r.cancel() }

// sendAll starts each submission at its arrival time and waits for all of them.
func (r *Run) sendAll(start time.Time) {
	rng := rand.New(rand.NewPCG(r.opts.Seed, 0))
	arrivals := newSchedule(r.phases, rng)
	var pending sync.WaitGroup
	defer pending.Wait()
	for {
		at, ok := arrivals.next()
		if !ok || !r.sleepUntil(start.Add(at)) {
			return
		}
		s := r.newSubmission(rng, at)
		r.submissions = append(r.submissions, s)
		pending.Go(func() { r.client.submit(r.ctx, s) })
	}
}

func (r *Run) newSubmission(rng *rand.Rand, at time.Duration) *submission {
	s := &submission{
		class:       r.mix.pick(rng),
		id:          fmt.Sprintf("%s-%d", r.idPrefix, len(r.submissions)),
		targetIndex: rng.IntN(1 << 16),
		arrival:     at,
	}
	if !s.class.Idempotent {
		s.key = newIdempotencyKey()
	}
	return s
}

// sleepUntil waits until t. It returns false if Exit ends the run first.
func (r *Run) sleepUntil(t time.Time) bool {
	select {
	case <-time.After(time.Until(t)):
		return true
	case <-r.ctx.Done():
		return false
	}
}

func (r *Run) duration() time.Duration {
	var sum time.Duration
	for _, p := range r.phases {
		sum += p.duration
	}
	return sum
}

// slowDuringCause slows down the servers in Options.Slow from CauseFrom to
// CauseTo. It also resets them if the run is ended early.
func (r *Run) slowDuringCause(start time.Time) {
	servers := splitLists(r.opts.Slow)
	if len(servers) == 0 || !r.sleepUntil(start.Add(r.opts.CauseFrom)) {
		return
	}
	r.setSlowFactor(servers, r.opts.SlowFactor)
	r.sleepUntil(start.Add(r.opts.CauseTo))
	r.setSlowFactor(servers, 1)
}

// setSlowFactor sets the factor on the service time of all given servers. It
// reports a failure on standard error and goes on with the next server.
func (r *Run) setSlowFactor(urls []string, factor float64) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	for _, url := range urls {
		if err := putSlowFactor(ctx, url, factor); err != nil {
			fmt.Fprintf(os.Stderr, "event=slow_failed backend=%s factor=%g error=%q\n", url, factor, err)
		}
	}
}

func putSlowFactor(ctx context.Context, url string, factor float64) error {
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

func (r *Run) audit(report *Report) error {
	backends := splitLists(r.opts.Backends)
	if len(backends) == 0 {
		return nil
	}
	time.Sleep(r.opts.Settle)
	executions, err := readExecutions(context.Background(), backends)
	if err != nil {
		return err
	}
	report.Audit = compareExecutions(r.submissions, executions)
	report.Audited = true
	return nil
}

func (r *Run) writeTable(report *Report) error {
	if r.opts.Table == "" {
		return nil
	}
	if err := os.WriteFile(r.opts.Table, []byte(report.Table()), 0o644); err != nil {
		return errs.Wrap(err, errs.Unavailable, "set --table to a writable file", "cannot write the table")
	}
	return nil
}

// splitLists returns the non-empty entries of comma-separated lists.
func splitLists(lists []string) []string {
	var entries []string
	for _, list := range lists {
		for entry := range strings.SplitSeq(list, ",") {
			if entry != "" {
				entries = append(entries, entry)
			}
		}
	}
	return entries
}
