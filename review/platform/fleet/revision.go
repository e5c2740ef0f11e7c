package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/platform/kv"
)

// laterCounter is the store as it would be with a revision counter that began at first: it adds
// first to the revisions that the stand-in gives out, and takes it from those that it is given.
type laterCounter struct {
	store http.Handler
	first uint64
}

// ServeHTTP implements http.Handler.
func (l *laterCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	inner := r.Clone(r.Context())
	if r.URL.Path == kv.PathWatch {
		q := r.URL.Query()
		after, _ := strconv.ParseUint(q.Get(kv.QueryAfter), 10, 64)
		q.Set(kv.QueryAfter, strconv.FormatUint(after-min(after, l.first), 10))
		inner.URL.RawQuery = q.Encode()
	}
	if r.URL.Path == kv.PathTxn {
		var t kv.Txn
		if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		for i := range t.Expect {
			switch rev := &t.Expect[i].Revision; {
			case *rev > l.first:
				*rev -= l.first
			case *rev > 0:
				*rev = 1 << 62 // no key has a revision below the first one
			}
		}
		body, _ := json.Marshal(&t)
		inner.Body = io.NopCloser(bytes.NewReader(body))
		inner.ContentLength = int64(len(body))
	}
	answer := httptest.NewRecorder()
	l.store.ServeHTTP(answer, inner)
	var message any
	d := json.NewDecoder(answer.Body)
	d.UseNumber()
	if err := d.Decode(&message); err == nil {
		message = l.shift(message)
	}
	for name, values := range answer.Header() {
		w.Header()[name] = values
	}
	w.Header().Del("Content-Length")
	w.WriteHeader(answer.Code)
	_ = json.NewEncoder(w).Encode(message)
}

// shift adds the first revision to the revisions of a message.
func (l *laterCounter) shift(message any) any {
	switch m := message.(type) {
	case []any:
		for i := range m {
			m[i] = l.shift(m[i])
		}
	case map[string]any:
		for name, v := range m {
			n, ok := v.(json.Number)
			if !ok {
				m[name] = l.shift(v)
				continue
			}
			if name == "revision" || name == "created_at" || name == "store_revision" {
				if revision, err := strconv.ParseUint(n.String(), 10, 64); err == nil && revision > 0 {
					m[name] = revision + l.first
				}
			}
		}
	}
	return message
}

// runRevision moves a route from one service to another. Long after config_apply no request may
// run at the first one.
func runRevision(f *fleet) error {
	const host = "shop.example"
	if f.trouble {
		f.firstRevision = 1 << 41
	}
	nodes, old, err := f.startServers("catalog", 2, 20*time.Millisecond)
	if err != nil {
		return err
	}
	if _, _, err := f.startServers("archive", 2, 20*time.Millisecond); err != nil {
		return err
	}
	if err := f.publish(desiredState(1, host, route("items", "idempotent", "/items/", "catalog", "2s", 2))); err != nil {
		return err
	}
	if err := awaitReady(f.nodes); err != nil {
		return err
	}
	time.Sleep(8 * time.Second)
	c := newClient(nodes[0])
	before := c.sendSteadily(http.MethodGet, host, "/items/", "before", 20*time.Millisecond, 2*time.Second)
	f.record("the counter of the store began at %d; version 1: %v", f.firstRevision+1, before)
	if err := f.publish(desiredState(2, host, route("items", "idempotent", "/items/", "archive", "2s", 2))); err != nil {
		return err
	}
	f.record("version 2 acknowledged: the route goes to another service")
	time.Sleep(8 * time.Second)
	runs := len(old[0].Executions()) + len(old[1].Executions())
	after := c.sendSteadily(http.MethodGet, host, "/items/", "after", 20*time.Millisecond, 2*time.Second)
	late := len(old[0].Executions()) + len(old[1].Executions()) - runs
	f.record("8 s later: %v; run by the service of version 1: %d", after, late)
	if late > 0 {
		return fmt.Errorf("%w: %d requests were run by the old service", errBroken, late)
	}
	if before.share() < 0.9 {
		return fmt.Errorf("version 1 was not served")
	}
	return nil
}
