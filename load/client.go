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

// maxIdleConnsPerHost is large enough to keep connections to each target open
// between bursts.
const maxIdleConnsPerHost = 4096

// submission is a request of a client and the attempts to send it.
type submission struct {
	class       *Class
	id          string // prefix of the IDs of the attempts
	key         string // Idempotency-Key, if the class is not idempotent
	targetIndex int    // random number that selects the target of the first attempt
	arrival     time.Duration
	attempts    []attempt
	latency     time.Duration // from the arrival to the end of the last attempt
}

// attempt is one transmission of a submission and its result.
type attempt struct {
	id      string
	verdict Verdict
	cut     bool   // the connection was lost
	ending  string // outcome and reason set by a node; see reply.ending
}

// finalVerdict returns the verdict of the last attempt.
func (s *submission) finalVerdict() Verdict { return s.attempts[len(s.attempts)-1].verdict }

// client sends submissions to the targets. It is safe for concurrent use.
type client struct {
	httpClient *http.Client
	targets    []string
	retries    int
	pause      time.Duration
	grace      time.Duration
}

func newClient(o *Options, targets []string) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, DisableCompression: true}
	return &client{
		httpClient: &http.Client{Transport: transport},
		targets:    targets,
		retries:    o.ClientRetries,
		pause:      o.ClientPause,
		grace:      o.Grace,
	}
}

// newIdempotencyKey returns a UUIDv7, which contains the time of its creation.
func newIdempotencyKey() string { return uuid.Must(uuid.NewV7()).String() }

// submit sends a submission and retries it until it gets a complete or wrong
// answer, the retries are used up, or ctx ends.
func (c *client) submit(ctx context.Context, s *submission) {
	start := time.Now()
	for n := 0; ; n++ {
		a := c.sendAttempt(ctx, s, n)
		s.attempts = append(s.attempts, a)
		if a.verdict == Whole || a.verdict == Wrong || n >= c.retries || ctx.Err() != nil {
			break
		}
		time.Sleep(c.pause)
	}
	s.latency = time.Since(start)
	s.applyOverallTimeout()
}

// applyOverallTimeout sets the verdict of a whole answer to Late if all attempts
// together took longer than the timeout, even if the last attempt alone did not.
func (s *submission) applyOverallTimeout() {
	last := &s.attempts[len(s.attempts)-1]
	if last.verdict == Whole && s.latency > s.class.Timeout {
		last.verdict = Late
	}
}

// sendAttempt makes attempt n of a submission and classifies the answer.
func (c *client) sendAttempt(ctx context.Context, s *submission, n int) attempt {
	a := attempt{id: fmt.Sprintf("%s.%d", s.id, n)}
	start := time.Now()
	r := c.roundTrip(ctx, s, a.id, n)
	a.verdict, a.cut = classify(a.id, s.class.Direct, r)
	a.ending = r.ending()
	if a.verdict == Whole && time.Since(start) > s.class.Timeout {
		a.verdict = Late
	}
	return a
}

// maxBodyBytes bounds the body of an answer.
const maxBodyBytes = 64 << 20

var errBodyTooLarge = errors.New("the body of the answer exceeds 64 MiB")

// roundTrip sends one attempt and reads the complete answer.
func (c *client) roundTrip(ctx context.Context, s *submission, id string, n int) reply {
	ctx, cancel := context.WithTimeout(ctx, s.class.Timeout+c.grace)
	defer cancel()
	req, err := c.newRequest(ctx, s, id, n)
	if err != nil {
		return reply{err: err}
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return reply{err: err, expired: errors.Is(err, context.DeadlineExceeded)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes+1))
	if err == nil && len(body) > maxBodyBytes {
		err = errBodyTooLarge
	}
	return reply{
		status:  resp.StatusCode,
		header:  resp.Header,
		body:    body,
		err:     err,
		expired: errors.Is(err, context.DeadlineExceeded),
	}
}

func (c *client) newRequest(ctx context.Context, s *submission, id string, n int) (*http.Request, error) {
	targets := c.targets
	if len(s.class.Targets) > 0 {
		targets = s.class.Targets
	}
	url := targets[(s.targetIndex+n)%len(targets)] + s.class.Path
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

// setBody sets a request body of size bytes without setting GetBody. With
// GetBody, the transport of net/http would itself resend a request that has an
// Idempotency-Key after a lost connection, unnoticed by the client.
func setBody(req *http.Request, size int) {
	req.Body = io.NopCloser(bytes.NewReader(make([]byte, size)))
	req.ContentLength = int64(size)
}
