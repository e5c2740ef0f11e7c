package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/dogwoodhatch/dogwoodhatch/call"
	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/standin/backend/payload"
)

// errCallRefused means that a needed call was refused as not run.
var errCallRefused = errors.New("a needed call was refused")

// contextHeaders are passed on from a request to its calls.
var contextHeaders = []string{"Baggage", "Traceparent"}

// subCall is one call that each request makes.
type subCall struct {
	service string
	path    string
}

// parseCalls reads "service:/path,service:/path".
func parseCalls(list string) ([]subCall, error) {
	var calls []subCall
	for entry := range strings.SplitSeq(list, ",") {
		if entry == "" {
			continue
		}
		service, path, ok := strings.Cut(entry, ":")
		if !ok || service == "" || !strings.HasPrefix(path, "/") {
			return nil, errs.New(errs.Invalid, "write it as service:/path", "call %q is malformed", entry)
		}
		calls = append(calls, subCall{service: service, path: path})
	}
	return calls, nil
}

// callAll makes the calls of one request, one after the other.
func (s *Server) callAll(ctx context.Context, parent *http.Request) error {
	for i, c := range s.calls {
		id := fmt.Sprintf("%s>%d.%s", parent.Header.Get(RequestIDHeader), i, c.service)
		if err := s.callOne(ctx, parent, c, id); err != nil {
			return fmt.Errorf("call to %s: %w", c.service, err)
		}
	}
	return nil
}

func (s *Server) callOne(ctx context.Context, parent *http.Request, c subCall, id string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.opts.Node+c.path, nil)
	if err != nil {
		return err
	}
	req.Host = c.service
	req.Header.Set(RequestIDHeader, id)
	if !s.opts.NoContext {
		passContext(req.Header, parent.Header)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	return s.checkCall(resp, id, body)
}

func passContext(to, from http.Header) {
	for _, name := range contextHeaders {
		if values := from.Values(name); len(values) > 0 {
			to[name] = values
		}
	}
}

func (s *Server) checkCall(resp *http.Response, id string, body []byte) error {
	if resp.Header.Get(OutcomeHeader) == call.Refused.String() {
		return errCallRefused
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	err := payload.Check(id, body)
	if err != nil {
		s.recorder.count(func(e *Executions) { e.ForeignCalls++ })
	}
	return err
}
