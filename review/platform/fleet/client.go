package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/platform/standin"
)

// client sends requests to one node, on kept connections.
type client struct {
	node *node
	http *http.Client
}

func newClient(n *node) *client {
	return &client{node: n, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}}
}

// answer is what a client sees of one request. status is 0 without an answer.
type answer struct {
	status     int
	stamp      string
	whole      bool // a success with the whole body of the backend server
	retryAfter string
	err        error
}

// send sends one request and waits for its answer until the deadline.
func (c *client) send(method, host, path, id string, deadline time.Duration, body []byte) answer {
	return c.sendWith(method, host, path, id, deadline, body, "")
}

// sendWith is send with a value of the header X-Owner, "" for none.
func (c *client) sendWith(method, host, path, id string, deadline time.Duration, body []byte, owner string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.node.addr(portCallers)+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if owner != "" {
		req.Header.Set("X-Owner", owner)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{
		status: resp.StatusCode, stamp: resp.Header.Get("X-Server-Stamp"), retryAfter: resp.Header.Get("Retry-After"), err: err,
		whole: err == nil && resp.StatusCode == http.StatusOK && string(text) == standin.Body(id) && resp.Header.Get("X-Request-Id") == id,
	}
}
