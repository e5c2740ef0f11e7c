package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
)

// Options configure a Client.
type Options struct {
	// Timeout bounds each call, and a watch beyond its waiting time. A shorter
	// one finds a silent store earlier, and gives up on a slow one that would
	// have answered; a write given up on has an unknown effect.
	Timeout time.Duration

	// WatchTimeout is the time after which a watch returns by itself. A longer
	// one costs fewer calls, and finds a silent watch later.
	WatchTimeout time.Duration

	// MaxIdleConns bounds the connections kept open for later calls.
	MaxIdleConns int

	// MaxAnswerBytes bounds the size of an answer. A list of all profiles must
	// fit into it.
	MaxAnswerBytes int64
}

// DefaultOptions returns the options for a store in the same region or another.
func DefaultOptions() Options {
	return Options{
		Timeout:        2 * time.Second,
		WatchTimeout:   WatchTimeout,
		MaxIdleConns:   4,
		MaxAnswerBytes: 64 << 20,
	}
}

// Client reaches the store over HTTP. It is safe for concurrent use.
type Client struct {
	base string
	opts Options
	http *http.Client
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the store at base, such as
// "http://127.0.0.1:7400".
func NewClient(base string, opts Options) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: opts.Timeout}).DialContext,
		MaxIdleConns:        opts.MaxIdleConns,
		MaxIdleConnsPerHost: opts.MaxIdleConns,
		IdleConnTimeout:     2 * opts.WatchTimeout,
	}
	return &Client{base: strings.TrimSuffix(base, "/"), opts: opts, http: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var e Entry
	err := c.read(ctx, PathEntry, url.Values{QueryKey: {key}}, c.opts.Timeout, &e)
	return e, err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, uint64, error) {
	var l Listing
	err := c.read(ctx, PathEntries, url.Values{QueryPrefix: {prefix}}, c.opts.Timeout, &l)
	return l.Entries, l.Revision, err
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) ([]Entry, uint64, error) {
	query := url.Values{
		QueryPrefix: {prefix},
		QueryAfter:  {strconv.FormatUint(after, 10)},
		QueryWaitMS: {formatMS(c.opts.WatchTimeout)},
	}
	var l Listing
	err := c.read(ctx, PathWatch, query, c.opts.WatchTimeout+c.opts.Timeout, &l)
	return l.Entries, l.Revision, err
}

// CompareAndSwap implements Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, value []byte, expect uint64, lease string) (uint64, error) {
	if len(value) == 0 || len(value) > MaxValueBytes {
		return 0, errs.New(errs.Invalid, "write 1 byte to 1 MiB", "value of %q has %d bytes", key, len(value))
	}
	query := url.Values{QueryKey: {key}, QueryExpect: {strconv.FormatUint(expect, 10)}}
	if lease != "" {
		query.Set(QueryLease, lease)
	}
	var w Written
	err := c.write(ctx, http.MethodPut, PathEntry, query, value, &w)
	return w.Revision, err
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) (uint64, error) {
	query := url.Values{QueryKey: {key}, QueryExpect: {strconv.FormatUint(expect, 10)}}
	var w Written
	err := c.write(ctx, http.MethodDelete, PathEntry, query, nil, &w)
	return w.Revision, err
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (string, error) {
	var g Granted
	err := c.write(ctx, http.MethodPost, PathLeases, url.Values{QueryTTLMS: {formatMS(ttl)}}, nil, &g)
	return g.Lease, err
}

// Renew implements Store.
func (c *Client) Renew(ctx context.Context, lease string) error {
	return c.write(ctx, http.MethodPut, PathLeases+"/"+url.PathEscape(lease), nil, nil, nil)
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, lease string) error {
	return c.write(ctx, http.MethodDelete, PathLeases+"/"+url.PathEscape(lease), nil, nil, nil)
}

func (c *Client) read(ctx context.Context, path string, query url.Values, timeout time.Duration, out any) error {
	return c.call(ctx, http.MethodGet, path, query, nil, timeout, errs.Unavailable, out)
}

func (c *Client) write(ctx context.Context, method, path string, query url.Values, body []byte, out any) error {
	return c.call(ctx, method, path, query, body, c.opts.Timeout, errs.Unknown, out)
}

// call makes one call. broken is the kind of the error when the request may
// have reached the store and no answer came back.
func (c *Client) call(ctx context.Context, method, path string, query url.Values, body []byte, timeout time.Duration, broken errs.Kind, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path+"?"+query.Encode(), bytes.NewReader(body))
	if err != nil {
		return errs.Wrap(err, errs.Invalid, "correct the address of the store", "build a store call")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return c.lost(err, broken)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, c.opts.MaxAnswerBytes+1))
	if err != nil {
		return c.lost(err, broken)
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(resp.StatusCode, text, broken)
	}
	if int64(len(text)) > c.opts.MaxAnswerBytes {
		return errs.New(broken, "raise the largest answer", "answer of the store exceeds %d bytes", c.opts.MaxAnswerBytes)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(text, out); err != nil {
		return errs.Wrap(err, broken, "check that the address is the store's", "decode the store's answer")
	}
	return nil
}

// lost returns the error of a call without an answer, and gives up the idle
// connections, because what silenced one may have silenced all.
func (c *Client) lost(err error, broken errs.Kind) error {
	c.http.CloseIdleConnections()
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errs.Wrap(err, errs.Unavailable, "try again when the store is back", "connect to the store")
	}
	if broken == errs.Unknown {
		return errs.Wrap(err, errs.Unknown, "read the key back", "answer of the store was lost")
	}
	return errs.Wrap(err, errs.Unavailable, "try again when the store is back", "the store did not answer")
}

// statusError returns the error of an answer that is not 200.
func statusError(status int, text []byte, broken errs.Kind) error {
	message := strings.TrimSpace(string(text[:min(len(text), maxStatusText)]))
	switch status {
	case http.StatusNotFound:
		return errs.New(errs.NotFound, "check the name", "store: %s", message)
	case http.StatusConflict:
		return errs.New(errs.Conflict, "read the key again", "store: %s", message)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return errs.New(errs.Invalid, "correct the call", "store: %s", message)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return errs.New(errs.Unavailable, "try again later", "store answered %d: %s", status, message)
	}
	return errs.New(broken, "look at the store's logs", "store answered %d: %s", status, message)
}

// maxStatusText bounds the text of an answer that is shown in an error.
const maxStatusText = 512

func formatMS(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
