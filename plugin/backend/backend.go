package backend

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dogwoodhatch/dogwoodhatch/baggage"
	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/kernel"
)

const (
	dialTimeout     = 500 * time.Millisecond
	idleConnTimeout = 5 * time.Second // a connection that went silent while idle is soon replaced
	maxIdleConns    = 256

	// HeaderTimeout tells the backend server how long the caller still waits, in milliseconds.
	HeaderTimeout = "X-Request-Timeout-Ms"
)

type backend struct {
	client     *http.Transport
	shedHeader string
}

func newBackend(shedHeader string) *backend {
	d := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
	}
	return &backend{
		shedHeader: shedHeader,
		client: &http.Transport{
			DialContext:         d.DialContext,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
	}
}

// Do implements kernel.Backend. A request counts as sent from the moment a
// connection is handed to it, because bytes may leave from then on.
func (b *backend) Do(ctx context.Context, addr string, req *kernel.BackendRequest) (*kernel.BackendResponse, bool, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	hr, err := newRequest(httptrace.WithClientTrace(ctx, trace), addr, req)
	if err != nil {
		return nil, false, errs.Wrap(err, errs.Invalid, "correct the request line", "request cannot be passed to the backend server")
	}
	resp, err := b.client.RoundTrip(hr)
	if err != nil {
		return nil, sent.Load(), errs.Wrap(err, errs.Unavailable, "check the backend server", "backend server %s did not answer", addr)
	}
	return &kernel.BackendResponse{
		Status: resp.StatusCode,
		Header: resp.Header,
		Body:   resp.Body,
		Shed:   b.isShed(resp),
	}, true, nil
}

func (b *backend) isShed(resp *http.Response) bool {
	return b.shedHeader != "" && resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(b.shedHeader) != ""
}

func newRequest(ctx context.Context, addr string, req *kernel.BackendRequest) (*http.Request, error) {
	hr, err := http.NewRequestWithContext(ctx, req.Method, "http://"+addr+req.Target, nil)
	if err != nil {
		return nil, err
	}
	hr.Header = req.Header.Clone()
	hr.Host = req.Host
	hr.Body = onceBody{bytes.NewReader(req.Body)}
	hr.ContentLength = int64(len(req.Body))
	hr.Header.Set(HeaderTimeout, strconv.FormatInt(req.TimeoutMS, 10))
	hr.Header.Set(baggage.Header, baggage.With(hr.Header.Get(baggage.Header), req.Token))
	return hr, nil
}

// onceBody is a body that cannot be rewound. It keeps http.Transport from
// sending a request a second time by itself, which it otherwise does when the
// method or an Idempotency-Key header says that this is harmless.
type onceBody struct{ *bytes.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }
