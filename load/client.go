package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodhatch/dogwoodhatch/standin/backend"
)

// idleConnections per target keeps connections open between bursts.
const idleConnections = 4096

// submission is one request of a client with the attempts made for it.
type submission struct {
	class    *Class
	id       string // the attempts' ids are derived from it
	key      string // Idempotency-Key, if the class is not idempotent
	target   int    // index of the first attempt's target
	arrival  time.Duration
	attempts []attempt
	latency  time.Duration // from the arrival to the end of the last attempt
}

// attempt is one sending of a submission.
type attempt struct {
	id      string
	verdict Verdict
	cut     bool
	ending  string // outcome and reason told by a node
}

// final returns the verdict on the last attempt.
func (s *submission) final() Verdict { return s.attempts[len(s.attempts)-1].verdict }

// client sends submissions. It is safe for concurrent use.
type client struct {
	http    *http.Client
	targets []string
	retries int
	pause   time.Duration
	grace   time.Duration
}

func newClient(o *Options, targets []string) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections, DisableCompression: true}
	return &client{
		http:    &http.Client{Transport: transport},
		targets: targets,
		retries: o.ClientRetries,
		pause:   o.ClientPause,
		grace:   o.Grace,
	}
}

// newKey returns an idempotency key that carries the time of its making.
func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// submit sends a submission until it has a whole answer or ctx or the client's
// retries end.
func (c *client) submit(ctx context.Context, s *submission) {
	start := time.Now()
	for n := 0; ; n++ {
		a := c.send(ctx, s, n)
		s.attempts = append(s.attempts, a)
		if a.verdict == Whole || a.verdict == Wrong || n >= c.retries || ctx.Err() != nil {
			break
		}
		time.Sleep(c.pause)
	}
	s.latency = time.Since(start)
	s.lateOverall()
}

// lateOverall marks a whole answer as late that came in time for the attempt
// that got it, but not for the client, who has waited through all attempts.
func (s *submission) lateOverall() {
	last := &s.attempts[len(s.attempts)-1]
	if last.verdict == Whole && s.latency > s.class.Timeout {
		last.verdict = Late
	}
}

func (c *client) send(ctx context.Context, s *submission, n int) attempt {
	a := attempt{id: fmt.Sprintf("%s.%d", s.id, n)}
	start := time.Now()
	r := c.exchange(ctx, s, a.id, n)
	a.verdict, a.cut = judge(a.id, s.class.Direct, r)
	a.ending = r.ending()
	if a.verdict == Whole && time.Since(start) > s.class.Timeout {
		a.verdict = Late
	}
	return a
}

// exchange sends one attempt and reads its answer to the end.
func (c *client) exchange(ctx context.Context, s *submission, id string, n int) reply {
	ctx, cancel := context.WithTimeout(ctx, s.class.Timeout+c.grace)
	defer cancel()
	req, err := c.request(ctx, s, id, n)
	if err != nil {
		return reply{err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return reply{err: err, expired: errors.Is(err, context.DeadlineExceeded)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{
		status:  resp.StatusCode,
		header:  resp.Header,
		body:    body,
		err:     err,
		expired: errors.Is(err, context.DeadlineExceeded),
	}
}

func (c *client) request(ctx context.Context, s *submission, id string, n int) (*http.Request, error) {
	targets := c.targets
	if len(s.class.Targets) > 0 {
		targets = s.class.Targets
	}
	url := targets[(s.target+n)%len(targets)] + s.class.Path
	req, err := http.NewRequestWithContext(ctx, s.class.Method, url, nil)
	if err != nil {
		return nil, err
	}
	if s.class.BodyBytes > 0 {
		setBody(req, s.class.BodyBytes)
	}
	req.Host = s.class.Service
	req.Header.Set(backend.RequestIDHeader, id)
	if s.key != "" {
		req.Header.Set(backend.IdempotencyKeyHeader, s.key)
	}
	if s.class.Direct {
		req.Header.Set(backend.TimeoutHeader, strconv.FormatInt(s.class.Timeout.Milliseconds(), 10))
	}
	return req, nil
}

// setBody gives a request a body that net/http cannot send a second time:
// with GetBody set, its transport would resend a request that has an
// Idempotency-Key after a lost connection, without the client's knowledge.
func setBody(req *http.Request, size int) {
	req.Body = io.NopCloser(bytes.NewReader(make([]byte, size)))
	req.ContentLength = int64(size)
}
