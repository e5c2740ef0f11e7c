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

// errCallRefused means that the node refused a call, which therefore ran nowhere.
var errCallRefused = errors.New("a needed call was refused")

// contextHeaders are the headers copied from a request to its calls.
var contextHeaders = []string{"Baggage", "Traceparent"}

// subCall is a call that the server makes for every request.
type subCall struct {
	service string
	path    string
}

// parseCalls parses Options.Calls, a list like "service:/path,service:/path".
func parseCalls(list string) ([]subCall, error) {
	var calls []subCall
	for entry := range strings.SplitSeq(list, ",") {
		if entry == "" {
			continue
		}
		service, path, ok := strings.Cut(entry, ":")
		if !ok || service == "" || !strings.HasPrefix(path, "/") {
			return nil, errs.New(errs.Invalid, "write each entry of --calls as service:/path", "call %q is malformed", entry)
		}
		calls = append(calls, subCall{service: service, path: path})
	}
	return calls, nil
}

// makeCalls makes the calls of a request in sequence and stops at the first one
// that fails.
func (s *Server) makeCalls(ctx context.Context, parent *http.Request) error {
	for i, c := range s.calls {
		id := fmt.Sprintf("%s>%d.%s", parent.Header.Get(RequestIDHeader), i, c.service)
		if err := s.makeCall(ctx, parent, c, id); err != nil {
			return fmt.Errorf("call to %s: %w", c.service, err)
		}
	}
	return nil
}

func (s *Server) makeCall(ctx context.Context, parent *http.Request, c subCall, id string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.opts.Node+c.path, nil)
	if err != nil {
		return err
	}
	req.Host = c.service
	req.Header.Set(RequestIDHeader, id)
	if !s.opts.NoContext {
		copyContextHeaders(req.Header, parent.Header)
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
	return s.checkAnswer(resp, id, body)
}

func copyContextHeaders(dst, src http.Header) {
	for _, name := range contextHeaders {
		if values := src.Values(name); len(values) > 0 {
			dst[name] = values
		}
	}
}

// checkAnswer returns an error if the call was refused or failed, or if the body
// is not the complete answer to the request with the given ID.
func (s *Server) checkAnswer(resp *http.Response, id string, body []byte) error {
	if resp.Header.Get(OutcomeHeader) == call.Refused.String() {
		return errCallRefused
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	err := payload.Check(id, body)
	if err != nil {
		s.recorder.update(func(e *Executions) { e.ForeignCalls++ })
	}
	return err
}
