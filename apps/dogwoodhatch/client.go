package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/dogwoodhatch/dogwoodhatch/adminapi"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
	"github.com/dogwoodhatch/dogwoodhatch/publish"
)

// callTimeout exceeds the time limit of a change on the node, so that the response
// arrives in time.
const callTimeout = adminapi.DefaultChangeTimeout + 5*time.Second

// maxResponseBytes bounds the body of a response. The members of 30,000 nodes take about 10 MB.
const maxResponseBytes = 32 << 20

// response is the complete HTTP response of a node.
type response struct {
	status int
	tag    string // value of the ETag header, "" if there is none
	body   []byte
}

// call sends one request to the administration interface of the node.
func (env *environment) call(method, path string, body []byte, header http.Header) (response, error) {
	if env.TokenFile == "" {
		return response{}, usageError("no token; give --token-file")
	}
	token, err := os.ReadFile(env.TokenFile)
	if err != nil {
		return response{}, err
	}
	req, err := http.NewRequest(method, strings.TrimSuffix(env.Node, "/")+path, bytes.NewReader(body))
	if err != nil {
		return response{}, usageError("%v", err)
	}
	if header != nil {
		req.Header = header
	}
	req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	client := &http.Client{Timeout: callTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return response{}, err
	}
	if len(text) > maxResponseBytes {
		return response{}, fmt.Errorf("response of %s exceeds %d bytes; check that it is the address of a node", env.Node, maxResponseBytes)
	}
	return response{resp.StatusCode, resp.Header.Get("ETag"), text}, nil
}

// fetch sends a request without a body and decodes the JSON response into out. With
// raw, it prints the response as it is instead. It returns true if out was set.
func (env *environment) fetch(method, path string, raw bool, out any) (bool, error) {
	resp, err := env.call(method, path, nil, nil)
	if err != nil {
		return false, err
	}
	if resp.status >= http.StatusBadRequest {
		return false, problemError(resp)
	}
	if raw {
		_, err = env.out.Write(resp.body)
		return false, err
	}
	if err := json.Unmarshal(resp.body, out); err != nil {
		return false, fmt.Errorf("the node's response is malformed: %w; check --node", err)
	}
	return true, nil
}

// change sends a change and prints its outcome. A base of 0 means that the record
// must not exist yet.
func (env *environment) change(method, path, key string, base uint64, body []byte) error {
	ref := publish.ChangeRef{ID: uuid.New(), Key: key, Base: base}
	header := http.Header{adminapi.HeaderChangeID: {ref.ID.String()}}
	if base > 0 {
		header.Set("If-Match", fmt.Sprintf("%q", fmt.Sprint(base)))
	} else {
		header.Set("If-None-Match", "*")
	}
	resp, err := env.call(method, path, body, header)
	if err != nil {
		return env.resolveLostAnswer(ref, err)
	}
	var out publish.Outcome
	switch {
	case resp.status == http.StatusOK && json.Unmarshal(resp.body, &out) == nil:
		return env.printAccepted(out)
	case resp.status == http.StatusOK, isInconclusive(resp):
		return notKnownError(ref, fmt.Sprintf("the node answered %d", resp.status))
	}
	return problemError(resp)
}

// isInconclusive reports whether a response to a change leaves open whether the
// change was applied.
func isInconclusive(resp response) bool {
	var p adminapi.Problem
	_ = json.Unmarshal(resp.body, &p)
	conclusive := p.Outcome != nil || p.Status == http.StatusServiceUnavailable
	return resp.status >= http.StatusInternalServerError && !conclusive
}

// resolveLostAnswer asks the node for the outcome of a change whose response was
// lost with the error cause.
func (env *environment) resolveLostAnswer(ref publish.ChangeRef, cause error) error {
	var op *net.OpError
	var exit *exitError
	if errors.As(cause, &exit) || errors.Is(cause, os.ErrNotExist) || (errors.As(cause, &op) && op.Op == "dial") {
		return cause // nothing was sent
	}
	var out publish.Outcome
	if _, err := env.fetch(http.MethodGet, changePath(ref), false, &out); err != nil || out.Verdict != publish.Accepted {
		return notKnownError(ref, cause.Error())
	}
	return env.printAccepted(out)
}

func changePath(ref publish.ChangeRef) string { return "/v1/changes/" + ref.String() }

func (env *environment) printAccepted(out publish.Outcome) error {
	_, err := fmt.Fprintf(env.out, "accepted: %s is at revision %d\n", out.Change.Key, out.Revision)
	return err
}

func notKnownError(ref publish.ChangeRef, detail string) error {
	return &exitError{exitNotKnown, fmt.Sprintf("not known yet: %s\nrun: dogwoodhatch change resolve %s", detail, ref)}
}

// problemError converts an error response to an error with an exit status.
func problemError(resp response) error {
	var p adminapi.Problem
	if err := json.Unmarshal(resp.body, &p); err != nil || p.Title == "" {
		return fmt.Errorf("the node answered %d: %s", resp.status, strings.TrimSpace(string(resp.body)))
	}
	switch {
	case p.Outcome != nil && p.Outcome.Verdict == publish.Conflict:
		return conflictError(*p.Outcome)
	case p.Outcome != nil:
		return notKnownError(p.Outcome.Change, p.Detail)
	case p.Status == http.StatusConflict:
		return &exitError{exitConflict, "conflict: " + p.Detail}
	case len(p.Faults) > 0:
		return &exitError{exitFailure, p.Faults.Error()}
	}
	text := p.Title
	if p.Detail != "" {
		text += ": " + p.Detail // ends with the remedy
	} else if p.Remedy != "" {
		text += "; " + p.Remedy
	}
	return &exitError{exitFailure, text}
}

// conflictError returns an error that shows the record in force instead of the
// operator's change.
func conflictError(out publish.Outcome) error {
	text := "conflict: " + out.Detail
	if r := out.Current; r != nil {
		text = fmt.Sprintf("conflict: %s is at revision %d, changed by %s at %s",
			out.Change.Key, out.Revision, r.Change.Author, r.Change.Time.Format(time.RFC3339))
		text += "\nin force:\n" + strings.TrimSuffix(describeRecord(r), "\n")
	}
	return &exitError{exitConflict, text}
}

// describeRecord returns the content of a record for an operator: the text of a
// profile or the target of a binding.
func describeRecord(r *profile.Record) string {
	switch {
	case r.Deleted:
		return "nothing"
	case r.Kind == profile.KindTeams:
		return "teams; print them with dogwoodhatch team get"
	case r.Kind == profile.KindService:
		return fmt.Sprintf("profile %s from revision %d", r.Profile, r.Needs)
	}
	return r.Body
}
